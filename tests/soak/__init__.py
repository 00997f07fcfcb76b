"""Randomized soak test of the real processes on the users' platform."""
