"""Forwarding of callers' requests to upstreams, byte for byte."""
