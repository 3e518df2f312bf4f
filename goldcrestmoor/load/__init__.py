"""Load tests: recorded traces, their replay and the measured outcomes."""
