"""What instances tell each other about the upstreams and the tables."""
