"""KV cache stores as a shared tier behind the upstreams' own cache memory."""
