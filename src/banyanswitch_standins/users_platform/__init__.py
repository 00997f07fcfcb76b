"""Stand-ins that implement the protocol of the users' platform."""
