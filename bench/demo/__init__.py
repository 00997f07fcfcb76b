"""Demo of the main functions on a small fleet of real processes."""
