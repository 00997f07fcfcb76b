"""Constants of the leases on duties."""

from typing import Final

DOMAIN: Final = "lease"

LEASE_PREFIX: Final = "lease/"
"""Prefix of the records' keys in the table service."""

CANDIDATE_COUNT: Final = 3
"""Instances that watch one duty, the holder among them."""

MARGIN_SHARE: Final = 0.1
"""Share of a lease's duration that its holder leaves unused."""

RENEWALS_PER_LEASE: Final = 3
"""Renewals that fit into the duration of a lease."""

JITTER_SHARE: Final = 0.1
"""Share by which intervals are shortened at random."""

WRITE_ATTEMPTS: Final = 2
"""Writes of one duty in one step, if the first meets another record."""

EXTRA_WATCHERS: Final = 1.0
"""Instances beside the candidates that read a duty in one step, on average."""
