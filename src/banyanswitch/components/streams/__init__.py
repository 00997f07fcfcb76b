"""Event streams: verification of each event's run and offset."""
