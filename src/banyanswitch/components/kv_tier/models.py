"""Word of a store's readers to the other instances."""

from collections.abc import Iterable
from enum import Enum

import msgspec

from banyanswitch.components.forwarding.protocols import PartEvent

PartKey = tuple[str, str]
"""Salt and name of a part."""

GroupedParts = dict[str, list[tuple[str, int]]]
"""Names of parts, by salt, and the tokens of each that are kept; 0 for none."""


class RelayedEvents(msgspec.Struct, frozen=True, array_like=True):
    """What a reader has heard of a store since its last word on it.

    Parameters
    ----------
    epoch : int
        Changes when the store starts again.
    since : int
        Where the events begin; who has not come so far has missed some.
    next_event : int
        Where the next events begin.
    parts : dict of str to list
        By salt, the parts that changed, each with its name and the tokens kept now.
    """

    epoch: int
    since: int
    next_event: int
    parts: GroupedParts


class StoreWords(msgspec.Struct, frozen=True, array_like=True):
    """What one reader has to say of all the stores that it reads.

    A message of its own: reports of work under way must not wait behind it.

    Parameters
    ----------
    peer_address : str
        Where the sender serves whole lists.
    clock_ms : int or None
        The upstreams' clock when this is sent.
    """

    peer_address: str
    clock_ms: int | None
    events_by_store: dict[str, RelayedEvents]


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
    parts: GroupedParts


def group_parts(parts: Iterable[tuple[PartKey, int]]) -> GroupedParts:
    """Return parts and their tokens by salt; the salt is most of a part's bytes."""
    grouped: GroupedParts = {}
    for (salt, part), tokens in parts:
        grouped.setdefault(salt, []).append((part, tokens))
    return grouped


def part_events(grouped: GroupedParts) -> list[PartEvent]:
    """Return the events that lead to the parts as they are."""
    return [
        PartEvent(tokens > 0, salt, part, tokens)
        for salt, parts in grouped.items()
        for part, tokens in parts
    ]
