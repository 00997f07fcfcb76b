"""Address resolution for callers, readiness check and graceful shutdown."""
