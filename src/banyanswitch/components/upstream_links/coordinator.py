"""Links from this instance to upstreams."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

import structlog

from banyanswitch.components.forwarding.models import UpstreamRecord
from banyanswitch.components.forwarding.upstream_registry import (
    UpstreamRegistry,
    UpstreamState,
)
from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.upstream_links.const import MAX_REPORTED_LINKS, TICK_S
from banyanswitch.components.upstream_links.peer_links import PeerLinkTable
from banyanswitch.core import callback
from banyanswitch.decisions.upstream_links import (
    LinkPolicy,
    upstreams_to_check,
    usable_upstreams,
)
from banyanswitch.exceptions import UpstreamNotSentError
from banyanswitch.identifiers import FailureDomainId, ServiceName, UpstreamId

LOGGER = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class _Unreached:
    service: ServiceName
    since_s: float


class UpstreamLinks:
    """Upstreams to which this instance can open no connections.

    Requests don't test such a link: connections are opened to it at intervals until one
    succeeds. As soon as several links of a service are down, others are checked too.

    Parameters
    ----------
    registry : UpstreamRegistry
        The upstreams.
    pool : ConnectionPool
        Connections of requests; a check leaves its connection there.
    peers : PeerLinkTable
        Links of the other instances.

    Attributes
    ----------
    on_change : callable
        Called when a link goes down or is up again.
    is_evacuated : callable
        Returns whether a failure domain is evacuated; its links are not checked.
    """

    def __init__(
        self,
        registry: UpstreamRegistry,
        pool: ConnectionPool,
        peers: PeerLinkTable,
        policy: LinkPolicy | None = None,
    ) -> None:
        self._registry = registry
        self._pool = pool
        self.peers = peers
        self._policy = policy or LinkPolicy()
        self._unreached: dict[UpstreamId, _Unreached] = {}
        self._checked_at_s: dict[UpstreamId, float] = {}
        self._checks: dict[UpstreamId, asyncio.Task[None]] = {}
        self._has_unreached = asyncio.Event()
        self.on_change: Callable[[], None] = lambda: None
        self.is_evacuated: Callable[[FailureDomainId], bool] = lambda _domain: False

    @callback
    def note_not_sent(self, record: UpstreamRecord, *, has_timed_out: bool) -> None:
        """Record that no connection to an upstream could be opened.

        If the connection hung, idle ones are considered dead too.
        """
        now_s = _now_s()
        if has_timed_out:
            self._pool.close_idle(record.address)
        self._checked_at_s[record.name] = now_s
        if record.name in self._unreached:
            return
        self._unreached[record.name] = _Unreached(record.service, now_s)
        self._has_unreached.set()
        LOGGER.info(
            "upstream_unreached",
            upstream=record.name,
            service=record.service,
            has_timed_out=has_timed_out,
            unreached=self._unreached_count(record.service),
            known=len(self._registry.of_service(record.service)),
        )
        self.on_change()

    @callback
    def is_reached(self, record: UpstreamRecord) -> bool:
        """Return whether connections to an upstream can be opened, as far as known."""
        return record.name not in self._unreached

    @callback
    def is_direct(self, record: UpstreamRecord) -> bool:
        """Return whether a request can be sent directly to an upstream."""
        return self.is_reached(record) or self._pool.has_idle(record.address)

    @callback
    def has_peer(self) -> bool:
        """Return whether another instance takes requests."""
        return bool(self.peers.available())

    @callback
    def usable(self, states: Sequence[UpstreamState]) -> list[UpstreamState]:
        """Return those upstreams of a service that requests may be placed on."""
        if not self._unreached:
            return list(states)
        is_reached = {s.record.name: self.is_direct(s.record) for s in states}
        names = usable_upstreams(is_reached, self.peers.available(), self._policy)
        return [state for state in states if state.record.name in names]

    @callback
    def report(self) -> list[UpstreamId]:
        """Return the upstreams that are not reached, for the other instances."""
        return sorted(self._unreached)[:MAX_REPORTED_LINKS]

    async def async_run(self) -> None:
        """Check the links while one of them is down, until cancelled."""
        try:
            while True:
                await self._has_unreached.wait()
                self._forget_removed()
                self._start_checks()
                if not self._unreached:
                    self._has_unreached.clear()
                    continue
                await asyncio.sleep(TICK_S)
        finally:
            for task in self._checks.values():
                task.cancel()

    def _start_checks(self) -> None:
        now_s = _now_s()
        for service in {down.service for down in self._unreached.values()}:
            states = {
                state.record.name: state
                for state in self._registry.of_service(service)
                if not self.is_evacuated(state.record.failure_domain)
            }
            checked_at_s = {
                name: self._checked_at_s.get(name, float("-inf")) for name in states
            }
            unreached_since_s = {
                name: self._unreached[name].since_s
                for name in states
                if name in self._unreached
            }
            for name in upstreams_to_check(
                unreached_since_s, checked_at_s, self._policy, now_s
            ):
                if name in self._checks:
                    continue
                self._checked_at_s[name] = now_s
                check = self._async_check(states[name].record)
                self._checks[name] = asyncio.create_task(check)
                self._checks[name].add_done_callback(partial(self._on_checked, name))

    def _on_checked(self, name: UpstreamId, _: asyncio.Task[None]) -> None:
        self._checks.pop(name, None)

    async def _async_check(self, record: UpstreamRecord) -> None:
        try:
            connection = await self._pool.async_open(record.address)
        except UpstreamNotSentError as error:
            self.note_not_sent(record, has_timed_out=error.has_timed_out)
            return
        self._pool.release(record.address, connection)
        down = self._unreached.pop(record.name, None)
        if down is None:
            return
        LOGGER.info(
            "upstream_reached",
            upstream=record.name,
            service=record.service,
            after_s=round(_now_s() - down.since_s, 3),
            unreached=self._unreached_count(record.service),
        )
        self.on_change()

    def _forget_removed(self) -> None:
        for name in tuple(self._unreached):
            if self._registry.state(name) is None:
                del self._unreached[name]
        for name in tuple(self._checked_at_s):
            if self._registry.state(name) is None:
                del self._checked_at_s[name]

    def _unreached_count(self, service: ServiceName) -> int:
        return sum(down.service == service for down in self._unreached.values())


def _now_s() -> float:
    return asyncio.get_running_loop().time()
