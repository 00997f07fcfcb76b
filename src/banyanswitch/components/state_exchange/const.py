"""Constants of the state exchange."""

from typing import Final

INTERVAL_MIN_S: Final = 0.1
"""Minimum interval between two reports; the prefill of a long prompt takes some
100 ms."""

INTERVAL_IDLE_S: Final = 0.4
"""Interval between two reports when nothing changed; three fit into the lifetime of
a load report (`LOAD_REPORT_TTL_S`)."""

REPORTS_PER_S: Final = 80.0
"""Reports per second that one instance receives, for any number of instances. With
eight instances that each report every 0.1 s, it receives 70."""

URGENT_REPORTS_PER_S: Final = 200.0
"""Reports per second that one instance receives if all instances send reports before
their interval has passed."""

SAMPLED_INTERVAL_S: Final = 0.4
"""Mean interval between two reports of an instance in a large fleet."""

SAMPLED_RECIPIENTS: Final = 4
"""Number of instances that get a report without observations in a large fleet; each
instance receives ten such reports per second, for any number of instances."""

OBSERVATION_RETENTION_S: Final = 3.0
"""Time for which reports repeat an observed weight version or a replaced upstream; the
upstream's entry in the store shows a new weight version after about 2 s."""

OBSERVATION_REPEATS: Final = 2.5
"""Minimum number of report intervals for which an observation is repeated."""

VERSIONS_LIFETIME_S: Final = 2.0
"""Time for which the table versions of a report are used."""

VERSION_AGE_RETENTION_S: Final = 120.0
"""Time for which reports contain the age of a target weight version; after it no
upstream is left on an older version."""

BROADCAST_BYTES_PER_S: Final = 300_000.0
"""Rate at which a report is sent, in bytes per second; half of the slowest link of the
platform's machines, 5 Mbit/s."""

HEARD_LIFETIME_S: Final = 0.8
"""Time after its report for which an instance counts as heard; reports arrive every 0.1
to 0.4 s."""

PEER_COUNT_RETENTION_S: Final = 30.0
"""Time for which an instance that is no longer heard counts among all instances."""

MIN_HEARD_INSTANCES: Final = 8
"""Number of heard instances that suffices in a large fleet, in which reports go to a
few random instances."""
