"""Simulated entry that applies the product's decisions to the fakes."""

import random
from dataclasses import dataclass, replace

from banyanswitch.config.models import Limits
from banyanswitch.decisions.admission import (
    AdmissionController,
    AdmissionRequest,
    Admitted,
    NotAdmitted,
)
from banyanswitch.decisions.cache_view import CacheView
from banyanswitch.decisions.ejection import EjectionPolicy, Ejector
from banyanswitch.decisions.link_budget import (
    LinkBudgets,
)
from banyanswitch.decisions.placement import (
    Place,
    PlacementPolicy,
    PlacementRequest,
    Placer,
    Refuse,
    RefuseReason,
)
from banyanswitch.decisions.retry import (
    FailedAttempt,
    Retrier,
    Retry,
    RetryPolicy,
)
from banyanswitch.decisions.reuse import ReusePlanner
from banyanswitch.decisions.reuse_models import PromptUse
from banyanswitch.decisions.swap_order import choose_version
from banyanswitch.decisions.upstream_pool import UpstreamPool, UpstreamView
from banyanswitch.exceptions import RunOutcome
from banyanswitch.identifiers import (
    InstanceId,
    RunId,
    ServiceName,
    UpstreamId,
    WeightVersion,
)
from bench.decisions.baselines import reported_at_s
from bench.decisions.engine import Engine
from bench.decisions.exports import ExportRunner
from bench.decisions.fleet import (
    EVENT_LAG_S,
    REPORT_LAG_S,
    Dispatch,
    Fleet,
)
from bench.decisions.policies import (
    admission_policy,
    link_budget,
    reuse_settings,
)
from bench.decisions.recorder import LONG_TARGET_S, SHORT_TARGET_S, Outcome
from bench.decisions.workload import Request, request_piece_hashes

SERVICE = ServiceName("service")
EVENT_POLL_INTERVAL_S = 1.0
BUSY_RETRY_DELAY_S = 0.05
EVENT_LOSS_SHARE = 0.01
"""Share of the batches of cache events that lose one event."""

LIMITS = Limits(requests_per_s=1e6, concurrent_requests=1_000_000)


@dataclass(slots=True, eq=False)
class _RequestState:
    request: Request
    outcome: Outcome
    run: RunId
    latest_first_token_s: float
    excluded: frozenset[UpstreamId] = frozenset()
    attempts: int = 0
    place: Place | None = None
    placement: PlacementRequest | None = None


