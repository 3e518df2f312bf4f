"""Batch jobs: requests that are accepted together, run later, with stored results."""
