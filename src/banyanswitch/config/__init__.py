"""Library with which operators declare a configuration."""
