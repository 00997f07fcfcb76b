"""Demo, benchmarks and fault runs through real processes."""
