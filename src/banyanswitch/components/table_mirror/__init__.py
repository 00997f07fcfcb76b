"""Copies of the store's tables, updated by the store's feed and by other instances."""
