"""Stand-ins for the outside systems, for tests, benchmarks and the demo."""
