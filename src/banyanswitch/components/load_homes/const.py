"""Constants of the load homes."""

from typing import Final

MAX_REPORTING_INSTANCES: Final = 16
"""Number of instances up to which each one reports its load to all others."""

SHARE_DELAY_S: Final = 0.01
"""Time for which changes of a share by short prompts are collected."""

SHARE_INTERVAL_S: Final = 0.5
"""Interval at which unchanged shares are reported again."""

SHARE_LIFETIME_S: Final = 1.6
"""Time for which a share counts; three reports of it fit."""

LOOKUP_TIMEOUT_S: Final = 0.03
"""Time that a request waits for loads; an instance of the same region answers within
a few ms."""

HOME_COOLDOWN_S: Final = 1.0
"""Time for which a home that did not answer is not asked."""

MAX_UPSTREAMS_PER_MESSAGE: Final = 64
"""Upper bound of the upstreams in a question or a report."""
