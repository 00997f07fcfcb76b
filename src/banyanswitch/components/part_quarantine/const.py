"""Constants of the quarantine of prompt parts."""

from typing import Final

QUARANTINE_TABLE: Final = "quarantine"
"""Table of the withheld parts, one row each."""

STORE_INTERVAL_S: Final = 0.5
"""Interval at which changes are written to the table service."""

EVIDENCE_LIFETIME_S: Final = 600.0
"""Time for which the end of an upstream counts against the parts in flight there."""

MAX_ENDS: Final = 256
"""Number of ends that are kept."""

MAX_REQUESTS_PER_END: Final = 64
"""Number of requests that are kept for one end; an upstream runs some 64 at most, and
those that have answered for long are not kept."""

MAX_OWN_REQUESTS_PER_END: Final = 32
"""Number of these that one instance reports."""

MAX_SERVED_PARTS: Final = 4096
"""Number of parts whose last served request is remembered; an instance serves some ten
requests per second."""

MAX_SERVED_CONTENTS: Final = 4096
"""Number of contents of requests whose last one served is remembered."""

MAX_REPORTED_PARTS: Final = 64
"""Number of entries of each kind in one report."""

MAX_COMBINATIONS: Final = 64
"""Number of combinations of parts that are withheld; the one with the oldest end or
trial is released first."""

QUESTION_LIFETIME_S: Final = 30.0
"""Time for which an instance reports when it served a part that others may blame."""

MIN_RETRY_AFTER_S: Final = 1.0
"""Lowest Retry-After time of a request with a withheld part."""

SETTLE_BASE_S: Final = 0.25
"""Time from the end of an upstream until it counts: the connections of all instances to
it break within some 100 ms."""

SETTLE_PER_INSTANCE_S: Final = 0.005
"""Time added for each instance: their urgent reports arrive at 200 per second."""

MIN_RESTART_S: Final = 2.0
"""Time after its end within which an upstream does not start again under its name; a
response in that time shows that it only broke off a connection."""

MAX_REPORT_DELAY_S: Final = 0.5
"""Time by which the report of an end may make it appear later than it was."""
