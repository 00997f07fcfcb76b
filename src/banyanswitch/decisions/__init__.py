"""Pure decision code: no input or output, no clock and no global state."""
