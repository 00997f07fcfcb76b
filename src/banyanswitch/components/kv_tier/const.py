"""Constants of the KV stores."""

from typing import Final

EVENTS_WAIT_S: Final = 1.0
"""Wait time of one event call; the longest that stores allow."""

RETRY_DELAY_S: Final = 0.5
"""Pause after a failed event call."""

PENDING_SAVE_LIFETIME_S: Final = 4.0
"""Time for which a save is assumed to be in progress; a transfer starts within 2 s."""

READER_SHARE: Final = 0.75
"""Share of a store's concurrent event calls that instances use. The rest is reserved
for instances that disagree on which of them read the store."""

RELAY_READERS: Final = 2
"""Number of instances that read a store on behalf of all; if one dies, one is left."""

ROLE_CHECK_INTERVAL_S: Final = 0.5
"""Interval at which an instance checks whether it should read a store."""

RELAY_STALE_AFTER_S: Final = 4.0
"""Time without events from a store's readers after which nothing is fetched from the
store. A dead reader is detected and replaced within about 2 s."""

READ_STALE_AFTER_S: Final = 2.0
"""Time without an answer after which an instance that reads a store itself fetches
nothing from it; a call that gets none fails within 1.8 s."""

MESSAGE_DELAY_S: Final = 0.9
"""Time that relayed events, or the answer to a call, may have spent on the way."""

SNAPSHOT_INTERVAL_S: Final = 0.5
"""Minimum interval between two requests of one instance for a store's whole list."""

SNAPSHOT_TIMEOUT_S: Final = 1.0
"""Timeout of a request for a store's whole list; a list of 4,000 parts has 84 kB."""

MAX_RELAYED_EVENTS: Final = 300
"""Maximum number of events of one store in a message, about 6 kB. If more are
unsent, the message contains none, and the recipients that missed them request the whole
list."""

PERMIT_LIFETIME_S: Final = 0.8
"""Time for which a permit to fetch parts of older weights is valid; reports arrive
every 0.1 to 0.4 s."""

MAX_PERMIT_S: Final = 3.0
"""Longest lifetime of a permit. A new holder doesn't know the permits of the previous
one, and waits for this time."""

FETCH_END_DELAY_S: Final = 1.7
"""Time from the end of a permit until all fetches have ended that were planned under
it: the time limit of a fetch (0.8 s), and a margin for the time that reports spend on
the way and for pauses below `MAX_TICK_GAP_S`."""

MAX_TICK_GAP_S: Final = 0.9
"""Time without a tick of the event loop from which the process counts as paused; it
ticks every `CLEAN_INTERVAL_S`."""

FREE_DELAY_S: Final = 2.5
"""Minimum delay between the announcement that a part is no longer fetched and its
removal: a permit's lifetime (0.8 s) and `FETCH_END_DELAY_S`."""

REPORT_INTERVAL_S: Final = 0.4
"""Report interval that `FREE_DELAY_S` and `PERMIT_LIFETIME_S` assume. The excess of a
longer interval is added to the lifetime, and twice to the delay."""

CLEAN_INTERVAL_S: Final = 0.5
"""Interval between two cleaning passes."""

FREE_BATCH_PARTS: Final = 400
"""Number of parts that one call frees; about 12 kB."""

RELAY_INTERVAL_MIN_S: Final = 0.2
"""Minimum interval between two messages of a reader."""

RELAY_MESSAGES_PER_S: Final = 80.0
"""Messages per second that one instance receives from all readers. Of 91 instances with
27 stores, about half are readers."""

RELAYED_PER_S: Final = 200.0
"""Messages per second that one reader sends; with 330 instances, it sends to each of
them every 1.7 s, within `RELAY_STALE_AFTER_S`."""

RELAY_BYTES_PER_S: Final = 200_000.0
"""Rate at which a message is sent, in bytes per second. It is a third of the slowest
link, which leaves room for reports. A message with 300 events reaches 90 instances
within `RELAY_STALE_AFTER_S`."""
