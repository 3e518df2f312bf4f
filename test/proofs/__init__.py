"""Proofs of what must always hold, by real processes under faults."""
