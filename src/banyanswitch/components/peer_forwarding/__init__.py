"""Requests that one instance passes on through another one."""
