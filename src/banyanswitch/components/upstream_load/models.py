"""Messages and records of the load reports."""

from dataclasses import dataclass
from enum import IntFlag

import msgspec

from banyanswitch.identifiers import ServiceName


class LoadFlag(IntFlag):
    """States of an upstream in a digest."""

    LEAVING = 1
    LOADING = 2


class LoadEntry(msgspec.Struct, frozen=True, array_like=True):
    """Load of one upstream as it is passed on.

    Parameters
    ----------
    queued_prefill_units : int
        Queued prefill tokens in units of ``TOKENS_PER_UNIT``.
    version_index : int
        Position of the weight version in the digest; an empty name means none.
    """

    running_requests: int
    queued_requests: int
    queued_prefill_units: int
    flags: int
    version_index: int


class LoadDigest(msgspec.Struct, frozen=True, array_like=True):
    """Loads of a group of upstreams, relayed among the instances that serve it.

    Parameters
    ----------
    gatherer : str
        Instance that polled the upstreams.
    incarnation : int
        Incarnation of the gatherer.
    sequence : int
        Grows with each digest of this gatherer.
    position : float
        Turns of the gatherers that had passed when it was sent; negative if the
        sender is not the first gatherer.
    is_relayed : bool
        Whether the receiver passes it on.
    members_hash : int
        Hash of the names of the group's upstreams, as the sender's configuration has
        them.
    entries : tuple of LoadEntry or None
        One entry an upstream, in the order of the group; ``None`` if not known.
    """

    service: str
    group: int
    gatherer: str
    incarnation: int
    sequence: int
    position: float
    is_relayed: bool
    members_hash: int
    versions: tuple[str, ...]
    entries: tuple[LoadEntry | None, ...]


class LoadRequested(msgspec.Struct, frozen=True, array_like=True):
    """Request of an instance that starts to serve a service."""

    service: str
    group: int
    reply_to: str


class LeavingNoticed(msgspec.Struct, frozen=True, array_like=True):
    """Word to the gatherers that an upstream said it is leaving."""

    upstream: str


@dataclass(frozen=True, slots=True)
class UpstreamGroup:
    """Part of a service's upstreams that is polled by the same gatherers."""

    service: ServiceName
    number: int


@dataclass(frozen=True, slots=True)
class UpstreamLoadChanged:
    """Bus message: an upstream began or stopped to leave or to load weights."""

    upstream: str
