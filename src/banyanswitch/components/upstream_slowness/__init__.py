"""Slowness of the upstreams, as they report it to any instance."""
