"""Client libraries for callers: trainers and applications."""
