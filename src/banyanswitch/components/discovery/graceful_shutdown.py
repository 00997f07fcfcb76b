"""Graceful shutdown that moves callers away before connections are closed."""

import asyncio
from collections.abc import Callable, Sequence

import structlog

from banyanswitch.components.discovery.const import (
    ACCEPT_SHARE,
    DRAIN_POLL_INTERVAL_S,
    DRAIN_SHARE,
    MAX_ACCEPT_S,
    SEND_SHARE,
)
from banyanswitch.components.http1.caller_server import CallerServer
from banyanswitch.core import callback
from banyanswitch.decisions.stop_admission import StopPolicy, accepts_request

LOGGER = structlog.get_logger(__name__)


class GracefulShutdown:
    """Stop this instance within its grace period.

    Parameters
    ----------
    grace_s : float
        Time until the process is killed, in seconds; may be changed until a stop is
        requested.
    on_leaving : sequence of callable
        Handlers that are each called once when the stop is requested.

    Attributes
    ----------
    requested : asyncio.Event
        Set when the stop is requested.
    is_leaving : bool
        Whether the stop has been requested.
    """

    def __init__(
        self, grace_s: float, on_leaving: Sequence[Callable[[], None]]
    ) -> None:
        self._servers: list[CallerServer] = []
        self.grace_s = grace_s
        self._policy = _stop_policy(grace_s)
        self._on_leaving = tuple(on_leaving)
        self._requested_at_s = 0.0
        self.requested = asyncio.Event()
        self.is_leaving = False

    @callback
    def add_server(self, server: CallerServer) -> None:
        """Add a server of callers, or of instances that pass on requests."""
        self._servers.append(server)

    @callback
    def request(self) -> None:
        """Begin the shutdown; further calls have no effect."""
        if not self.is_leaving:
            self.is_leaving = True
            self._policy = _stop_policy(self.grace_s)
            self._requested_at_s = asyncio.get_running_loop().time()
            LOGGER.info("stop_requested", grace_s=self.grace_s)
            for handler in self._on_leaving:
                handler()
            for server in self._servers:
                server.announce_close()
        self.requested.set()

    @callback
    def accepts(self, limit_s: float, *, is_call_once: bool) -> bool:
        """Return whether a request is accepted.

        Parameters
        ----------
        limit_s : float
            Time in which the request must be answered, in seconds.
        is_call_once : bool
            Whether the request is a call, not a stream, that must not run twice.
        """
        if not self.is_leaving:
            return True
        elapsed_s = asyncio.get_running_loop().time() - self._requested_at_s
        return accepts_request(
            self._policy,
            elapsed_s=elapsed_s,
            limit_s=limit_s,
            is_call_once=is_call_once,
        )

    async def async_wait_stopped(self) -> None:
        """Wait for the stop request, drain the requests, and end those that remain.

        A response is drained when its caller has acknowledged all of it or has left.
        Requests that remain are answered with an error, unless a part of their response
        was sent. The process may exit afterwards.
        """
        await self.requested.wait()
        loop = asyncio.get_running_loop()
        policy, began_at_s = self._policy, self._requested_at_s
        await asyncio.sleep(policy.accept_until_s)
        for server in self._servers:
            server.stop_listening()
            server.close_idle()
        await _async_wait_zero(self._open_count, began_at_s + policy.end_requests_at_s)
        unfinished = self._busy_count()
        for server in self._servers:
            server.end_requests()
        await _async_wait_zero(self._open_count, began_at_s + policy.exit_by_s)
        LOGGER.info(
            "stopped",
            after_s=round(loop.time() - began_at_s, 3),
            unfinished=unfinished,
            unsent=self._unsent_count(),
        )
        for server in self._servers:
            server.abort_all()

    def _open_count(self) -> int:
        return self._busy_count() + self._unsent_count()

    def _busy_count(self) -> int:
        return sum(server.busy_count for server in self._servers)

    def _unsent_count(self) -> int:
        return sum(server.unsent_count for server in self._servers)


def _stop_policy(grace_s: float) -> StopPolicy:
    return StopPolicy(
        accept_until_s=min(ACCEPT_SHARE * grace_s, MAX_ACCEPT_S),
        end_requests_at_s=DRAIN_SHARE * grace_s,
        exit_by_s=SEND_SHARE * grace_s,
    )


async def _async_wait_zero(count: Callable[[], int], ends_at_s: float) -> None:
    """Wait until a count is zero, at most until a loop time."""
    loop = asyncio.get_running_loop()
    while True:
        if not count() or loop.time() >= ends_at_s:
            return
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
