"""Records and messages of the membership protocol."""

from dataclasses import dataclass
from enum import IntEnum

import msgspec

from banyanswitch.identifiers import FailureDomainId, InstanceId
from banyanswitch.interfaces import Peer


class MemberState(IntEnum):
    """State of a member; at equal revisions the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Record of one member, as instances exchange it.

    Parameters
    ----------
    incarnation : int
        Grows with each start of the process, and within a process to clear the leaving
        flag or if another instance has a higher one on record.
    revision : int
        Grows within an incarnation when the member changes its own record or refutes
        a suspicion.
    service_mask : int
        One bit for the hash of each service that the member serves.
    """

    instance: str
    failure_domain: str
    peer_address: str
    http_url: str
    incarnation: int
    revision: int
    state: MemberState
    is_leaving: bool
    service_mask: int

    def as_peer(self) -> Peer:
        """Return the record in the form that other components use."""
        return Peer(
            instance=InstanceId(self.instance),
            failure_domain=FailureDomainId(self.failure_domain),
            peer_address=self.peer_address,
            http_url=self.http_url,
            incarnation=self.incarnation,
            is_leaving=self.is_leaving,
        )


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Probe of a member.

    Parameters
    ----------
    probe_id : int
        Identifies the probe to its sender.
    sender : Member
        Record of the sender.
    digests : bytes
        Digests of the buckets of the sender's member list.
    rumours : tuple of Member
        Recent changes, which the receiver passes on.
    """

    probe_id: int
    sender: Member
    digests: bytes
    rumours: tuple[Member, ...]


class HeartbeatAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a probe.

    Parameters
    ----------
    records : tuple of Member
        Members in buckets that differ; the receiver does not pass them on.
    """

    probe_id: int
    sender: Member
    digests: bytes
    rumours: tuple[Member, ...]
    records: tuple[Member, ...]


class IndirectProbe(msgspec.Struct, frozen=True, array_like=True):
    """Request to probe a member on behalf of the sender."""

    probe_id: int
    sender: Member
    target: Member


class IndirectAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Report that the target of an indirect probe answered."""

    probe_id: int
    target: Member


class Rumour(msgspec.Struct, frozen=True, array_like=True):
    """Changes that are sent without waiting for a heartbeat."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class PeersChanged:
    """Bus message: the set of live instances or the ``Peer`` of one of them changed."""


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One entry of the platform's list."""

    instance: str
    failure_domain: str
    is_leaving: bool
    peer_address: str
    http_url: str
