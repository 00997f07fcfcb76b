"""Reports of connections to the memory account, and what follows from it."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

import structlog

from banyanswitch.components.http1.models import Header, Headers
from banyanswitch.core import callback
from banyanswitch.decisions.memory_account import (
    Holder,
    MemoryAccount,
    MemoryPolicy,
    Phase,
)

LOGGER = structlog.get_logger(__name__)


class GuardedConnection(Protocol):
    """Connection that holds bytes for its client."""

    @property
    def phase(self) -> Phase:
        """What the connection is doing."""

    def report_memory(self) -> None:
        """Report the bytes that the connection holds now."""

    def close_under_pressure(self) -> None:
        """Refuse the request that is being received, or abort the connection."""


class MemoryMetrics(Protocol):
    """Receiver of what the guard does."""

    def observe_memory(self, held_bytes: int, limit_bytes: int) -> None:
        """Record the bytes held."""

    def count_closed_connection(self, reason: str) -> None:
        """Count a connection that was closed, by reason."""


class MemoryGuard:
    """Keep the bytes of all connections of a process within a limit.

    Parameters
    ----------
    refusal_headers : callable
        Returns the headers of a refusal under pressure, given those of the request.
    metrics : MemoryMetrics, optional
        Receiver of what the guard does.
    """

    def __init__(
        self,
        policy: MemoryPolicy,
        refusal_headers: Callable[[Headers], Iterable[Header]] = lambda _: (),
        metrics: MemoryMetrics | None = None,
    ) -> None:
        self.account = MemoryAccount(policy)
        self.refusal_headers = refusal_headers
        self._metrics = metrics
        self._connections: dict[Holder, GuardedConnection] = {}
        self._loop = asyncio.get_running_loop()
        self._is_pressed = False

    @callback
    def add(self, connection: GuardedConnection) -> Holder:
        """Return the entry of a new connection."""
        holder = self.account.add(self._loop.time())
        self._connections[holder] = connection
        return holder

    @callback
    def remove(self, holder: Holder) -> None:
        """Forget a connection."""
        self.account.remove(holder)
        self._connections.pop(holder, None)

    @callback
    def check(self) -> None:
        """Close connections if the account requires it."""
        now_s = self._loop.time()
        policy = self.account.policy
        for holder, connection in tuple(self._connections.items()):
            connection.report_memory()
            holder.review(now_s, connection.phase, policy)
        self._note_pressure()
        for holder in self.account.to_close(now_s):
            LOGGER.warning(
                "connection_closed_under_pressure",
                phase=holder.phase.value,
                held_bytes=holder.held_bytes,
                stalled_s=round(now_s - holder.stalled_since_s, 1),
                total_bytes=self.account.held_bytes,
            )
            self.count_closed("memory")
            closed = self._connections.get(holder)
            self.remove(holder)
            if closed is not None:
                closed.close_under_pressure()
        if self._metrics is not None:
            self._metrics.observe_memory(self.account.held_bytes, policy.limit_bytes)

    @callback
    def count_closed(self, reason: str) -> None:
        """Count a connection that was closed or refused, by reason."""
        if self._metrics is not None:
            self._metrics.count_closed_connection(reason)

    def _note_pressure(self) -> None:
        if self.account.is_under_pressure is self._is_pressed:
            return
        self._is_pressed = not self._is_pressed
        event = "memory_pressure_began" if self._is_pressed else "memory_pressure_ended"
        LOGGER.warning(
            event,
            held_bytes=self.account.held_bytes,
            limit_bytes=self.account.policy.limit_bytes,
            connections=len(self._connections),
        )


class ConnectionMemory:
    """Bytes that one connection holds, by where they are.

    Attributes
    ----------
    received_bytes : int
        Part of the request that is being received.
    queued_bytes : int
        Requests that are queued or being handled.
    collected_bytes : int
        Part of a response that is not yet written.
    unsent_bytes : int
        Write buffer.
    """

    __slots__ = (
        "_guard",
        "_holder",
        "collected_bytes",
        "queued_bytes",
        "received_bytes",
        "unsent_bytes",
    )

    def __init__(self, guard: MemoryGuard, connection: GuardedConnection) -> None:
        self._guard = guard
        self._holder = guard.add(connection)
        self.received_bytes = 0
        self.queued_bytes = 0
        self.collected_bytes = 0
        self.unsent_bytes = 0

    @property
    def stalled_since_s(self) -> float:
        """Loop time since which the client has made too little progress."""
        return self._holder.stalled_since_s

    @callback
    def set_unsent(self, unsent_bytes: int, written_bytes: int = 0) -> None:
        """Record the write buffer; what is no longer in it was taken by the client."""
        moved = self.unsent_bytes + written_bytes - unsent_bytes
        self._holder.moved_bytes += moved
        self.unsent_bytes = unsent_bytes

    @callback
    def note_received(self, size_bytes: int) -> None:
        """Record bytes that were received from the client, or for it."""
        self._holder.moved_bytes += size_bytes

    @callback
    def report(self) -> None:
        """Report the sum to the account."""
        self._guard.account.set_held(
            self._holder,
            self.received_bytes
            + self.queued_bytes
            + self.collected_bytes
            + self.unsent_bytes,
        )

    @callback
    def check(self) -> None:
        """Let the guard close connections if too much is held."""
        if self._guard.account.needs_check:
            self._guard.check()

    @callback
    def release(self) -> None:
        """Forget the connection."""
        self._guard.remove(self._holder)
