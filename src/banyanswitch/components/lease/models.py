"""Record of a lease and what an instance knows of one."""

from dataclasses import dataclass

import msgspec

from banyanswitch.components.lease.const import LEASE_PREFIX
from banyanswitch.exceptions import PlatformError


class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Content of one record; never deleted, so that tokens only grow.

    Parameters
    ----------
    holder : str
        Process that holds the duty; empty after it was given back.
    fencing_token : int
        Grows with each new holder.
    duration_s : float
        Time after its last write for which the lease is valid, in seconds.
    renewal : int
        Number of the renewal, so that each write differs.
    """

    holder: str
    fencing_token: int
    duration_s: float
    renewal: int


@dataclass(frozen=True, slots=True)
class Observation:
    """A record as last seen by this instance.

    Parameters
    ----------
    seen_at_s : float
        Loop time at which this revision was seen first.
    """

    revision: int
    record: LeaseRecord
    seen_at_s: float


@dataclass(frozen=True, slots=True)
class LeaseChanged:
    """Bus message: this instance took or lost a duty.

    Parameters
    ----------
    fencing_token : int
        Token of the tenure that began; 0 when the duty was lost.
    """

    duty: str
    fencing_token: int


def lease_key(name: str) -> str:
    """Return the key of the record of a duty."""
    return LEASE_PREFIX + name


def decode_lease(content: bytes) -> LeaseRecord:
    """Return the record that an item holds.

    Raises
    ------
    PlatformError
        If the item holds something else.
    """
    try:
        return msgspec.msgpack.decode(content, type=LeaseRecord)
    except msgspec.DecodeError as error:
        raise PlatformError(f"unreadable lease record: {error}") from error
