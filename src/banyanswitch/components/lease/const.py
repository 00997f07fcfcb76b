"""Constants of the leases on duties."""

from typing import Final

DOMAIN: Final = "lease"

LEASE_PREFIX: Final = "lease/"
"""Key prefix of the lease records in the table service."""

TOKENS_PER_ERA: Final = 2**24
"""Number of fencing tokens in one era of the store. At one acquisition per second, they
last for half a year; tokens of the first 127 eras fit into 31 bits."""

CANDIDATE_COUNT: Final = 3
"""Candidates per duty, which read its record in every step while they don't hold it.
Other instances that read the record can acquire the lease too."""

MARGIN_SHARE: Final = 0.1
"""Share of the lease duration, at its end, that the holder does not use."""

CLOCK_MARGIN_S: Final = 0.25
"""Maximum error of the store's clock in a record. The time in a record counts as later
by this margin, since the writer's estimate of the clock may be too low."""

RENEWALS_PER_LEASE: Final = 3
"""Number of renewal intervals per lease duration."""

JITTER_SHARE: Final = 0.1
"""Maximum share by which a renewal interval is shortened at random."""

WRITE_ATTEMPTS: Final = 2
"""Maximum writes per duty and step. The second follows if the condition of the first
failed or its outcome is unknown."""

EXTRA_WATCHERS: Final = 1.0
"""Average number of other instances, besides the candidates, that read the record
of a duty in one step."""
