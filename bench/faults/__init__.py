"""Fault run: seeded faults of all classes under load, every answer checked."""
