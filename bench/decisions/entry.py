"""Entry instance that carries the product's decisions out over the fakes."""

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
from bench.decisions.exports import Exports
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
from bench.decisions.workload import Request, hashes_of

SERVICE = ServiceName("service")
EVENTS_EVERY_S = 1.0
BUSY_RETRY_S = 0.05
EVENT_LOSS = 0.01
"""Share of the batches of cache events that lose one event."""

LIMITS = Limits(requests_per_s=1e6, concurrent_requests=1_000_000)


@dataclass(slots=True, eq=False)
class _Call:
    request: Request
    outcome: Outcome
    run: RunId
    latest_first_token_s: float
    excluded: frozenset[UpstreamId] = frozenset()
    attempts: int = 0
    place: Place | None = None
    placement: PlacementRequest | None = None


class Entry:
    """One entry instance."""

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
        self._exports = Exports(fleet, self.planner, self._update_stores)
        self._admission = AdmissionController(admission_policy(self._deployment))
        self._retrier = Retrier(RetryPolicy(), self._generator, 0.0)
        self._ejector = Ejector(EjectionPolicy(), self._generator)
        self._waiting: dict[RunId, _Call] = {}
        self._is_advance_due = False
        self._reported_at_s = -1.0
        self._sequences: dict[UpstreamId, int] = {}
        for store in fleet.stores.values():
            self._links.put(store.name, link_budget(self._deployment, store))
        self._refresh()
        self._simulator.call_later(self._generator.random(), self._tick)

    def handle(self, request: Request) -> None:
        """Take a request that has arrived."""
        now_s = self._simulator.now_s
        target_s = LONG_TARGET_S if request.is_long else SHORT_TARGET_S
        call = _Call(
            request,
            self._fleet.recorder.start(request),
            RunId(str(request.number)),
            now_s + target_s,
        )
        self._retrier.on_first_attempt(now_s)
        answer = self._admission.admit(
            AdmissionRequest(
                run=call.run,
                workspace=request.workspace,
                limits=LIMITS,
                serving_entries=self._deployment.entries_per_workspace,
                priority=request.priority,
                latest_start_s=self._latest_start_s(call),
            ),
            now_s,
        )
        if isinstance(answer, NotAdmitted):
            self._refuse(call)
            return
        if isinstance(answer, Admitted):
            self._place(call)
            return
        self._waiting[call.run] = call
        self._advance_later()

    def _latest_start_s(self, call: _Call) -> float:
        rate = self._deployment.prefill_tokens_per_s
        service_s = call.request.prompt_tokens / rate
        if call.request.is_long:
            service_s += PlacementPolicy().batch_backlog_s
        service_s *= self._placer.delay_ratio(call.request.priority)
        return call.latest_first_token_s - service_s

    def _place(self, call: _Call) -> None:
        self._refresh()
        now_s = self._simulator.now_s
        request = call.request
        version = self._version(request)
        if version is None:
            self._end_refused(call)
            return
        placement = PlacementRequest(
            run=call.run,
            workspace=request.workspace,
            service=SERVICE,
            weight_version=version,
            piece_hashes=hashes_of(self._deployment, request, version),
            prompt_tokens=request.prompt_tokens,
            piece_tokens=self._deployment.piece_tokens,
            priority=request.priority,
            deadline_s=call.latest_first_token_s,
            excluded=call.excluded,
            reuse=self._deployment.reuse,
            has_waited=now_s > request.at_s,
        )
        decision = self._placer.place(placement, self._pool, now_s)
        if isinstance(decision, Refuse):
            self._not_placed(call, decision)
            return
        call.place = decision
        call.placement = placement
        call.attempts += 1
        self._placer.on_sent(decision, now_s)
        if self._waiting:
            self._simulator.call_later(0.0, self._advance)
        if decision.import_first is None:
            self._send(call)
            return
        self._import(call, decision)

    def _not_placed(self, call: _Call, refuse: Refuse) -> None:
        if refuse.reason is not RefuseReason.BUSY:
            self._end_refused(call)
            return
        answer = self._admission.on_busy(call.run, self._simulator.now_s)
        if isinstance(answer, NotAdmitted):
            self._refuse(call)
            return
        self._waiting[call.run] = call
        self._advance_later()

    def _advance_later(self) -> None:
        if self._is_advance_due:
            return
        self._is_advance_due = True
        self._simulator.call_later(BUSY_RETRY_S, self._advance_now)

    def _advance_now(self) -> None:
        self._is_advance_due = False
        self._advance()
        if self._waiting:
            self._advance_later()

    def _import(self, call: _Call, place: Place) -> None:
        order = place.import_first
        if order is None:
            return
        budget = self._links.get(order.store)
        store = self._fleet.stores[order.store]
        now_s = self._simulator.now_s
        workspace = call.request.workspace
        if budget is None or not budget.start_import(
            workspace, order.size_bytes, now_s
        ):
            self._send(call)
            return

        def done(elapsed_s: float) -> None:
            budget.on_done(order.size_bytes, elapsed_s, self._simulator.now_s)
            pieces = store.read(order.manifest, order.pieces)
            if pieces is None:
                self._lost(call)
            else:
                self._fleet.engines[place.upstream].add_pieces(pieces)
            self._send(call)

        def failed() -> None:
            budget.on_failed(order.size_bytes, self._simulator.now_s)
            self.planner.on_store_lost(order.store)
            self._update_stores()
            self._send(call)

        item = store.link.transfer(
            order.size_bytes, is_export=False, on_done=done, on_failed=failed
        )

        def give_up() -> None:
            if not store.link.cancel(item):
                return
            elapsed_s = order.give_up_after_s
            budget.on_cancelled(order.size_bytes, elapsed_s, self._simulator.now_s)
            self._update_stores()
            self._send(call)

        self._simulator.call_later(order.give_up_after_s, give_up)

    def _lost(self, call: _Call) -> None:
        if call.placement is None:
            return
        stored = self.view.stored_match(call.placement.piece_hashes)
        if stored is not None:
            self.planner.on_lost(stored)

    def _send(self, call: _Call) -> None:
        place = call.place
        if place is None:
            return
        engine = self._fleet.engines[place.upstream]
        is_version = call.placement and engine.version == call.placement.weight_version
        dispatch = Dispatch(
            call.request,
            call.outcome,
            engine,
            on_first_token=lambda cached: self._first_token(call, place, engine),
            on_finished=lambda: self._finished(call, place),
            on_failed=lambda: self._failed(call, place, RunOutcome.PARTIAL),
        )
        if not is_version or not self._fleet.send(dispatch):
            self._failed(call, place, RunOutcome.NOT_RUN)

    def _first_token(self, call: _Call, place: Place, engine: Engine) -> None:
        now_s = self._simulator.now_s
        self._placer.on_first_token(place, now_s)
        self._ejector.on_success(place.upstream, now_s)
        if call.placement is None or call.placement.weight_version is None:
            return
        use = PromptUse(
            workspace=call.request.workspace,
            weight_version=call.placement.weight_version,
            piece_hashes=place.piece_hashes,
            upstream=place.upstream,
            failure_domain=engine.failure_domain,
        )
        self.planner.on_used(use, now_s)
        self._exports.start()

    def _finished(self, call: _Call, place: Place) -> None:
        now_s = self._simulator.now_s
        self._placer.on_finished(place, now_s)
        self._release(call)

    def _failed(self, call: _Call, place: Place, outcome: RunOutcome) -> None:
        now_s = self._simulator.now_s
        self._placer.on_finished(place, now_s)
        self._ejector.on_failure(place.upstream, now_s)
        self._put_view(self._fleet.engines[place.upstream])
        call.excluded |= {place.upstream}
        if call.outcome.first_token_s is not None:
            call.outcome.has_failed = True
            self._release(call)
            return
        failed = FailedAttempt(
            outcome=outcome,
            is_repeatable=True,
            attempts=call.attempts,
            deadline_s=call.latest_first_token_s,
        )
        answer = self._retrier.decide(failed, now_s)
        if isinstance(answer, Retry):
            self._simulator.call_later(answer.delay_s, lambda: self._place(call))
            return
        call.outcome.has_failed = True
        self._release(call)

    def _end_refused(self, call: _Call) -> None:
        self._refuse(call)
        self._release(call)

    def _refuse(self, call: _Call) -> None:
        call.outcome.refused_after_s = self._simulator.now_s - call.request.at_s

    def _release(self, call: _Call) -> None:
        self._admission.on_finished(call.run, self._simulator.now_s)
        self._advance()

    def _advance(self) -> None:
        for result in self._admission.advance(self._simulator.now_s):
            waiting = self._waiting.pop(result.run)
            if isinstance(result, Admitted):
                self._place(waiting)
            else:
                self._refuse(waiting)

    def _tick(self) -> None:
        self._simulator.call_later(EVENTS_EVERY_S, self._tick)
        self._refresh()
        for engine in self._fleet.engines.values():
            self._take_events(engine)
        for upstream in self._ejector.returning():
            self._put_view(self._fleet.engines[upstream])
        if self.planner.pending_count:
            self._exports.start()
        if self._waiting:
            self._advance()

    def _take_events(self, engine: Engine) -> None:
        if not engine.is_alive:
            return
        now_s = self._simulator.now_s
        after = self._sequences.get(engine.name, 0)
        events, _ = engine.events(after, now_s - EVENT_LAG_S)
        if events:
            self._sequences[engine.name] = events[-1].sequence
        if events and self._generator.random() < EVENT_LOSS:
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
            self._put_view(engine)
        self._update_stores()

    def _put_view(self, engine: Engine) -> None:
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

    def _version(self, request: Request) -> WeightVersion | None:
        versions = {engine.version for engine in self._fleet.engines.values()}
        serving = {
            version: len(self._pool.accepting(SERVICE, version))
            for version in versions | {self._fleet.desired}
        }
        return choose_version(request.conversation, self._fleet.desired, serving)
