"""Constants of the links to upstreams."""

from typing import Final

TICK_S: Final = 0.1
"""Interval at which the links are examined while one of them is down."""

REPORT_LIFETIME_S: Final = 2.0
"""Time for which a report of an instance is used, beyond the interval of its
reports."""

REPORTS_PER_S: Final = 40.0
"""Number of instances whose reports one instance receives in a second at least."""

PEER_COOLDOWN_S: Final = 0.5
"""Time for which an instance that didn't take a request gets no other one."""

MAX_REPORTED_LINKS: Final = 200
"""Number of unreached upstreams in a report."""
