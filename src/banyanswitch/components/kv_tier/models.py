"""Messages between instances about the contents of the stores."""

from collections.abc import Iterable
from enum import Enum

import msgspec

from banyanswitch.components.forwarding.protocols import PartEvent

PartKey = tuple[str, str]
"""Salt and name of a part."""

GroupedParts = dict[str, list[tuple[str, int]]]
"""By salt, part names with the number of tokens stored; 0 for a removed part."""


class RelayedEvents(msgspec.Struct, frozen=True, array_like=True):
    """Events of one store that a reader received since its last message.

    Parameters
    ----------
    epoch : int
        Changes when the store restarts.
    since : int
        Number of the first event; an instance whose next event is lower has missed
        some.
    next_event : int
        Number of the first event after these.
    parts : dict of str to list
        By salt, the parts that changed, each with its name and the tokens stored now.
    age_s : float
        Time since the store's last answer, in seconds.
    epoch_age_s : float or None
        Time for which the sender has known the epoch, in seconds; earlier versions
        don't state it.
    """

    epoch: int
    since: int
    next_event: int
    parts: GroupedParts
    age_s: float = 0.0
    epoch_age_s: float | None = None


class StoreWords(msgspec.Struct, frozen=True, array_like=True):
    """Events of all the stores that one reader reads.

    These are not part of `InstanceReport`, so that reports of work in progress do not
    wait behind them.

    Parameters
    ----------
    peer_address : str
        Address at which the sender serves whole lists.
    clock_ms : int or None
        The upstreams' clock when the message is sent, in milliseconds.
    events_by_store : dict of str to RelayedEvents
        Events by the name of their store.
    """

    peer_address: str
    clock_ms: int | None
    events_by_store: dict[str, RelayedEvents]


class Missed(Enum):
    """What an instance has missed before the relayed events of a message."""

    NOTHING = "nothing"
    EVENTS = "events"
    """Every instance that received the events can serve the current list."""
    RESTART = "restart"
    """Possibly only the readers have detected the restart and have the new list."""


class StoreList(msgspec.Struct, frozen=True, array_like=True):
    """All parts of a store, as known to one instance.

    Parameters
    ----------
    epoch : int
        Changes when the store restarts.
    next_event : int
        Number of the first event that the list does not include.
    parts : dict of str to list
        By salt, all parts, each with its name and the tokens stored.
    age_s : float
        Time since the store's last answer that the list includes, in seconds.
    epoch_age_s : float or None
        Time for which the sender has known the epoch, in seconds; earlier versions
        don't state it.
    """

    epoch: int
    next_event: int
    parts: GroupedParts
    age_s: float = 0.0
    epoch_age_s: float | None = None


def group_parts(parts: Iterable[tuple[PartKey, int]]) -> GroupedParts:
    """Return parts and their tokens by salt.

    The salt makes up most of a part's bytes, so it is sent once for all its parts.
    """
    grouped: GroupedParts = {}
    for (salt, part), tokens in parts:
        grouped.setdefault(salt, []).append((part, tokens))
    return grouped


def part_events(grouped: GroupedParts) -> list[PartEvent]:
    """Return an event for each part that sets its tokens to the given number."""
    return [
        PartEvent(tokens > 0, salt, part, tokens)
        for salt, parts in grouped.items()
        for part, tokens in parts
    ]
