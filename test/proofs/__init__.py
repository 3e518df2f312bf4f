"""Proofs of what must always hold, with real processes under faults."""
