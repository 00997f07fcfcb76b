"""Constants of the table copies."""

from typing import Final

FEED_WAIT_S: Final = 3.0
"""Wait time of one feed call; shorter waits cost more calls to the store. Connections
that went silent together are detected after half of it, by the call that ends first of
two (`decisions/feed_schedule.py`)."""

MAX_SILENCE_S: Final = FEED_WAIT_S + 1.0
"""Time between two answers of the feed above which rows may have come and gone unseen.
Each call waits up to `FEED_WAIT_S`, and the store has a second to answer."""

RETRY_MIN_S: Final = 0.2
"""First pause after a failed call."""

RETRY_MAX_S: Final = 1.0
"""Longest pause after failed calls; half of the time within which expired entries are
written again once the store has recovered."""

RELAY_INTERVAL_S: Final = 0.2
"""Interval between two checks for instances with a newer copy."""

FEED_LAG_TOLERANCE_S: Final = 0.25
"""Time for which this instance's own feed may lag before another instance is asked.
The store responds in 4 ms, plus 1.4 ms of latency between failure domains."""

RELAY_TIMEOUT_S: Final = 1.0
"""Timeout of a read from another instance."""

TABLE_READERS: Final = 6
"""Number of instances that read a table's feed on behalf of all, if there are many. If
the store refuses a third of the instances, it refuses all six once in 700 times."""

READER_COOLDOWN_S: Final = 0.5
"""Time for which a reader that failed is not asked; one that has lost the store may
have it back after `RETRY_MAX_S`."""

STORE_PAUSE_S: Final = 3.0
"""Mean time between two reads of a store that has failed, in place of its readers."""

READER_TIMEOUT_MARGIN_S: Final = 0.4
"""Time beyond the wait time of a feed call to another instance before the call fails;
the latency between failure domains is 1.4 ms."""

MAX_REMOVED_ROWS: Final = 2_000
"""Number of removed rows that a copy remembers. At the target size of 780 upstreams, it
covers two full replacements. An instance that lags further reads the whole table."""

REWRITE_S: Final = 2.2
"""Time after the store's return within which operators and upstreams have written again
what it has lost, and entries that expired in an outage; the platform names about
2 s."""
