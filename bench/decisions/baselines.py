"""Baseline policies: random, least load, prefix hash and clairvoyant."""

import random
from collections.abc import Callable, Sequence

import xxhash

from bench.decisions.engine import Engine
from bench.decisions.fleet import REPORT_INTERVAL_S, REPORT_LAG_S, Dispatch, Fleet
from bench.decisions.recorder import Outcome
from bench.decisions.workload import Request

MAX_ATTEMPTS = 3
Choice = Callable[[Request, Sequence[Engine]], Engine]


class Baseline:
    """Policy that sends each request to the engine that a rule chooses.

    It uses no stores.

    Parameters
    ----------
    choose : callable
        Chooses among the engines that accept requests.
    is_clairvoyant : bool
        If true, all engines share every piece ever computed, and the policy knows
        without lag which engines accept requests. If false, each engine has its own
        cache, and the policy uses the load reports.
    """

    def __init__(
        self, fleet: Fleet, choose: Choice, *, is_clairvoyant: bool = False
    ) -> None:
        self._fleet = fleet
        self._choose = choose
        self._is_clairvoyant = is_clairvoyant
        if is_clairvoyant:
            for engine in fleet.engines.values():
                engine.shared_cache = fleet.computed

    def handle(self, request: Request) -> None:
        """Process an arriving request."""
        outcome = self._fleet.recorder.start(request)
        self._attempt(request, outcome, frozenset())

    def _attempt(
        self, request: Request, outcome: Outcome, excluded: frozenset[Engine]
    ) -> None:
        engines = [
            engine
            for engine in self._fleet.engines.values()
            if engine not in excluded and self._is_accepting(engine)
        ]
        if not engines or outcome.attempts >= MAX_ATTEMPTS:
            outcome.has_failed = True
            return
        engine = self._choose(request, engines)
        next_excluded = excluded | {engine}
        dispatch = Dispatch(
            request,
            outcome,
            engine,
            on_first_token=_ignore_count,
            on_finished=_ignore,
            on_failed=lambda: self._attempt(request, outcome, next_excluded),
        )
        if not self._fleet.send(dispatch):
            self._attempt(request, outcome, next_excluded)

    def _is_accepting(self, engine: Engine) -> bool:
        if self._is_clairvoyant:
            return engine.is_alive and not engine.is_loading
        return engine.report(reported_at_s(self._fleet)).is_accepting


def reported_at_s(fleet: Fleet) -> float:
    """Return the time that the latest available load reports describe."""
    now_s = fleet.simulator.now_s
    return now_s - now_s % REPORT_INTERVAL_S - REPORT_LAG_S


def random_choice(generator: random.Random) -> Choice:
    """Return a rule that chooses a random engine."""

    def choose(request: Request, engines: Sequence[Engine]) -> Engine:
        return generator.choice(engines)

    return choose


def least_load(fleet: Fleet, generator: random.Random) -> Choice:
    """Return a rule that chooses the engine with the fewest reported requests.

    Ties are broken at random.
    """

    def choose(request: Request, engines: Sequence[Engine]) -> Engine:
        at_s = reported_at_s(fleet)

        def load(engine: Engine) -> tuple[int, float]:
            report = engine.report(at_s)
            return report.running + report.queued, generator.random()

        return min(engines, key=load)

    return choose


def prefix_hash(request: Request, engines: Sequence[Engine]) -> Engine:
    """Choose an engine by rendezvous hashing of the conversation."""
    return max(
        engines,
        key=lambda engine: xxhash.xxh3_64_intdigest(
            f"{request.conversation}/{engine.name}".encode()
        ),
    )


def shortest_wait(request: Request, engines: Sequence[Engine]) -> Engine:
    """Choose the engine with the least prefill work queued now."""
    return min(engines, key=_prefill_tokens)


def _prefill_tokens(engine: Engine) -> int:
    return engine.report(engine.simulator.now_s).queued_prefill_tokens


def _ignore_count(cached_pieces: int) -> None:
    return


def _ignore() -> None:
    return
