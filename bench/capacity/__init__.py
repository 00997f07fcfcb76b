"""Slopes of the control mechanisms, measured on one machine."""
