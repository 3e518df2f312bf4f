"""Proofs, by real processes under faults, of what must always hold."""
