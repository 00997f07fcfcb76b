"""Word of a store's readers to the other instances."""

from enum import Enum

import msgspec

from banyanswitch.components.forwarding.protocols import PartEvent

PartKey = tuple[str, str]
"""Salt and name of a part."""


class RelayedEvents(msgspec.Struct, frozen=True, array_like=True):
    """What a reader has heard of a store since its last report.

    Parameters
    ----------
    epoch : int
        Changes when the store starts again.
    since : int
        Where the events begin; who has not come so far has missed some.
    next_event : int
        Where the next events begin.
    events : list of tuple
        The last event of each part: whether it is kept, salt, name and tokens.
    clock_ms : int or None
        The upstreams' clock when this is sent.
    """

    epoch: int
    since: int
    next_event: int
    events: list[tuple[bool, str, str, int]]
    clock_ms: int | None


class Missed(Enum):
    """What an instance has missed before a reader's word."""

    NOTHING = "nothing"
    EVENTS = "events"
    """Every instance that heard them has the list."""
    RESTART = "restart"
    """Perhaps only the readers have noticed it."""


class StoreList(msgspec.Struct, frozen=True, array_like=True):
    """All parts that a reader believes a store keeps."""

    epoch: int
    next_event: int
    parts: list[tuple[str, str, int]]


def relayed(event: PartEvent) -> tuple[bool, str, str, int]:
    """Return an event as it is passed on."""
    return (event.is_kept, event.salt, event.part, event.tokens)
