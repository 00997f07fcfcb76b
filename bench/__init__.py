"""Demo, benchmarks, simulations and fault runs."""
