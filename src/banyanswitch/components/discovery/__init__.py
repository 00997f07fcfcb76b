"""Where callers learn which instances to use, and whether this one serves."""
