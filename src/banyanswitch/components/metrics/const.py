"""Names of the metrics and how often they are sent."""

from enum import Enum
from typing import Final

DOMAIN: Final = "metrics"
FLUSH_INTERVAL_S: Final = 1.0
MAX_OBSERVATIONS: Final = 256
"""Observations of one timing kept between two flushes; further ones are dropped."""

METRIC_PREFIX: Final = "banyanswitch"


class Counter(Enum):
    """Counters; each counts the events that its name states."""

    REQUESTS = "requests"
    REFUSALS = "refusals"
    STREAMS_RESUMED = "streams_resumed"
    STREAMS_LOST = "streams_lost"
    UPSTREAM_FAILURES = "upstream_failures"
    CALLS_UNKNOWN = "calls_unknown"


class Timing(Enum):
    """Timings, in milliseconds."""

    FIRST_TOKEN = "first_token"
    REQUEST = "request"


class Gauge(Enum):
    """Values read at each flush."""

    REQUESTS_IN_PROGRESS = "requests_in_progress"
    CONFIGURATION_REVISION = "configuration_revision"
    LIVE_INSTANCES = "live_instances"
