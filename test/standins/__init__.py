"""Small stand-ins for outside systems, each run as a process of its own."""
