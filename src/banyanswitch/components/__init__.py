"""Components of the serving process, one folder per domain."""
