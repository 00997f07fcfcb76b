"""The stores of KV cache as one memory behind the upstreams' own."""
