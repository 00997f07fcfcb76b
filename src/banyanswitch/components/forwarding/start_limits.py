"""Limits on the time at which upstreams start requests on superseded weights."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.core import callback
from banyanswitch.decisions.weight_age import WeightAgePolicy
from banyanswitch.exceptions import StartTimeoutError


@dataclass(frozen=True, slots=True, eq=False)
class _PendingStart:
    model: str
    version: int
    timeout: asyncio.Timeout


class StartLimits:
    """Limit how long requests wait at upstreams whose weights are superseded.

    A request may wait in an upstream's queue until its weights are too old to start it.
    A version can also be superseded while the request waits.

    Parameters
    ----------
    routing : RoutingState
        Times at which weight versions became targets.
    policy : WeightAgePolicy
        Maximum age of superseded weights.
    """

    def __init__(self, routing: RoutingState, policy: WeightAgePolicy) -> None:
        self._routing = routing
        self._policy = policy
        self._pending: set[_PendingStart] = set()
        routing.subscribe_targets(self._on_targets)

    @callback
    def may_send(self, model: str, version: int, now_s: float) -> bool:
        """Return whether requests may be sent to upstreams with a weight version."""
        superseded_at_s = self._routing.superseded_at_s(model, version)
        if superseded_at_s is None:
            return True
        return self._policy.may_send(now_s - superseded_at_s)

    @callback
    def start_by_s(self, model: str, version: int) -> float | None:
        """Return the loop time by which requests must start, ``None`` for no limit."""
        superseded_at_s = self._routing.superseded_at_s(model, version)
        if superseded_at_s is None:
            return None
        return self._policy.start_by_s(superseded_at_s)

    @callback
    def may_queue(
        self, model: str, version: int, ends_at_s: float, now_s: float
    ) -> bool:
        """Return whether a request may wait at an upstream that has no room for it."""
        superseded_at_s = self._routing.superseded_at_s(model, version)
        return self._policy.may_queue_at_upstream(superseded_at_s, ends_at_s, now_s)

    @asynccontextmanager
    async def async_limit(
        self, model: str | None, version: int | None
    ) -> AsyncIterator[None]:
        """Limit the time in the context, which ends when the request has started.

        The limit follows the target versions. Without a model or a version there is
        none.

        Raises
        ------
        StartTimeoutError
            If the request has not started in time.
        """
        if model is None or version is None:
            yield
            return
        timeout = asyncio.timeout_at(self.start_by_s(model, version))
        pending = _PendingStart(model, version, timeout)
        try:
            async with timeout:
                self._pending.add(pending)
                try:
                    yield
                finally:
                    self._pending.discard(pending)
        except TimeoutError as error:
            if not timeout.expired():
                raise
            raise StartTimeoutError(
                f"not started before weight version {version} of {model} was too old"
            ) from error

    def _on_targets(self, model: str) -> None:
        for pending in self._pending:
            if pending.model == model and not pending.timeout.expired():
                start_by_s = self.start_by_s(model, pending.version)
                pending.timeout.reschedule(start_by_s)
