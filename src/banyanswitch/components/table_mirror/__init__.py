"""Copies of the store's tables, kept by its feed and by other instances."""
