"""Clients of external systems, one module per protocol."""
