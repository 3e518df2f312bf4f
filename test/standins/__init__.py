"""Stand-ins for external systems; each runs as a separate process."""
