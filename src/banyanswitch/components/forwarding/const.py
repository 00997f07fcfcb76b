"""Constants of forwarding."""

from typing import Final

MISSING_ENTRY_GRACE_S: Final = 2.2
"""Time for which an entry that vanished around an outage of the store is kept; the
platform has lapsed entries back within about 2 s."""

OUTAGE_WINDOW_S: Final = 3.0
"""Time after a failed call to the store in which a vanished entry may be a lapse."""

LOADING_NOTICE_TTL_S: Final = 2.0
"""Time for which word of a load under way is believed; who ordered it repeats it with
each report, so its end is noticed even if that instance is gone."""

REFUSAL_COOLDOWN_S: Final = 0.2
"""Time for which an upstream that refused a request is passed over; requests of plain
services take some 0.1 s, so a place is free again by then."""

REPLACED_COOLDOWN_S: Final = 5.0
"""Time for which an upstream at whose address another answered gets no work; its entry
lapses after three heartbeats of 1.2 s."""

LOAD_REPORT_TTL_S: Final = 1.5
"""Age at which another instance's load report is dropped; reports come every
0.1 to 0.5 s."""

SILENCE_TIMEOUT_S: Final = 1.0
"""Time without any byte from an upstream that owes answers after which it gets no
further work while others can take it."""

UNAVAILABLE_RETRY_AFTER_S: Final = 0.4
"""Base of the time to come back when no upstream can take a request; a refused
caller that returns sooner finds the same upstreams."""

BUSY_RETRY_AFTER_S: Final = 0.15
"""Base of the time to come back after upstreams refused."""

UNCONFIGURED_RETRY_AFTER_S: Final = 0.5
"""Time to come back to an instance that knows no configuration yet."""

MAX_RETRY_AFTER_SHARE: Final = 0.3
"""Most of the remaining time that a caller is told to wait; callers honour up to
a third."""

MAX_UNSENT_ATTEMPTS: Final = 3
"""Upstreams tried for one request while none of its bytes was sent."""

ONCE_MAX_IDLE_S: Final = 0.8
"""Idle time of a connection up to which it is used for a request that may run only
once; a reset after the send can't be told from a lost answer."""

FETCH_TIMEOUT_MS: Final = 800
"""Time within which a fetch must end, or the prompt is read instead; the longest take
70 ms, and links may be 8 times slower. Stores free nothing sooner than after it."""

NEWEST_FETCH_TIMEOUT_MS: Final = 1600
"""The same for parts of the newest weights, of which nothing is freed before the next
ones are named and an upstream has loaded them, 1.5 s later at the least."""

MIN_TIME_LEFT_S: Final = 0.03
"""Remaining time below which an attempt is not worth sending."""

RETRY_BUDGET_SHARE: Final = 0.75
"""Part of the platform's retry budget that is used; instances count windows on
their own, and a restarted one begins with a full bucket."""

CONNECTION_SHARE: Final = 0.9
"""Part of an upstream's connections that all instances together use."""

MAX_QUEUE_WAIT_S: Final = 2.5
"""Longest time for which a heavy request waits for its turn; then it queues at the
upstream. Its objective of 1 s is lost by then, its deadline of 10 s is not."""

MAX_QUEUE_WAIT_SHARE: Final = 0.25
"""Part of a caller's remaining time that its request may wait for its turn; the rest
is for the upstream."""

QUEUE_POLL_INTERVAL_S: Final = 0.05
"""Time after which a waiting request looks again without a change."""

QUEUE_POLL_JITTER_S: Final = 0.02
"""Spread of the instances' looks, so that one room is not taken by several; word of a
placement reaches the others within a few ms."""
