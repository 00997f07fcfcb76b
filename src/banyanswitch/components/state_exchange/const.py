"""Constants of the state exchange."""

from typing import Final

INTERVAL_MIN_S: Final = 0.1
"""Minimum interval between two reports; the prefill of a long prompt takes some
100 ms."""

INTERVAL_IDLE_S: Final = 0.4
"""Interval between two reports when nothing changed; three fit into their lifetime."""

REPORTS_PER_S: Final = 80.0
"""Reports per second that one instance receives, whatever the number of instances;
eight instances with a report every 0.1 s receive 70."""

URGENT_REPORTS_PER_S: Final = 200.0
"""The same for reports that are sent before their interval has passed."""

WEIGHTS_RETENTION_S: Final = 3.0
"""Time for which reports repeat an observed weight version; the upstream's entry in the
store shows it after about 2 s."""

VERSIONS_LIFETIME_S: Final = 2.0
"""Time for which the table versions of a report are used."""

VERSION_AGE_RETENTION_S: Final = 120.0
"""Time for which reports contain the age of a target weight version; after it no
upstream is left on an older version."""

BROADCAST_BYTES_PER_S: Final = 300_000.0
"""Rate at which a report is sent, in bytes per second; half of the slowest link of the
platform's machines, 5 Mbit/s."""
