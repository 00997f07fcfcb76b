"""Byte-for-byte forwarding of callers' requests to upstreams."""
