"""Loads of the upstreams, each kept by one instance and looked up by the others."""
