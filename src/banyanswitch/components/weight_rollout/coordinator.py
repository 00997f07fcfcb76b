"""Load orders to upstreams, sent by the holder of the duty's lease."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial

import structlog

from banyanswitch.components.forwarding.models import ForwardedService
from banyanswitch.components.forwarding.protocols import EngineClient, LoadOrder
from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.forwarding.upstream_registry import (
    UpstreamRegistry,
    UpstreamState,
)
from banyanswitch.components.state_exchange.coordinator import StateExchange
from banyanswitch.components.upstream_links.coordinator import UpstreamLinks
from banyanswitch.components.weight_rollout.const import (
    ANNOUNCEMENT_DELAY_S,
    CHECK_INTERVAL_S,
    IDLE_CHECK_INTERVAL_S,
    LOAD_TIMEOUT_S,
    LOADING_SHARE,
    MAX_IDLE_REPORTS,
    MAX_REPORT_AGE_S,
    MIN_SERVING_SHARE,
    POLL_INTERVAL_S,
    RETRY_DELAY_S,
)
from banyanswitch.components.weight_rollout.order_lease import OrderLease
from banyanswitch.config.models import SwapPolicy
from banyanswitch.core import callback
from banyanswitch.decisions.swap_order import SwapView, next_loads
from banyanswitch.exceptions import FencedError, UpstreamError, UpstreamNotSentError
from banyanswitch.identifiers import UpstreamId, WeightVersion

LOGGER = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class _LoadedWeights:
    """Weight version in a report of an upstream.

    Parameters
    ----------
    begun_at_s : float
        Loop time of the earliest moment at which the upstream may have had it.
    """

    version: int
    begun_at_s: float


class WeightRollout:
    """Compare the weights of the upstreams with their targets and order loads.

    Parameters
    ----------
    order_lease : OrderLease
        Provides the fencing token while orders may be sent.
    routing : RoutingState
        Services and target weight versions.
    registry : UpstreamRegistry
        Upstreams, their load and their weight versions.
    links : UpstreamLinks
        Links of this instance to the upstreams.
    engines : EngineClient
        Reads reports of model servers and sends them orders.
    exchange : StateExchange
        Announces loads and their results to the other instances.
    holder : str
        Name of this instance in orders.
    """

    def __init__(
        self,
        *,
        order_lease: OrderLease,
        routing: RoutingState,
        registry: UpstreamRegistry,
        links: UpstreamLinks,
        engines: EngineClient,
        exchange: StateExchange,
        holder: str,
    ) -> None:
        self._order_lease = order_lease
        self._routing = routing
        self._registry = registry
        self._links = links
        self._engines = engines
        self._exchange = exchange
        self._holder = holder
        self._tasks: dict[UpstreamId, asyncio.Task[None]] = {}
        self._retry_at_s: dict[UpstreamId, float] = {}

    async def async_run(self) -> None:
        """Order loads while the duty is held, until cancelled."""
        while True:
            has_work = self._step()
            await asyncio.sleep(CHECK_INTERVAL_S if has_work else IDLE_CHECK_INTERVAL_S)

    @callback
    def cancel_all(self) -> None:
        """Cancel the tasks that wait for ordered loads."""
        for task in self._tasks.values():
            task.cancel()

    def _step(self) -> bool:
        now_s = _now_s()
        if self._order_lease.token(now_s) is None:
            self._exchange.withdraw_loading()
            return bool(self._tasks)
        has_work = False
        for service, model in self._services():
            target = self._routing.targets.get(model)
            if target is None:
                continue
            states = self._registry.of_service(service.name)
            outdated = [
                state
                for state in states
                if not state.record.is_leaving
                and not self._registry.notices.is_leaving(state.record)
                and state.weight_versions.get(model, 0) < target.version
            ]
            if not outdated:
                continue
            has_work = True
            self._start_loads(states, model, target.version, now_s)
        return has_work

    def _services(self) -> Iterable[tuple[ForwardedService, str]]:
        configuration = self._routing.configuration
        if configuration is None:
            return
        for service in configuration.services.values():
            for model in service.engine.models if service.engine else ():
                yield service, model

    def _start_loads(
        self, states: list[UpstreamState], model: str, version: int, now_s: float
    ) -> None:
        loads_at_once = max(1, round(LOADING_SHARE * len(states)))
        policy = SwapPolicy(
            loads_at_once=loads_at_once, min_serving_share=MIN_SERVING_SHARE
        )
        views = [self._view(state, model, version, now_s) for state in states]
        chosen = next_loads(views, WeightVersion(str(version)), policy, now_s)
        names = [name for name in chosen if name not in self._tasks]
        wait_s = ANNOUNCEMENT_DELAY_S
        if names:
            self._exchange.announce_loading(names, version)
            wait_s += self._exchange.broadcast_time_s()
        for name in names:
            state = self._registry.state(name)
            if state is None:
                continue
            task = asyncio.get_running_loop().create_task(
                self._async_load(state, model, version, wait_s), name=f"load_{name}"
            )
            self._tasks[name] = task
            task.add_done_callback(self._remove_task)

    def _remove_task(self, task: asyncio.Task[None]) -> None:
        for name, known in tuple(self._tasks.items()):
            if known is task:
                del self._tasks[name]

    def _view(
        self, state: UpstreamState, model: str, version: int, now_s: float
    ) -> SwapView:
        name = state.record.name
        known = state.weight_versions.get(model, 0)
        load = self._registry.loads.total(name, now_s)
        return SwapView(
            name=name,
            failure_domain=state.record.failure_domain,
            # An upstream on a later version needs no load either.
            weight_version=WeightVersion(str(version if known >= version else known)),
            is_serving=self._registry.health(state, now_s) > 0,
            # Loads of an earlier holder are seen in the report read before the order.
            is_loading=name in self._tasks,
            is_leaving=(
                state.record.is_leaving
                or state.expires_at_s is not None
                or self._registry.notices.is_leaving(state.record)
            ),
            running_requests=load.requests,
            retry_at_s=self._load_not_before_s(state),
        )

    def _load_not_before_s(self, state: UpstreamState) -> float:
        """Return the loop time before which an upstream gets no order, in seconds.

        An upstream that is not reached must not be announced as loading either, since
        it would get no requests.
        """
        if not self._links.is_reached(state.record):
            return float("inf")
        return max(
            self._retry_at_s.get(state.record.name, 0.0),
            self._registry.notices.rests_until_s(state.record),
        )

    async def _async_load(
        self, state: UpstreamState, model: str, version: int, wait_s: float
    ) -> None:
        name = state.record.name
        loaded: _LoadedWeights | None = None
        try:
            await asyncio.sleep(wait_s)
            if not self._registry.notices.may_send(state.record, _now_s()):
                return
            loaded = await self._async_order_and_wait(state, model, version)
        except FencedError as error:
            LOGGER.warning("orders_fenced", upstream=name, reason=str(error))
            self._order_lease.invalidate()
        except UpstreamError as error:
            LOGGER.warning("load_not_ordered", upstream=name, reason=str(error))
        finally:
            if loaded is None:
                self._retry_at_s[name] = _now_s() + RETRY_DELAY_S
                self._exchange.end_loading(name)
            else:
                self._exchange.announce_weights(
                    name, model, loaded.version, loaded.begun_at_s
                )

    async def _async_order_and_wait(
        self, state: UpstreamState, model: str, version: int
    ) -> "_LoadedWeights | None":
        """Return the version that the upstream has reached, or ``None`` if unknown."""
        address = state.record.address
        begun_at_s = _now_s() - MAX_REPORT_AGE_S
        report = await self._engines.async_report(address)
        known = report.weight_versions.get(model, 0)
        if known >= version:
            return _LoadedWeights(known, begun_at_s)
        token = self._order_lease.token(_now_s())
        if token is None:
            return None
        if not report.is_busy:
            order = LoadOrder(
                upstream=state.record.name,
                model=model,
                version=version,
                holder=self._holder,
                fencing_token=token,
                orders_accepted=report.orders_accepted,
                send_by_s=partial(self._order_lease.send_by_s, token),
            )
            is_accepted = await self._async_order(address, order)
            LOGGER.info(
                "load_ordered",
                upstream=state.record.name,
                version=version,
                fencing_token=token,
                is_accepted=is_accepted,
            )
            if not is_accepted:
                return None
        return await self._async_wait_until_loaded(state, model, version)

    async def _async_order(self, address: str, order: LoadOrder) -> bool:
        """Send the order; one without an answer counts as possibly accepted.

        Raises
        ------
        UpstreamNotSentError
            If the order was not sent.
        """
        try:
            return await self._engines.async_order_load(address, order)
        except UpstreamNotSentError:
            raise
        except UpstreamError as error:
            LOGGER.info("order_unanswered", upstream=order.upstream, reason=str(error))
            return True

    async def _async_wait_until_loaded(
        self, state: UpstreamState, model: str, version: int
    ) -> "_LoadedWeights | None":
        deadline_s = _now_s() + LOAD_TIMEOUT_S
        idle_reports = 0
        while _now_s() < deadline_s:
            await asyncio.sleep(POLL_INTERVAL_S)
            name = state.record.name
            if self._registry.state(name) is not state:
                return None
            self._exchange.renew_loading(name, version)
            if not self._registry.notices.may_send(state.record, _now_s()):
                continue
            begun_at_s = _now_s() - MAX_REPORT_AGE_S
            try:
                report = await self._engines.async_report(state.record.address)
            except UpstreamError as error:
                LOGGER.info("report_missing", upstream=name, reason=str(error))
                continue
            known = report.weight_versions.get(model, 0)
            if known >= version and not report.is_busy:
                return _LoadedWeights(known, begun_at_s)
            idle_reports = 0 if report.is_busy else idle_reports + 1
            if idle_reports > MAX_IDLE_REPORTS:
                return None
        return None


def _now_s() -> float:
    return asyncio.get_running_loop().time()
