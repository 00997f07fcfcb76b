"""Simulations and measurements of the decisions over small fakes."""
