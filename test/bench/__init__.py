"""Measurements of what a daemon costs; ``python -m test.slopes`` runs them."""
