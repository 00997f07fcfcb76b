"""Constants of the rollout of weights."""

from typing import Final

DUTY: Final = "orders"
"""Name of the duty, and of its lease, for all orders to upstreams and stores."""

CHECK_INTERVAL_S: Final = 0.15
"""Time between two looks at the upstreams while weights are changing."""

IDLE_CHECK_INTERVAL_S: Final = 0.5
"""Time between two looks when all weights are as wanted."""

ANNOUNCEMENT_DELAY_S: Final = 0.08
"""Time between the last word to the other instances that an upstream loads and the
order; a datagram takes some ms, and its receiver acts on the next request."""

POLL_INTERVAL_S: Final = 0.2
"""Time between two reports of an upstream that loads; reports lag by that much."""

LOAD_TIMEOUT_S: Final = 8.0
"""Time after which an order without effect is given up and may be repeated."""

RETRY_DELAY_S: Final = 1.0
"""Time before another order to an upstream after one that failed."""

LEASE_S: Final = 2.4
"""Duration of the duty's lease; it is renewed every 0.8 s, and each renewal is a
priced call."""

ORDER_WINDOW_S: Final = 1.1
"""Time after the send of a renewal in which orders are given. A holder that can't
renew stops well before its lease ends, so that its successor waits less."""

HANDOVER_MARGIN_S: Final = 0.3
"""Time beyond the exclusion that a new holder waits; covers orders on their way and
clocks that do not run quite alike."""

LOADING_SHARE: Final = 0.34
"""Share of a service's upstreams that load at once."""

MIN_SERVING_SHARE: Final = 0.5
"""Share of a service's upstreams that goes on serving during loads."""

MAX_IDLE_REPORTS: Final = 4
"""Reports without an order in progress after which the order counts as lost; the
first ones may be older than the order."""

TARGET_TIMES_TABLE: Final = "weights"
"""Table of the store with the times at which weight versions were named."""

TARGET_TIMES_INTERVAL_S: Final = 0.5
"""Time between two looks for a version whose time is not stored yet."""

RELEASE_DELAY_S: Final = LEASE_S - ORDER_WINDOW_S + 0.1
"""Time after its last order at which a stopping holder gives the lease back, so that
its successor may rely on the same pause as after a lease that lapsed."""
