"""Constants of the weights reconciler."""

from typing import Final

DOMAIN: Final = "weights"

LEASE_PREFIX: Final = "weights/"
"""Prefix of the names of the duties, one for each reconciled service."""

RECONCILE_INTERVAL_S: Final = 0.25
"""Interval between two comparisons of desired and observed versions, in seconds."""

REPORT_LAG_S: Final = 3.0
"""Time by which a load report may lag behind the state of the upstream, in seconds."""

REPORT_TIMEOUT_S: Final = 30.0
"""Age above which an upstream's last report is ignored, in seconds."""

LOAD_TIMEOUT_S: Final = 120.0
"""Time after which an order frees its load slot without a conclusive report, in
seconds. It starts when reports should show the result of the order."""

LEASE_MARGIN_S: Final = 1.0
"""Minimum time from the expiry of an order to the expiry of its lease, in seconds."""

MIN_ORDER_LIFETIME_S: Final = 0.5
"""Remaining lifetime below which an order is not sent, in seconds."""

INITIAL_BACKOFF_S: Final = 2.0
"""Delay before a new order after the first failed one, in seconds. It doubles with
each further failure."""

MAX_BACKOFF_S: Final = 60.0
"""Maximum delay before a new order after a failed one, in seconds."""
