"""Decision whether events of a KV store are the response to a call."""

from dataclasses import dataclass

from banyanswitch.decisions.response_ownership import Ownership


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
