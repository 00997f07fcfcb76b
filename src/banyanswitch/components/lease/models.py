"""Stored record of a lease, observations of it and changes of the holder."""

from dataclasses import dataclass

import msgspec

from banyanswitch.components.lease.const import LEASE_PREFIX
from banyanswitch.exceptions import PlatformError


class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Stored record of a lease; never deleted, so that fencing tokens only increase.

    Parameters
    ----------
    holder : str
        Identifier of the process that holds the lease; empty after its release.
    fencing_token : int
        Increases with each acquisition, also by the same holder.
    duration_s : float
        Validity of the lease after its last write, in seconds.
    renewal : int
        Number of the renewal; makes each write differ from the previous one.
    renewed_at_s : float or None
        Time of the store's clock at which the holder sent the write, in seconds; too
        low by at most `CLOCK_MARGIN_S`. ``None`` if the holder did not know it.
    """

    holder: str
    fencing_token: int
    duration_s: float
    renewal: int
    renewed_at_s: float | None = None


@dataclass(frozen=True, slots=True)
class Observation:
    """Last record that this instance has read or written.

    Parameters
    ----------
    renewed_by_s : float
        Event loop time by which the write of this revision had been sent.
    """

    revision: int
    record: LeaseRecord
    renewed_by_s: float


@dataclass(frozen=True, slots=True)
class LeaseChanged:
    """Bus message: this instance acquired or lost the lease on a duty.

    Parameters
    ----------
    fencing_token : int
        Token of the acquired lease; 0 if the lease was lost.
    """

    duty: str
    fencing_token: int


def lease_key(name: str) -> str:
    """Return the key of a duty's lease record."""
    return LEASE_PREFIX + name


def decode_lease(content: bytes) -> LeaseRecord:
    """Decode the content of a lease record.

    Raises
    ------
    PlatformError
        If the content is not a lease record.
    """
    try:
        return msgspec.msgpack.decode(content, type=LeaseRecord)
    except msgspec.DecodeError as error:
        raise PlatformError(f"unreadable lease record: {error}") from error
