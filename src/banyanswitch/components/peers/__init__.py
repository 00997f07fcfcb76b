"""Authenticated messages between instances."""
