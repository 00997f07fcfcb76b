"""Messages and data types of the load reports."""

from dataclasses import dataclass
from enum import IntFlag

import msgspec

from banyanswitch.identifiers import ServiceName


class LoadFlag(IntFlag):
    """States of an upstream in a digest."""

    LEAVING = 1
    LOADING = 2


class LoadEntry(msgspec.Struct, frozen=True, array_like=True):
    """Load of one upstream in a digest.

    Parameters
    ----------
    queued_prefill_units : int
        Queued prefill tokens in units of ``TOKENS_PER_UNIT``.
    version_index : int
        Index of the weight version in ``LoadDigest.versions``; an empty name there
        means no version.
    """

    running_requests: int
    queued_requests: int
    queued_prefill_units: int
    flags: int
    version_index: int


class LoadDigest(msgspec.Struct, frozen=True, array_like=True):
    """Loads of a group of upstreams, relayed among the instances that use its service.

    Parameters
    ----------
    collector : str
        Collector that created the digest.
    incarnation : int
        Incarnation of the collector.
    sequence : int
        Increases with each digest of this collector.
    position : float
        Poll slots elapsed when the digest was created; negative if its collector is
        not the primary one.
    is_relayed : bool
        Whether the receiver relays the digest.
    members_hash : int
        Hash of the names of the group's upstreams in the sender's configuration.
    entries : tuple of LoadEntry or None
        One entry per upstream, in the order of the group; ``None`` if unknown.
    """

    service: str
    group: int
    collector: str
    incarnation: int
    sequence: int
    position: float
    is_relayed: bool
    members_hash: int
    versions: tuple[str, ...]
    entries: tuple[LoadEntry | None, ...]


class LoadRequested(msgspec.Struct, frozen=True, array_like=True):
    """Request for a group's loads from an instance that begins to use its service."""

    service: str
    group: int
    reply_to: str


class LeavingNoticed(msgspec.Struct, frozen=True, array_like=True):
    """Notification to the collectors that an upstream reported that it is leaving."""

    upstream: str


@dataclass(frozen=True, slots=True)
class UpstreamGroup:
    """Subset of a service's upstreams that the same collectors poll."""

    service: ServiceName
    number: int


@dataclass(frozen=True, slots=True)
class UpstreamLoadChanged:
    """Bus message: the state of an upstream changed.

    It is published on the first report of an upstream and when its leaving state,
    loading state or weight version changes.
    """

    upstream: str
