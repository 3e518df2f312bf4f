"""Weight versions: what is published or named, and the orders that load it."""
