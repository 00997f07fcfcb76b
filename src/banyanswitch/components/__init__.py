"""Plug-ins of the serving process, one folder a domain."""
