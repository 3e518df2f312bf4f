"""What must always hold, proved with real processes under faults."""
