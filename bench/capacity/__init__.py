"""Benchmarks on one machine of how the cost of the control mechanisms grows."""
