"""End-to-end tests of the guarantees, with real processes under injected faults."""
