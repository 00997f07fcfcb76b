"""Cost that the entry process adds to a request."""
