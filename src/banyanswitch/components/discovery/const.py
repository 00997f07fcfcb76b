"""Constants of discovery and of the graceful shutdown."""

from typing import Final

MAX_ADDRESSES: Final = 64
"""Maximum number of addresses in one response."""

ADDRESS_TTL_S: Final = 1.0
"""Time for which callers cache addresses, unless the platform allows less. Most
callers leave a stopping instance within this time."""

ACCEPT_SHARE: Final = 0.38
"""Share of the grace period in which a stopping instance still accepts new requests;
some callers cache addresses for three times the TTL."""

DRAIN_SHARE: Final = 0.9
"""Share of the grace period after which a stopping instance aborts the remaining
requests."""

SEND_SHARE: Final = 0.94
"""Share of the grace period after which a stopping instance aborts the connections of
callers that have not read their whole response. The rest is for the exit: 0.48 s of
8 s."""

DRAIN_POLL_INTERVAL_S: Final = 0.1
"""Interval at which a stopping instance checks for remaining requests."""
