"""Constants of the weights reconciler."""

from typing import Final

DOMAIN: Final = "weights"

LEASE_PREFIX: Final = "weights/"
"""Prefix of the duty of reconciling one service."""

RECONCILE_INTERVAL_S: Final = 0.25
"""Time between two comparisons of desired and observed versions, in seconds."""

REPORT_LAG_S: Final = 3.0
"""Age up to which a load report may describe the past, in seconds."""

REPORT_TIMEOUT_S: Final = 30.0
"""Age from which an upstream's last report is not relied on, in seconds."""

LOAD_TIMEOUT_S: Final = 120.0
"""Time after which a load that nobody reports frees its place, in seconds."""

LEASE_MARGIN_S: Final = 1.0
"""Time by which an order ends before the lease under which it was given."""

MIN_ORDER_LIFETIME_S: Final = 0.5
"""Lifetime below which an order is not worth sending, in seconds."""

INITIAL_BACKOFF_S: Final = 2.0
"""Time before a second order after one that failed, in seconds; it doubles."""

MAX_BACKOFF_S: Final = 60.0
"""Longest time between orders to one upstream that fail, in seconds."""
