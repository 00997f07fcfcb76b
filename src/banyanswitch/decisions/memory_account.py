"""Account of the bytes that a process holds for its clients.

It decides which connections are closed, and which bodies refused, under pressure.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Final

RESERVED_BYTES: Final = 64 * 1024 * 1024
"""Memory of a process without clients: 41 MB measured, and room for control data."""

CLIENT_SHARE: Final = 0.5
"""Share of the remaining memory for bytes of clients. The rest is for copies, such as
that of a body in the request to the upstream, and for fragmentation."""

MIN_LIMIT_BYTES: Final = 12 * 1024 * 1024
"""Lowest derived limit, so that the largest request is served with any setting."""


def default_limit_bytes(memory_bytes: int) -> int:
    """Return the limit of the account of a process with this much memory."""
    return max(MIN_LIMIT_BYTES, int((memory_bytes - RESERVED_BYTES) * CLIENT_SHARE))


class Phase(Enum):
    """What a connection is doing, as far as its bytes are concerned."""

    IDLE = "idle"
    RECEIVING = "receiving"
    HANDLING = "handling"
    SENDING = "sending"


@dataclass(frozen=True, slots=True, kw_only=True)
class MemoryPolicy:
    """Settings of the account.

    Parameters
    ----------
    limit_bytes : int
        Bytes that all clients together may hold.
    pressure_share : float
        Share of the limit from which on new large bodies are refused, and minimum
        progress is required.
    target_share : float
        Share of the limit down to which connections are closed once it is exceeded.
    large_body_bytes : int
        Size above which a body counts as large.
    min_progress_bytes_per_s : float
        Bytes that a client must send or read per second.
    progress_window_s : float
        Time over which progress is measured, in seconds.
    """

    limit_bytes: int
    pressure_share: float = 0.5
    target_share: float = 0.75
    large_body_bytes: int = 64 * 1024
    min_progress_bytes_per_s: float = 4096.0
    progress_window_s: float = 3.0


class Holder:
    """Entry of one connection.

    Attributes
    ----------
    held_bytes : int
        Bytes held at present; changed only by `MemoryAccount`.
    moved_bytes : int
        Bytes received from and taken by the client so far.
    phase : Phase
        What the connection was doing when it was last reviewed.
    """

    __slots__ = (
        "_window_at_s",
        "_window_bytes",
        "held_bytes",
        "moved_bytes",
        "phase",
        "stalled_since_s",
    )

    def __init__(self, now_s: float) -> None:
        self.held_bytes = 0
        self.moved_bytes = 0
        self.phase = Phase.IDLE
        self.stalled_since_s = now_s
        self._window_at_s = now_s
        self._window_bytes = 0

    def review(self, now_s: float, phase: Phase, policy: MemoryPolicy) -> None:
        """Record the phase, and the progress if a window has ended."""
        if phase is not self.phase or phase in (Phase.IDLE, Phase.HANDLING):
            # Time in which it is not the client's turn is no stall.
            self.phase = phase
            self._begin_window(now_s)
            self.stalled_since_s = now_s
            return
        elapsed_s = now_s - self._window_at_s
        if elapsed_s < policy.progress_window_s:
            return
        moved = self.moved_bytes - self._window_bytes
        if moved >= policy.min_progress_bytes_per_s * elapsed_s:
            self.stalled_since_s = now_s
        self._begin_window(now_s)

    def _begin_window(self, now_s: float) -> None:
        self._window_at_s = now_s
        self._window_bytes = self.moved_bytes


class MemoryAccount:
    """Bytes held by the connections of a process.

    Attributes
    ----------
    held_bytes : int
        Sum over all holders.
    """

    def __init__(self, policy: MemoryPolicy) -> None:
        self.policy = policy
        self.held_bytes = 0
        self._holders: dict[Holder, None] = {}
        self._pressure_bytes = int(policy.limit_bytes * policy.pressure_share)
        self._check_at_bytes = policy.limit_bytes

    @property
    def is_under_pressure(self) -> bool:
        """Whether new large bodies are refused and minimum progress is required."""
        return self.held_bytes > self._pressure_bytes

    @property
    def needs_check(self) -> bool:
        """Whether `to_close` should be called before the next review."""
        return self.held_bytes > self._check_at_bytes

    def add(self, now_s: float) -> Holder:
        """Return the entry of a new connection."""
        holder = Holder(now_s)
        self._holders[holder] = None
        return holder

    def remove(self, holder: Holder) -> None:
        """Forget a connection and its bytes; a second call has no effect."""
        if holder in self._holders:
            del self._holders[holder]
            self.held_bytes -= holder.held_bytes
            holder.held_bytes = 0

    def set_held(self, holder: Holder, held_bytes: int) -> None:
        """Record the bytes that a connection holds now."""
        if holder in self._holders:
            self.held_bytes += held_bytes - holder.held_bytes
            holder.held_bytes = held_bytes

    def accepts_body(self, size_bytes: int) -> bool:
        """Return whether a body of this size may begin, or grow to it."""
        return size_bytes <= self.policy.large_body_bytes or not self.is_under_pressure

    def to_close(self, now_s: float) -> list[Holder]:
        """Return the connections to close, in order.

        Those that have held most for longest without progress come first. Below the
        limit, only connections without minimum progress are closed, and only under
        pressure. Requests that wait for an upstream are not closed.
        """
        policy = self.policy
        left = self.held_bytes
        self._check_at_bytes = policy.limit_bytes
        if left <= self._pressure_bytes:
            return []
        target = int(policy.limit_bytes * policy.target_share)
        is_over_limit = left > policy.limit_bytes
        closed = []
        for holder in sorted(self._closable(), key=lambda one: _rank(one, now_s)):
            stalled_s = now_s - holder.stalled_since_s
            is_slow = stalled_s >= policy.progress_window_s
            is_too_much = is_over_limit and left > target
            if is_too_much or (is_slow and left > self._pressure_bytes):
                closed.append(holder)
                left -= holder.held_bytes
        # Without enough to close, the next check waits until more is held.
        self._check_at_bytes = max(policy.limit_bytes, left + policy.limit_bytes // 16)
        return closed

    def _closable(self) -> list[Holder]:
        return [
            holder
            for holder in self._holders
            if holder.held_bytes and holder.phase in (Phase.RECEIVING, Phase.SENDING)
        ]


def _rank(holder: Holder, now_s: float) -> float:
    """Return the key by which connections are closed, lowest first.

    The added second lets the size decide between those that have just made progress.
    """
    return -holder.held_bytes * (now_s - holder.stalled_since_s + 1.0)
