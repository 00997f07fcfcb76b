"""Constants of the weight rollout."""

from typing import Final

DUTY: Final = "orders"
"""Name of the duty, and of its lease, of sending orders to upstreams and stores."""

CHECK_INTERVAL_S: Final = 0.15
"""Interval between two checks of the upstreams while weights are changing."""

IDLE_CHECK_INTERVAL_S: Final = 0.5
"""Interval between two checks while all upstreams have their target weights."""

ANNOUNCEMENT_DELAY_S: Final = 0.08
"""Time between sending the last datagram that announces a load and sending the order.
A datagram takes a few ms, and its receiver applies it from the next request on."""

POLL_INTERVAL_S: Final = 0.2
"""Interval between two report requests to a loading upstream. A change of its state
is seen at most one interval late."""

MAX_REPORT_AGE_S: Final = 0.5
"""Age of what a report says when it is requested; the platform names some 100 ms."""

LOAD_TIMEOUT_S: Final = 8.0
"""Time limit for the wait for a load. After it, the upstream may be ordered again."""

RETRY_DELAY_S: Final = 1.0
"""Delay before the next order to an upstream after a failed one."""

LEASE_S: Final = 2.4
"""Duration of the duty's lease. It is renewed every 0.72 to 0.8 s, and each renewal is
a billed call."""

ORDER_WINDOW_S: Final = 1.1
"""Time after sending a renewal during which orders may be sent. A holder that can't
renew stops well before its lease expires, which shortens its successor's wait."""

HANDOVER_MARGIN_S: Final = 0.3
"""Time that a new holder waits in addition to `exclusion_s` of `OrderLease`.
Covers orders in transit and clocks that run at slightly different rates."""

LOADING_SHARE: Final = 0.34
"""Share of a service's upstreams that may load at the same time; at least one may."""

MIN_SERVING_SHARE: Final = 0.5
"""Minimum share of a service's upstreams that keep serving during loads. If it allows
no load, one upstream loads while all others serve."""

MAX_IDLE_REPORTS: Final = 4
"""Consecutive reports without a load in progress that are accepted before the order
counts as lost. The first ones may be older than the order."""

TARGET_TIMES_TABLE: Final = "weights"
"""Table of the times at which weight versions became targets."""

TARGET_TIMES_INTERVAL_S: Final = 0.5
"""Interval between two checks for target versions whose time is not stored yet."""

TARGET_TIMES_TAKEOVER_S: Final = 1.5
"""Time after which instances without the duty store the time of a target version. The
holder of the duty takes one interval and the difference between the feeds."""

ERA_READ_SPREAD_S: Final = 2.0
"""Time over which the instances read the stored times again after the store has
returned from an older copy."""

TARGET_TIME_TOLERANCE_S: Final = 0.5
"""Difference from which an earlier time replaces a stored one. Readings of the store's
clock are wrong by the time that a response takes, 0.4 s from a slow store."""

RELEASE_DELAY_S: Final = LEASE_S - ORDER_WINDOW_S + 0.1
"""Delay between the last order of a stopping holder and the release of its lease. It
gives the successor the same pause as after an expired lease."""
