"""Simulated external systems for tests, benchmarks and the demo."""