class Entry:
    """Simulated entry instance."""

    def __init__(self, fleet: Fleet, instance: InstanceId, seed: int) -> None:
        self._fleet = fleet
        self._simulator = fleet.simulator
        self._deployment = fleet.deployment
        self._generator = random.Random(f"{seed}/{instance}")
        self.view = CacheView()
        self._pool = UpstreamPool()
        self._links = LinkBudgets()
        self._placer = Placer(
            self.view,
            self._generator,
            PlacementPolicy(report_lag_s=REPORT_LAG_S),
            self._links,
        )
        self.planner = ReusePlanner(
            reuse_settings(self._deployment), self.view, self._links, self._generator
        )
        self._exports = ExportRunner(fleet, self.planner, self._update_stores)
        self._admission = AdmissionController(admission_policy(self._deployment))
        self._retrier = Retrier(RetryPolicy(), self._generator, 0.0)
        self._ejector = Ejector(EjectionPolicy(), self._generator)
        self._waiting: dict[RunId, _RequestState] = {}
        self._is_advance_due = False
        self._reported_at_s = -1.0
        self._sequences: dict[UpstreamId, int] = {}
        for store in fleet.stores.values():
            self._links.put(store.name, link_budget(self._deployment, store))
        self._refresh()
        self._simulator.call_later(self._generator.random(), self._tick)

    def handle(self, request: Request) -> None:
        """Process an arriving request."""
        now_s = self._simulator.now_s
        target_s = LONG_TARGET_S if request.is_long else SHORT_TARGET_S
        state = _RequestState(
            request,
            self._fleet.recorder.start(request),
            RunId(str(request.number)),
            now_s + target_s,
        )
        self._retrier.on_first_attempt(now_s)
        decision = self._admission.admit(
            AdmissionRequest(
                run=state.run,
                workspace=request.workspace,
                limits=LIMITS,
                serving_entries=self._deployment.entries_per_workspace,
                priority=request.priority,
                latest_start_s=self._latest_start_s(state),
            ),
            now_s,
        )
        if isinstance(decision, NotAdmitted):
            self._refuse(state)
            return
        if isinstance(decision, Admitted):
            self._place(state)
            return
        self._waiting[state.run] = state
        self._advance_later()

    def _latest_start_s(self, state: _RequestState) -> float:
        rate = self._deployment.prefill_tokens_per_s
        service_s = state.request.prompt_tokens / rate
        if state.request.is_long:
            service_s += PlacementPolicy().batch_backlog_s
        service_s *= self._placer.delay_ratio(state.request.priority)
        return state.latest_first_token_s - service_s

    def _place(self, state: _RequestState) -> None:
        self._refresh()
        now_s = self._simulator.now_s
        request = state.request
        version = self._choose_version(request)
        if version is None:
            self._refuse_and_release(state)
            return
        placement = PlacementRequest(
            run=state.run,
            workspace=request.workspace,
            service=SERVICE,
            weight_version=version,
            piece_hashes=request_piece_hashes(self._deployment, request, version),
            prompt_tokens=request.prompt_tokens,
            piece_tokens=self._deployment.piece_tokens,
            priority=request.priority,
            deadline_s=state.latest_first_token_s,
            excluded=state.excluded,
            reuse=self._deployment.reuse,
            has_waited=now_s > request.at_s,
        )
        decision = self._placer.place(placement, self._pool, now_s)
        if isinstance(decision, Refuse):
            self._handle_refusal(state, decision)
            return
        state.place = decision
        state.placement = placement
        state.attempts += 1
        self._placer.on_sent(decision, now_s)
        if self._waiting:
            self._simulator.call_later(0.0, self._advance)
        if decision.import_first is None:
            self._send(state)
            return
        self._import(state, decision)

    def _handle_refusal(self, state: _RequestState, refuse: Refuse) -> None:
        if refuse.reason is not RefuseReason.BUSY:
            self._refuse_and_release(state)
            return
        decision = self._admission.on_busy(state.run, self._simulator.now_s)
        if isinstance(decision, NotAdmitted):
            self._refuse(state)
            return
        self._waiting[state.run] = state
        self._advance_later()

    def _advance_later(self) -> None:
        if self._is_advance_due:
            return
        self._is_advance_due = True
        self._simulator.call_later(BUSY_RETRY_DELAY_S, self._run_advance)

    def _run_advance(self) -> None:
        self._is_advance_due = False
        self._advance()
        if self._waiting:
            self._advance_later()

    def _import(self, state: _RequestState, place: Place) -> None:
        import_first = place.import_first
        if import_first is None:
            return
        budget = self._links.get(import_first.store)
        store = self._fleet.stores[import_first.store]
        now_s = self._simulator.now_s
        workspace = state.request.workspace
        if budget is None or not budget.start_import(
            workspace, import_first.size_bytes, now_s
        ):
            self._send(state)
            return

        def done(elapsed_s: float) -> None:
            budget.on_done(import_first.size_bytes, elapsed_s, self._simulator.now_s)
            pieces = store.read(import_first.manifest, import_first.pieces)
            if pieces is None:
                self._on_prefix_lost(state)
            else:
                self._fleet.engines[place.upstream].add_pieces(pieces)
            self._send(state)

        def failed() -> None:
            budget.on_failed(import_first.size_bytes, self._simulator.now_s)
            self.planner.on_store_lost(import_first.store)
            self._update_stores()
            self._send(state)

        item = store.link.transfer(
            import_first.size_bytes, is_export=False, on_done=done, on_failed=failed
        )

        def on_timeout() -> None:
            if not store.link.cancel(item):
                return
            elapsed_s = import_first.give_up_after_s
            budget.on_cancelled(
                import_first.size_bytes, elapsed_s, self._simulator.now_s
            )
            self._update_stores()
            self._send(state)

        self._simulator.call_later(import_first.give_up_after_s, on_timeout)

    def _on_prefix_lost(self, state: _RequestState) -> None:
        if state.placement is None:
            return
        stored = self.view.stored_match(state.placement.piece_hashes)
        if stored is not None:
            self.planner.on_lost(stored)

    def _send(self, state: _RequestState) -> None:
        place = state.place
        if place is None:
            return
        engine = self._fleet.engines[place.upstream]
        has_version = (
            state.placement and engine.version == state.placement.weight_version
        )
        dispatch = Dispatch(
            state.request,
            state.outcome,
            engine,
            on_first_token=lambda cached: self._first_token(state, place, engine),
            on_finished=lambda: self._finished(state, place),
            on_failed=lambda: self._failed(state, place, RunOutcome.PARTIAL),
        )
        if not has_version or not self._fleet.send(dispatch):
            self._failed(state, place, RunOutcome.NOT_RUN)

    def _first_token(self, state: _RequestState, place: Place, engine: Engine) -> None:
        now_s = self._simulator.now_s
        self._placer.on_first_token(place, now_s)
        self._ejector.on_success(place.upstream, now_s)
        if state.placement is None or state.placement.weight_version is None:
            return
        use = PromptUse(
            workspace=state.request.workspace,
            weight_version=state.placement.weight_version,
            piece_hashes=place.piece_hashes,
            upstream=place.upstream,
            failure_domain=engine.failure_domain,
        )
        self.planner.on_used(use, now_s)
        self._exports.start()

    def _finished(self, state: _RequestState, place: Place) -> None:
        now_s = self._simulator.now_s
        self._placer.on_finished(place, now_s)
        self._release(state)

    def _failed(self, state: _RequestState, place: Place, outcome: RunOutcome) -> None:
        now_s = self._simulator.now_s
        self._placer.on_finished(place, now_s)
        self._ejector.on_failure(place.upstream, now_s)
        self._update_upstream(self._fleet.engines[place.upstream])
        state.excluded |= {place.upstream}
        if state.outcome.first_token_s is not None:
            state.outcome.has_failed = True
            self._release(state)
            return
        failed = FailedAttempt(
            outcome=outcome,
            is_repeatable=True,
            attempts=state.attempts,
            deadline_s=state.latest_first_token_s,
        )
        decision = self._retrier.decide(failed, now_s)
        if isinstance(decision, Retry):
            self._simulator.call_later(decision.delay_s, lambda: self._place(state))
            return
        state.outcome.has_failed = True
        self._release(state)

    def _refuse_and_release(self, state: _RequestState) -> None:
        self._refuse(state)
        self._release(state)

    def _refuse(self, state: _RequestState) -> None:
        state.outcome.refused_after_s = self._simulator.now_s - state.request.at_s

    def _release(self, state: _RequestState) -> None:
        self._admission.on_finished(state.run, self._simulator.now_s)
        self._advance()

    def _advance(self) -> None:
        for result in self._admission.advance(self._simulator.now_s):
            waiting = self._waiting.pop(result.run)
            if isinstance(result, Admitted):
                self._place(waiting)
            else:
                self._refuse(waiting)

    def _tick(self) -> None:
        self._simulator.call_later(EVENT_POLL_INTERVAL_S, self._tick)
        self._refresh()
        for engine in self._fleet.engines.values():
            self._poll_events(engine)
        for upstream in self._ejector.returning():
            self._update_upstream(self._fleet.engines[upstream])
        if self.planner.pending_count:
            self._exports.start()
        if self._waiting:
            self._advance()

    def _poll_events(self, engine: Engine) -> None:
        if not engine.is_alive:
            return
        now_s = self._simulator.now_s
        after = self._sequences.get(engine.name, 0)
        events, _ = engine.events(after, now_s - EVENT_LAG_S)
        if events:
            self._sequences[engine.name] = events[-1].sequence
        if events and self._generator.random() < EVENT_LOSS_SHARE:
            events.pop(self._generator.randrange(len(events)))
        if self.view.apply_events(engine.name, events, now_s) is None:
            return
        keys, sequence = engine.snapshot()
        self.view.resync(engine.name, keys, sequence, now_s)
        self._sequences[engine.name] = sequence

    def _refresh(self) -> None:
        at_s = reported_at_s(self._fleet)
        if at_s == self._reported_at_s:
            return
        self._reported_at_s = at_s
        for engine in self._fleet.engines.values():
            self._update_upstream(engine)
        self._update_stores()

    def _update_upstream(self, engine: Engine) -> None:
        report = engine.report(max(0.0, self._reported_at_s))
        weight = self._ejector.weight(engine.name, self._simulator.now_s)
        self._pool.update(
            UpstreamView(
                upstream=engine.name,
                service=SERVICE,
                failure_domain=engine.failure_domain,
                weight_version=report.version,
                slots=self._deployment.slots,
                prefill_tokens_per_s=self._deployment.prefill_tokens_per_s,
                is_accepting=report.is_accepting and weight > 0,
                running_requests=report.running,
                queued_requests=report.queued,
                queued_prefill_tokens=report.queued_prefill_tokens,
                reported_at_s=self._reported_at_s + REPORT_LAG_S,
                weight=weight,
            )
        )

    def _update_stores(self) -> None:
        now_s = self._simulator.now_s
        for name in self._links.stores():
            budget = self._links.get(name)
            if budget is not None:
                view = budget.view(now_s)
                disk = self._deployment.disk_bytes_per_s
                self._pool.update_store(replace(view, disk_bytes_per_s=disk))

    def _choose_version(self, request: Request) -> WeightVersion | None:
        versions = {engine.version for engine in self._fleet.engines.values()}
        serving = {
            version: len(self._pool.accepting(SERVICE, version))
            for version in versions | {self._fleet.desired}
        }
        return choose_version(request.conversation, self._fleet.desired, serving)
