"""Constants of the limits of upstreams."""

from typing import Final

NOTICE_LIFETIME_S: Final = 300.0
"""Time for which a limit is kept without a response of its upstream."""

ENDED_RETENTION_S: Final = 60.0
"""Time for which the end of a limit is reported; instances that do not send to the
upstream learn of it only from reports."""

MAX_REPORTED_LIMITS: Final = 128
"""Number of limits in one report."""
