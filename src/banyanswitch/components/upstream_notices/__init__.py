"""What upstreams say of themselves in their responses to this instance."""
