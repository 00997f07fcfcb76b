"""Constants of admission."""

from typing import Final

from banyanswitch.config.models import Priority

DOMAIN: Final = "admission"

MAX_WAIT_S: Final = {Priority.INTERACTIVE: 0.45, Priority.BATCH: 30.0}
"""Longest wait for a place at an upstream, by priority."""

ADVANCE_S: Final = 0.025
DEFAULT_CAPACITY: Final = 64
OVERCOMMIT: Final = 1.0
"""Requests admitted for each slot of the upstreams of a service."""
