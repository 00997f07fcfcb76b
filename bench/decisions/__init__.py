"""Measurements of the decisions over small fakes."""
