"""The protocols of outside systems, one narrow module each."""
