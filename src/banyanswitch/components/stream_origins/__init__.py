"""Service and software version that began each stream which may be taken up again."""
