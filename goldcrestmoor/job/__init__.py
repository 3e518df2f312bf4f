"""Batch jobs: many requests accepted at once, run later, their results kept."""
