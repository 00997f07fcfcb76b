"""Fault run: seeded faults of all classes under load, with every response checked."""
