"""Placement of requests on upstreams."""

import random
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from banyanswitch.components.forwarding.const import CONNECTION_SHARE
from banyanswitch.components.forwarding.loads import InFlight
from banyanswitch.components.forwarding.models import (
    ForwardedService,
    ForwardedWorkspace,
    RequestMetadata,
    Route,
    UpstreamRecord,
    UpstreamRequestPlan,
)
from banyanswitch.components.forwarding.request_costs import (
    PlacedCost,
    RequestCosts,
    with_work,
)
from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.forwarding.start_limits import StartLimits
from banyanswitch.components.forwarding.upstream_registry import (
    UpstreamRegistry,
    UpstreamState,
)
from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.kv_tier.coordinator import PartPlan, PartTier
from banyanswitch.components.upstream_links.coordinator import UpstreamLinks
from banyanswitch.core import callback
from banyanswitch.decisions.cold_upstreams import warm_among, without_cold
from banyanswitch.decisions.cost_model import RequestShape, WorkEstimate
from banyanswitch.decisions.fetch_limit import objective_limit_s
from banyanswitch.decisions.prefix import versioned_cache_salt
from banyanswitch.decisions.upstream_choice import (
    UpstreamChoicePolicy,
    UpstreamChoiceRequest,
    UpstreamView,
    choose_upstream,
    home_among,
    is_overloaded,
    must_wait,
    prefill_cost_tokens,
)
from banyanswitch.decisions.upstream_sample import UpstreamSample, sample_upstreams
from banyanswitch.identifiers import FailureDomainId, ServiceName, UpstreamId

