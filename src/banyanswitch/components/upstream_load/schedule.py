"""Turns in which the gatherers of a group poll its upstreams."""

import math
from dataclasses import dataclass

from banyanswitch.components.upstream_load.const import (
    MAX_GATHERERS,
    MAX_POLLS_PER_S,
    MIN_GATHERERS,
    UPSTREAMS_PER_GATHERER,
)
from banyanswitch.components.upstream_load.models import UpstreamGroup


def gatherer_count(group_size: int) -> int:
    """Return how many instances poll a group of this many upstreams."""
    wanted = math.ceil(group_size / UPSTREAMS_PER_GATHERER)
    return min(MAX_GATHERERS, max(MIN_GATHERERS, wanted))


def turn_length_s(group_size: int, gatherers: int, poll_interval_s: float) -> float:
    """Return the time for which one gatherer has its turn, in seconds.

    Each polls the whole group once in its turn, so all upstreams are polled once a
    turn, and no gatherer makes more than ``MAX_POLLS_PER_S``.
    """
    return max(poll_interval_s, group_size / MAX_POLLS_PER_S / gatherers)


@dataclass(frozen=True, slots=True)
class _Reference:
    position: float
    at_s: float


class PollSchedule:
    """Number of the turn of each group, aligned with the digests of the first gatherer.

    Clocks of instances are not compared: a digest carries the sender's position, in
    turns, and the receiver counts on from there.
    """

    def __init__(self) -> None:
        self._references: dict[UpstreamGroup, _Reference] = {}
        self._polled_turn: dict[UpstreamGroup, int] = {}

    def align(self, group: UpstreamGroup, position: float, now_s: float) -> None:
        """Take over the first gatherer's position."""
        self._references[group] = _Reference(position, now_s)

    def position(self, group: UpstreamGroup, length_s: float, now_s: float) -> float:
        """Return the number of turns that have passed."""
        reference = self._references.setdefault(group, _Reference(0.0, now_s))
        return reference.position + (now_s - reference.at_s) / length_s

    def take(
        self, group: UpstreamGroup, position: float, rank: int, gatherers: int
    ) -> bool:
        """Return whether the gatherer of this rank polls now, once a turn."""
        turn = int(position)
        if turn % gatherers != rank or self._polled_turn.get(group) == turn:
            return False
        self._polled_turn[group] = turn
        return True


def watches_loading(position: float, rank: int, gatherers: int) -> bool:
    """Return whether a gatherer polls loading upstreams now.

    The one that has the turn and the one that has the next do, so that one may be
    frozen and the work goes round.
    """
    turn = int(position)
    return rank in (turn % gatherers, (turn + 1) % gatherers)
