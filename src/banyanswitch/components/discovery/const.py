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

MAX_ACCEPT_S: Final = 2.8
"""Maximum time in which a stopping instance still accepts new requests, by which nearly
all callers have new addresses. The platform excuses a request that is cut off only if
it was sent within 3 s of the stop; the difference covers the delay of the signal."""

DRAIN_SHARE: Final = 0.9
"""Share of the grace period after which a stopping instance ends the remaining
requests."""

SEND_SHARE: Final = 0.94
"""Share of the grace period after which a stopping instance aborts the connections of
callers that have not read their whole response. The rest is for the exit: 0.48 s of
8 s."""

DRAIN_POLL_INTERVAL_S: Final = 0.1
"""Interval at which a stopping instance checks for remaining requests."""
