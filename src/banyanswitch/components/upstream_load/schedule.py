"""Round-robin schedule in which the collectors of a group poll its upstreams."""

import math
from dataclasses import dataclass

from banyanswitch.components.upstream_load.const import (
    MAX_COLLECTORS,
    MAX_POLLS_PER_S,
    MIN_COLLECTORS,
    UPSTREAMS_PER_COLLECTOR,
)
from banyanswitch.components.upstream_load.models import UpstreamGroup


def collector_count(group_size: int) -> int:
    """Return the number of collectors for a group of this size."""
    wanted = math.ceil(group_size / UPSTREAMS_PER_COLLECTOR)
    return min(MAX_COLLECTORS, max(MIN_COLLECTORS, wanted))


def slot_length_s(group_size: int, collectors: int, poll_interval_s: float) -> float:
    """Return the length of one poll slot, in seconds.

    Each slot belongs to one collector, which polls the whole group once. All upstreams
    are therefore polled once per slot, and each collector makes at most
    ``MAX_POLLS_PER_S`` polls per second on average.
    """
    return max(poll_interval_s, group_size / MAX_POLLS_PER_S / collectors)


@dataclass(frozen=True, slots=True)
class _Reference:
    position: float
    at_s: float


class PollSchedule:
    """Current poll slot of each group, synchronized by the primary collector's digests.

    The clocks of instances are not compared. A digest contains the sender's position,
    in slots, and the receiver continues from there with its own clock.
    """

    def __init__(self) -> None:
        self._references: dict[UpstreamGroup, _Reference] = {}
        self._last_polled_slot: dict[UpstreamGroup, int] = {}

    def align(self, group: UpstreamGroup, position: float, now_s: float) -> None:
        """Set the position to that of the primary collector."""
        self._references[group] = _Reference(position, now_s)

    def position(self, group: UpstreamGroup, length_s: float, now_s: float) -> float:
        """Return the number of slots elapsed."""
        reference = self._references.setdefault(group, _Reference(0.0, now_s))
        return reference.position + (now_s - reference.at_s) / length_s

    def claim_slot(
        self, group: UpstreamGroup, position: float, rank: int, collectors: int
    ) -> bool:
        """Return whether the collector of this rank polls now.

        Returns true at most once per slot.
        """
        slot = int(position)
        if slot % collectors != rank or self._last_polled_slot.get(group) == slot:
            return False
        self._last_polled_slot[group] = slot
        return True


def polls_loading_upstreams(position: float, rank: int, collectors: int) -> bool:
    """Return whether the collector of this rank polls loading upstreams now.

    The collectors of the current and the next slot do, so that polling continues if
    one of them is frozen, and the load rotates among the collectors.
    """
    slot = int(position)
    return rank in (slot % collectors, (slot + 1) % collectors)
