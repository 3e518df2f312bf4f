"""Benchmarks of a daemon's resource costs; run by ``python -m test.slopes``."""
