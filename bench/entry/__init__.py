"""Cost of the serving process on the path of a request."""
