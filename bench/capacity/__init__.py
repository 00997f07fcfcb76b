"""Benches of how the cost of the control mechanisms grows, on one machine."""
