"""Libraries for callers: trainers and applications."""
