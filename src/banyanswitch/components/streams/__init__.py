"""Event streams: verification of the run and offset of each event."""
