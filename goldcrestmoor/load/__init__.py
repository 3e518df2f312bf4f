"""Load and experiments: recorded traces, their replay and the outcomes."""
