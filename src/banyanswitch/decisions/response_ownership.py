"""Decision which request a response on a shared connection belongs to."""

from dataclasses import dataclass
from enum import Enum


class Ownership(Enum):
    """Relation of a response to the request that awaits one.

    ``OTHER`` is the response to another request, such as a second one that an upstream
    sends late.
    """

    OWN = "own"
    OTHER = "other"


@dataclass(frozen=True, slots=True, kw_only=True)
class EventsView:
    """Response to a call for the events of a KV store.

    Parameters
    ----------
    epoch : int
        Epoch of the store, in which its events are numbered.
    next_event : int
        Sequence number after which the next call continues.
    first_event : int or None
        Lowest sequence number of the events, if there are any.
    """

    epoch: int
    next_event: int
    first_event: int | None


def response_ownership(awaited: bytes, named: bytes | None) -> Ownership:
    """Return whether a response belongs to the request that awaits one.

    Parameters
    ----------
    awaited : bytes
        Identifier of the request that was sent last on the connection.
    named : bytes or None
        Identifier in the response, if it has one.
    """
    if named is None or named == awaited:
        return Ownership.OWN
    return Ownership.OTHER


def events_ownership(epoch: int, since: int, events: EventsView) -> Ownership:
    """Return whether events may be those after a sequence number.

    A second response to an earlier call repeats events, or continues before the number.
    Without events it may be the same as the own response. Numbers of different epochs
    can't be compared.

    Parameters
    ----------
    epoch : int
        Epoch of ``since``.
    since : int
        Number of the last event that was received before the call.
    """
    if events.epoch != epoch:
        return Ownership.OWN
    if events.next_event < since:
        return Ownership.OTHER
    if events.first_event is not None and events.first_event <= since:
        return Ownership.OTHER
    return Ownership.OWN
