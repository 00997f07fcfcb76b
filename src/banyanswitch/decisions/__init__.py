"""Pure decision functions and classes, without I/O, clock or global state."""