MILLISECONDS_PER_S = 1000.0
MIN_HEALTH = 0.05
"""Lower bound of the health in the choice of an upstream; unhealthy upstreams are among
the candidates if too few are healthy."""
MIN_HEALTHY_SHARE = 0.5
"""Minimum healthy share of the eligible upstreams; below it, all of them are used."""
MAX_RANK = 9
"""Lowest priority of a request; 0 is the highest."""
WORKSPACE_RANK_STEP = 3
"""Number of route priorities within each workspace priority."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRequest:
    """Request to be placed, with its constraints.

    Parameters
    ----------
    software_version : str or None
        Only software version that may continue a stream; ``None`` before its first
        event.
    is_wait_over : bool
        Whether the request can't wait at this instance any longer. It is then sent to
        an upstream without room for it, unless the upstream's weights would soon be too
        old to start it.
    is_passed_on : bool
        Whether another instance has passed the request on, so that only upstreams that
        this one reaches may be used.
    sample : UpstreamSample or None
        Upstreams among which it is placed; ``None`` for all that can take it.
    objective_left_s : float
        Time until its latency objective, in seconds; negative if it has passed.
    """

    metadata: RequestMetadata
    route: Route
    workspace: ForwardedWorkspace | None
    service: ForwardedService
    excluded: Collection[UpstreamId]
    time_left_s: float
    resume_after: bytes | None = None
    software_version: str | None = None
    is_wait_over: bool = False
    is_passed_on: bool = False
    sample: UpstreamSample | None = None
    objective_left_s: float = 0.0
    body_bytes: int = 0


@dataclass(frozen=True, slots=True)
class PlacementResult:
    """Selected upstream of a request, with the plan and the load of the request.

    Parameters
    ----------
    cost : PlacedCost
        Predicted work of the request.
    superseded_for_s : float or None
        Time since a newer weight version than the upstream's became the target;
        ``None`` if there is none.
    is_direct : bool
        Whether this instance can send the request to the upstream itself.
    is_overloaded : bool
        Whether the upstream can't start the request in useful time.
    load_age_s : float or None
        Age of what is known of the other instances' load at the upstream, in seconds.
    has_avoided_cold : bool
        Whether cold upstreams were left out because of a large prefill.
    """

    record: UpstreamRecord
    plan: UpstreamRequestPlan
    in_flight: InFlight
    cost: PlacedCost
    candidates: int
    home_key: str = ""
    stored_tokens: int = 0
    unstored_tokens: int = 0
    queued_tokens: int = 0
    held_tokens: int = 0
    running_requests: int = 0
    entry_age_s: float = 0.0
    superseded_for_s: float | None = None
    parts: PartPlan = field(default_factory=PartPlan)
    must_wait: bool = False
    is_overloaded: bool = False
    is_large_prefill: bool = False
    is_direct: bool = True
    load_age_s: float | None = None
    has_avoided_cold: bool = False


class Placement:
    """Placement of requests by the state that is known to this instance.

    Parameters
    ----------
    instance_count : callable
        Returns the number of live instances.
    """

    def __init__(
        self,
        *,
        routing: RoutingState,
        registry: UpstreamRegistry,
        tier: PartTier,
        pool: ConnectionPool,
        failure_domain: FailureDomainId,
        start_limits: StartLimits,
        instance_count: Callable[[], int],
        links: UpstreamLinks,
        costs: RequestCosts,
        generator: random.Random,
        policy: UpstreamChoicePolicy | None = None,
    ) -> None:
        self._routing = routing
        self._registry = registry
        self._tier = tier
        self._pool = pool
        self._failure_domain = failure_domain
        self._start_limits = start_limits
        self._instance_count = instance_count
        self._links = links
        self._costs = costs
        self._random = generator
        self._policy = policy or UpstreamChoicePolicy()

    @callback
    def sample(
        self, request: PlacementRequest, count: int, now_s: float
    ) -> UpstreamSample:
        """Return the upstreams among which to place a request."""
        states = self._eligible(request, now_s)
        names = [state.record.name for state in states]
        model = request.metadata.model if request.service.engine else None
        newest = self._newest_version(model, states)
        preferred = [
            state.record.name
            for state in states
            if self._weight_version(state, model) == newest
        ]
        choice = self._choice_request(request)
        cold = self._cold(states, now_s)
        preferred = warm_among(preferred, cold, choice, self._policy)
        home = home_among(choice.home_key, names)
        return sample_upstreams(names, preferred, home, count, self._random)

    @callback
    def place(self, request: PlacementRequest, now_s: float) -> PlacementResult | None:
        """Return the placement of a request, or ``None`` if no upstream can take it."""
        states = self._eligible(request, now_s)
        if not states:
            return None
        model = request.metadata.model if request.service.engine else None
        newest_version = self._newest_version(model, states)
        plans = {
            weight_version: self._part_plan(request, model, weight_version)
            for weight_version in {
                self._weight_version(state, model) for state in states
            }
        }
        views = [
            self._view(state, request, newest_version, plans, now_s) for state in states
        ]
        shape, estimate = self._predicted(request, now_s)
        choice = self._choice_request(request)
        # Where no upstream reports its speed, all are taken for equal as before.
        if estimate.is_learned and self._registry.slowness.is_reported:
            age_s = self._registry.loads.age_s(states[0].record.name, now_s)
            choice = with_work(choice, estimate, age_s, request.metadata.attempt)
        if request.is_wait_over:
            views = self._startable(views, states, request, choice, now_s)
        known = len(views)
        views = without_cold(views, self._cold(states, now_s), choice, self._policy)
        home = request.sample.home if request.sample else None
        if home not in {state.record.name for state in states}:
            names = [state.record.name for state in states]
            home = home_among(choice.home_key, names)
        name = choose_upstream(views, choice, self._policy, home)
        if name is None:
            return None
        state = next(state for state in states if state.record.name == name)
        view = next(view for view in views if view.name == name)
        weight_version = self._weight_version(state, model)
        parts = plans[weight_version]
        is_home = home == name
        if home is not None and not is_home:
            parts = self._with_home_source(parts, states, home, weight_version, model)
        prefill = prefill_cost_tokens(view, choice, self._policy, is_home=is_home)
        memory = request.metadata.prompt_tokens + request.metadata.output_tokens
        is_large_prefill = prefill >= self._policy.large_prefill_tokens
        fetches: dict[str, int] = {}
        for address, part in zip(parts.fetches, request.metadata.parts, strict=False):
            if address:
                fetches[address] = fetches.get(address, 0) + part.tokens
        in_flight = InFlight(
            name,
            int(prefill),
            memory,
            now_s,
            is_large_prefill=is_large_prefill,
            fetches=fetches,
            work_s=estimate.work_s(prefill),
            run_s=estimate.run_s,
        )
        plan = self._request_plan(request, state.record, model, weight_version, parts)
        return PlacementResult(
            record=state.record,
            plan=plan,
            in_flight=in_flight,
            candidates=len(views),
            has_avoided_cold=len(views) < known,
            home_key=choice.home_key,
            stored_tokens=view.stored_tokens,
            unstored_tokens=choice.shared_tokens - view.stored_tokens,
            queued_tokens=view.prefill_tokens,
            held_tokens=view.memory_tokens,
            running_requests=view.running_requests,
            entry_age_s=now_s - state.entry_read_at_s,
            superseded_for_s=self._superseded_for_s(model, weight_version, now_s),
            parts=parts,
            must_wait=must_wait(view, choice, self._policy),
            is_overloaded=is_overloaded(view, choice, self._policy),
            is_large_prefill=is_large_prefill,
            is_direct=self._links.is_direct(state.record),
            load_age_s=self._registry.loads.age_s(name, now_s),
            cost=PlacedCost(
                shape=shape,
                estimate=estimate,
                work_s=in_flight.work_s,
                work_ahead_s=view.work_s,
                prefill_tokens=view.prefill_tokens + prefill,
                slowness=view.slowness,
                slowness_age_s=self._registry.slowness.age_s(name, now_s),
                running_requests=view.running_requests,
                is_whole=request.resume_after is None,
            ),
        )

    def _eligible(self, request: PlacementRequest, now_s: float) -> list[UpstreamState]:
        """Return the upstreams that can take a request, of its sample if any can."""
        states = self._usable(request, now_s)
        if request.sample is None:
            return states
        sampled = [s for s in states if s.record.name in request.sample.names]
        return sampled or states

    def _usable(self, request: PlacementRequest, now_s: float) -> list[UpstreamState]:
        service = request.service
        limit = service.max_connections * CONNECTION_SHARE / self._instance_count()
        model = request.metadata.model if service.engine else None
        accepting = [
            state
            for state in self._accepting(service.name, now_s)
            if self._registry.notices.may_send(state.record, now_s)
        ]
        if request.is_passed_on:
            usable = [s for s in accepting if self._links.is_direct(s.record)]
        else:
            usable = self._links.usable(accepting)
        states = [
            state
            for state in usable
            if state.record.name not in request.excluded
            and request.software_version in (None, state.record.software_version)
            and self._pool.open_count(state.record.address) < max(1.0, limit)
            and (model is None or self._has_weights(state, model, now_s))
            and self._registry.limits.may_send(state.record, now_s)
        ]
        if request.excluded:
            # An attempt that failed isn't followed by another that is likely to.
            states = [s for s in states if not s.has_refused] or states
        healthy = [state for state in states if self._registry.health(state, now_s) > 0]
        if len(healthy) >= MIN_HEALTHY_SHARE * len(states):
            return healthy
        return states

    def _accepting(self, service: ServiceName, now_s: float) -> list[UpstreamState]:
        accepting = self._registry.accepting(service, now_s)
        evacuated = self._routing.evacuated
        if not evacuated:
            return accepting
        return [s for s in accepting if s.record.failure_domain not in evacuated]

    def _cold(self, states: list[UpstreamState], now_s: float) -> set[UpstreamId]:
        cold = self._registry.limits.cold
        if not cold.has_any:
            return set()
        records = [state.record for state in states]
        return {r.name for r in records if cold.limit(r, now_s) is not None}

    def _has_weights(self, state: UpstreamState, model: str, now_s: float) -> bool:
        version = state.weight_versions.get(model)
        if version is None:
            return False
        return self._start_limits.may_send(model, version, now_s)

    def _startable(
        self,
        views: list[UpstreamView],
        states: list[UpstreamState],
        request: PlacementRequest,
        choice: UpstreamChoiceRequest,
        now_s: float,
    ) -> list[UpstreamView]:
        """Return the upstreams that have time to start a request that can't wait here.

        An upstream without room for it starts it at an unknown time, and superseded
        weights may be too old by then.
        """
        model = request.metadata.model if request.service.engine else None
        ends_at_s = now_s + request.time_left_s
        startable = []
        for view, state in zip(views, states, strict=True):
            version = self._weight_version(state, model)
            has_room = not must_wait(view, choice, self._policy)
            if (
                has_room
                or model is None
                or version is None
                or self._start_limits.may_queue(model, version, ends_at_s, now_s)
            ):
                startable.append(view)
        return startable

    def _superseded_for_s(
        self, model: str | None, version: int | None, now_s: float
    ) -> float | None:
        if model is None or version is None:
            return None
        superseded_at_s = self._routing.superseded_at_s(model, version)
        return None if superseded_at_s is None else now_s - superseded_at_s

    def _newest_version(
        self, model: str | None, states: list[UpstreamState]
    ) -> int | None:
        """Return the target version, or the newest served one if that is higher."""
        if model is None or not states:
            return None
        target = self._routing.targets.get(model)
        serving = max(state.weight_versions.get(model, 0) for state in states)
        return max(target.version if target else 0, serving)

    def _with_home_source(
        self,
        parts: PartPlan,
        states: list[UpstreamState],
        home: UpstreamId,
        weight_version: int | None,
        model: str | None,
    ) -> PartPlan:
        """Return the plan with fetches from the home upstream.

        They are for the shared parts that no store provides. Requests with the same
        shared parts prefer the same home upstream, which is expected to have some of
        them cached. A fetch that misses there costs one millisecond.
        """
        state = next(state for state in states if state.record.name == home)
        if self._weight_version(state, model) != weight_version:
            return parts
        return parts.with_source(state.record.address)

    @staticmethod
    def _weight_version(state: UpstreamState, model: str | None) -> int | None:
        return state.weight_versions.get(model) if model is not None else None

    def _view(
        self,
        state: UpstreamState,
        request: PlacementRequest,
        newest_version: int | None,
        plans: Mapping[int | None, PartPlan],
        now_s: float,
    ) -> UpstreamView:
        record = state.record
        load = self._registry.loads.total(record.name, now_s)
        engine = request.service.engine
        weight_version = self._weight_version(
            state, request.metadata.model if request.service.engine else None
        )
        return UpstreamView(
            name=record.name,
            failure_domain=record.failure_domain,
            prefill_tokens=load.prefill_tokens,
            memory_tokens=load.memory_tokens,
            running_requests=load.requests,
            slots=record.slots,
            capacity_tokens=engine.capacity_tokens if engine else 0,
            health=max(MIN_HEALTH, self._registry.health(state, now_s)),
            stored_tokens=plans[weight_version].stored_tokens,
            has_newest_weights=weight_version == newest_version,
            slowness=self._registry.slowness.slowness(record.name, now_s),
            work_s=load.work_ms / MILLISECONDS_PER_S,
        )

    def _part_plan(
        self, request: PlacementRequest, model: str | None, version: int | None
    ) -> PartPlan:
        parts = request.metadata.parts
        # The parts of outdated targets may be freed, and others don't find those of a
        # workspace's own scope.
        if model is None or not parts or not self._routing.is_current():
            return PartPlan()
        salt = self._salt(request, model, version)
        engine = request.service.engine
        token_bytes = engine.token_bytes if engine else 0
        return self._tier.plan(parts, salt, model, version, token_bytes)

    def _salt(self, request: PlacementRequest, model: str, version: int | None) -> str:
        scope = self._routing.cache_scope(request.workspace)
        return versioned_cache_salt(model, version or 0, scope)

    def _predicted(
        self, request: PlacementRequest, now_s: float
    ) -> tuple[RequestShape, WorkEstimate]:
        shape = self._costs.shape(
            request.metadata,
            request.route,
            request.workspace,
            request.service,
            request.body_bytes,
        )
        return shape, self._costs.estimate(shape, now_s)

    def _choice_request(self, request: PlacementRequest) -> UpstreamChoiceRequest:
        metadata = request.metadata
        shared = metadata.parts[:-1]
        shared_tokens = sum(part.tokens for part in shared)
        own_tokens = max(0, metadata.prompt_tokens - shared_tokens)
        return UpstreamChoiceRequest(
            home_key=shared[-1].name if shared else "",
            failure_domain=self._failure_domain,
            own_tokens=own_tokens,
            shared_tokens=shared_tokens,
            output_tokens=metadata.output_tokens,
        )

    def _request_plan(
        self,
        request: PlacementRequest,
        record: UpstreamRecord,
        model: str | None,
        version: int | None,
        parts: PartPlan,
    ) -> UpstreamRequestPlan:
        workspace = request.workspace
        is_model = model is not None
        salt = self._salt(request, model, version) if model is not None else None
        clock_ms = self._tier.clock_ms()
        limit_s = objective_limit_s(
            parts.fetch_limit_s,
            request.objective_left_s,
            is_small=request.metadata.prompt_tokens < self._policy.large_prefill_tokens,
            reports_speed=self._registry.slowness.is_reported,
        )
        lifetime_ms = int(limit_s * MILLISECONDS_PER_S)
        return UpstreamRequestPlan(
            upstream=record.name,
            workspace=workspace.name if workspace else None,
            time_left_s=request.time_left_s,
            rank=_rank(request.route, workspace) if is_model else None,
            cache_salt=salt,
            expected_weights=version if is_model else None,
            fetches=parts.fetches,
            saves=parts.saves,
            fetch_until_ms=clock_ms + lifetime_ms if clock_ms else None,
            resume_after=request.resume_after,
        )

    @callback
    def commit(self, placed: PlacementResult) -> None:
        """Record that a request is being sent as placed."""
        self._tier.mark_saves_pending(placed.parts)
        self._registry.limits.note_sent(placed.record, placed.in_flight.started_at_s)

    @callback
    def is_evacuated(self, service: ServiceName, now_s: float) -> bool:
        """Return whether only evacuated failure domains have upstreams of a service."""
        evacuated = self._routing.evacuated
        return not self._accepting(service, now_s) and any(
            state.record.failure_domain in evacuated
            for state in self._registry.of_service(service)
        )

    @callback
    def limit_wait_s(self, service: ServiceName, now_s: float) -> float | None:
        """Return the time until an upstream at its limit takes a request, in seconds.

        ``None`` means that no upstream of the service is at its limit. The time is
        infinite if only other instances send to the upstreams.
        """
        waits_s = [
            self._registry.limits.wait_s(state.record, now_s)
            for state in self._accepting(service, now_s)
        ]
        return min((wait_s for wait_s in waits_s if wait_s > 0.0), default=None)

    @callback
    def rest_wait_s(self, service: ServiceName, now_s: float) -> float | None:
        """Return the time until the first resting upstream takes requests, in seconds.

        ``None`` means that no upstream of the service rests.
        """
        waits_s = [
            self._registry.notices.rests_until_s(state.record) - now_s
            for state in self._accepting(service, now_s)
        ]
        return min((wait_s for wait_s in waits_s if wait_s > 0.0), default=None)

    @callback
    def service_of(self, name: ServiceName | None) -> ForwardedService | None:
        """Return a service of the active configuration."""
        return None if name is None else self._routing.service(name)


def _rank(route: Route, workspace: ForwardedWorkspace | None) -> int:
    """Return the priority; that of the workspace outweighs that of the route."""
    workspace_rank = workspace.rank if workspace and workspace.rank is not None else 0
    rank = WORKSPACE_RANK_STEP * workspace_rank + min(
        route.rank, WORKSPACE_RANK_STEP - 1
    )
    return min(MAX_RANK, max(0, rank))
