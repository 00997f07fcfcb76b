"""Randomized soak of the real process of the users' platform."""
