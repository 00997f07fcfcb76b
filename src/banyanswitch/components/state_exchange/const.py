"""Constants of the exchange."""

from typing import Final

INTERVAL_MIN_S: Final = 0.1
"""Shortest time between two reports; a long prompt is read in some 100 ms."""

INTERVAL_IDLE_S: Final = 0.4
"""Time between two reports when nothing changed; three fit into their lifetime."""

REPORTS_PER_S: Final = 80.0
"""Reports that one instance takes in each second, whatever the number of instances;
eight instances with a report every 0.1 s receive 70."""

URGENT_REPORTS_PER_S: Final = 200.0
"""The same for reports that do not wait for their interval."""

WEIGHTS_RETENTION_S: Final = 3.0
"""Time for which a seen weight version is repeated; entries in the store say it
after about 2 s."""

VERSIONS_LIFETIME_S: Final = 2.0
"""Time for which a report's table versions are relied on."""

VERSION_AGE_RETENTION_S: Final = 120.0
"""Time for which the age of a weight version is told; after it no upstream is left
on an older one."""

BROADCAST_BYTES_PER_S: Final = 300_000.0
"""Rate at which a report goes out, in bytes a second; half of the slowest link of the
platform's machines, 5 Mbit/s."""
