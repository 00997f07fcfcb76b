"""Entries that a caller should use."""

from dataclasses import dataclass

from banyanswitch.identifiers import FailureDomainId, InstanceId


@dataclass(frozen=True, slots=True)
class EntryAddress:
    """One entry that a caller may use."""

    instance: InstanceId
    failure_domain: FailureDomainId
    url: str


@dataclass(frozen=True, slots=True)
class AddressAnswer:
    """Entries in the order in which a caller should try them.

    Parameters
    ----------
    addresses : tuple of EntryAddress
        The preferred entry first.
    time_to_live_s : float
        Time for which a caller may keep the answer, in seconds.
    """

    addresses: tuple[EntryAddress, ...]
    time_to_live_s: float
