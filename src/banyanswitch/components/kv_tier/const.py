"""Constants of the KV stores."""

from typing import Final

EVENTS_WAIT_S: Final = 1.0
"""Time that one call for events waits; the longest that stores allow."""

RETRY_S: Final = 0.5
"""Pause after a failed call for events."""

PENDING_S: Final = 4.0
"""Time for which a save is taken to be under way; a transfer starts within 2 s."""

READER_SHARE: Final = 0.75
"""Part of a store's event calls that instances may hold at once; the rest is for
those that disagree on who reads."""

FLOOR_LIFETIME_S: Final = 1.0
"""Age at which word of what may be fetched is no longer relied on."""

FREE_DELAY_S: Final = 2.2
"""Time from the word that a part is no longer fetched to its free: the age of that
word (1.0 s), the lifetime of a fetch (0.8 s) and a margin."""

FREE_BATCH_PARTS: Final = 400
"""Parts that one call frees; about 20 kB."""
