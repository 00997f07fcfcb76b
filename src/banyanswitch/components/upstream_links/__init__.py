"""Links from this instance, and from others, to upstreams."""
