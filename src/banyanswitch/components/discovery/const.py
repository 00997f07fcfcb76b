"""Constants of the entrance."""

from typing import Final

MAX_ADDRESSES: Final = 64
"""Most addresses that one answer names."""

ADDRESS_TTL_S: Final = 1.0
"""Time for which callers keep an answer, unless the platform allows less. A stopping
instance loses its callers within it."""

ACCEPT_SHARE: Final = 0.38
"""Part of the grace in which a stopping instance still takes new requests; some
callers keep addresses three times as long as they are told."""

DRAIN_SHARE: Final = 0.9
"""Part of the grace after which a stopping instance ends what is left."""

DRAIN_POLL_INTERVAL_S: Final = 0.1
"""Time between two looks at what a stopping instance still serves."""
