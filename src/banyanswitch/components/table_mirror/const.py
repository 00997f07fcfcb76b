"""Constants of the table copies."""

from typing import Final

FEED_WAIT_S: Final = 3.0
"""Time that one feed call waits. A connection gone silent is noticed after it;
shorter waits cost more calls to the store."""

RETRY_MIN_S: Final = 0.2
"""First pause after a failed call."""

RETRY_MAX_S: Final = 1.0
"""Longest pause after failed calls; half of the time in which lapsed entries are
back once the store has returned."""

RELAY_INTERVAL_S: Final = 0.2
"""Time between two checks whether another instance knows more."""

FEED_LAG_TOLERANCE_S: Final = 0.25
"""Time for which the own feed may lag before another instance is asked; a feed
answer takes 4 ms at the store and 1.4 ms of way between failure domains."""

RELAY_TIMEOUT_S: Final = 1.0
"""Deadline of a read from another instance."""

TABLE_READERS: Final = 6
"""Instances that read a table's feed for all, if they are many. With a third of the
instances refused by the store, all of six are refused once in 700 times."""

READER_TIMEOUT_MARGIN_S: Final = 0.4
"""Time beyond the wait of a feed call to another instance before it counts as lost;
a way between failure domains takes 1.4 ms."""

MAX_REMOVED_ROWS: Final = 2_000
"""Removed rows that a copy remembers; at the target size, with 780 upstreams, two full
replacements. Who lags behind more reads the whole table."""
