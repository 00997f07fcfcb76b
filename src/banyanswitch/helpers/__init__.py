"""Small helpers shared by the components."""
