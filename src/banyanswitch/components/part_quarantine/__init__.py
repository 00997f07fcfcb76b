"""Quarantine of prompt parts that crash upstreams."""
