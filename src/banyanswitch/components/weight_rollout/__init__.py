"""Duty: bring the upstreams to the weights that operators name."""
