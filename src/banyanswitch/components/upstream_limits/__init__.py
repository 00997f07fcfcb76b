"""Limits that upstreams name, kept by all instances together."""
