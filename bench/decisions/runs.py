"""Runs of one scenario with one deployment, policy and seed."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from banyanswitch.identifiers import FailureDomainId, StoreId, WeightVersion
from bench.decisions.baselines import (
    Baseline,
    least_load,
    prefix_hash,
    random_choice,
    shortest_wait,
)
from bench.decisions.deployments import Deployment
from bench.decisions.fleet import Fleet
from bench.decisions.product import Handler, ProductEntries
from bench.decisions.recorder import RequestMetrics
from bench.decisions.simulator import Simulator
from bench.decisions.workload import Request, Surge, generate

LINK_WINDOW_S = 600.0
SURGE_CAPACITY_FACTOR = 3.0


class PolicyName(Enum):
    """Policies that are compared; `PRODUCT` is the product's own."""

    RANDOM = "random"
    LEAST_LOAD = "least load"
    PREFIX_HASH = "prefix hash"
    PRODUCT = "ours"
    CLAIRVOYANT = "clairvoyant"


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Length, fault and traffic of a run.

    Parameters
    ----------
    warm_up_s : float
        Time at the start that is left out of the metrics, in seconds.
    fault_at_s : float, optional
        Time of the fault or surge, at which the window with separate metrics starts.
    window_s : float
        Length of that window, in seconds.
    """

    name: str
    duration_s: float = 14_400.0
    warm_up_s: float = 3_600.0
    fault_at_s: float | None = None
    window_s: float = 1_200.0
    start_fault: Callable[[Fleet], None] | None = None
    is_surge: bool = False


@dataclass(frozen=True, slots=True)
class LinkUse:
    """Usage of the store links, as shares of their bandwidth.

    Parameters
    ----------
    mean_share : float
        Mean over the run and all links.
    most_share : float
        Maximum over all links and windows of `LINK_WINDOW_S`.
    most_background_share : float
        Same maximum, counting exports only.
    import_bytes, export_bytes : float
        Totals of all links.
    """

    mean_share: float
    most_share: float
    most_background_share: float
    import_bytes: float
    export_bytes: float


@dataclass(frozen=True, slots=True)
class RunResult:
    """Metrics of one run.

    Parameters
    ----------
    whole : RequestMetrics
        Metrics after the warm-up.
    window : RequestMetrics, optional
        Metrics of the window that starts with the fault or surge.
    """

    deployment: str
    scenario: str
    policy: str
    seed: int
    whole: RequestMetrics
    window: RequestMetrics | None
    links: LinkUse


def run_scenario(
    deployment: Deployment, scenario: Scenario, policy: PolicyName, seed: int
) -> RunResult:
    """Simulate one scenario under one policy."""
    simulator = Simulator()
    fleet = Fleet(deployment, simulator)
    handle = _make_handler(fleet, policy, seed)
    if scenario.fault_at_s is not None and scenario.start_fault is not None:
        start_fault = scenario.start_fault
        simulator.call_at(scenario.fault_at_s, lambda: start_fault(fleet))
    requests = generate(
        deployment, scenario.duration_s, seed, _surge(deployment, scenario)
    )
    _schedule_arrivals(simulator, requests, handle)
    simulator.run(scenario.duration_s)
    capacity = fleet.capacity_tokens_per_s
    end_s = scenario.duration_s - 60.0
    window = None
    if scenario.fault_at_s is not None:
        until_s = min(end_s, scenario.fault_at_s + scenario.window_s)
        window = fleet.recorder.metrics(scenario.fault_at_s, until_s, capacity)
    return RunResult(
        deployment=deployment.name,
        scenario=scenario.name,
        policy=policy.value,
        seed=seed,
        whole=fleet.recorder.metrics(scenario.warm_up_s, end_s, capacity),
        window=window,
        links=_link_use(fleet, scenario.duration_s),
    )


def scenarios(duration_s: float = 14_400.0) -> tuple[Scenario, ...]:
    """Return all scenarios for runs of a given length."""
    fault_at_s = duration_s / 2
    warm_up_s = duration_s / 4

    def faulty(
        name: str, start: Callable[[Fleet], None], window_s: float = 1_200.0
    ) -> Scenario:
        return Scenario(
            name=name,
            duration_s=duration_s,
            warm_up_s=warm_up_s,
            fault_at_s=fault_at_s,
            window_s=window_s,
            start_fault=start,
        )

    return (
        Scenario(name="steady", duration_s=duration_s, warm_up_s=warm_up_s),
        faulty("swap", lambda fleet: fleet.start_swap(WeightVersion("v2"))),
        faulty("store dies", lambda fleet: fleet.fail_store(StoreId("s0"), 1_800.0)),
        faulty("links at a tenth", lambda fleet: fleet.slow_links(0.1, 1_200.0)),
        faulty(
            "failure domain lost",
            lambda fleet: fleet.fail_domain(FailureDomainId("d0"), 1_200.0),
        ),
        Scenario(
            name="surge",
            duration_s=duration_s,
            warm_up_s=warm_up_s,
            fault_at_s=fault_at_s,
            window_s=600.0,
            is_surge=True,
        ),
    )


def _surge(deployment: Deployment, scenario: Scenario) -> Surge | None:
    if not scenario.is_surge or scenario.fault_at_s is None:
        return None
    until_s = scenario.fault_at_s + scenario.window_s
    factor = SURGE_CAPACITY_FACTOR / normal_load(deployment)
    return Surge(scenario.fault_at_s, until_s, factor)


def normal_load(deployment: Deployment) -> float:
    """Return the prefill work without a surge, as a share of capacity.

    Counts only work that was not done before: all of a new or short prompt, and the
    growth and the partial last piece of a returning one. A partial piece counts half.
    """
    new_per_s = deployment.long_per_s / (1.0 + deployment.mean_returns)
    return_per_s = deployment.long_per_s - new_per_s
    growth = sum(deployment.growth_pieces) / 2
    new_pieces = new_per_s * sum(deployment.first_pieces) / 2 + return_per_s * growth
    pieces = new_pieces + 0.5 * deployment.long_per_s
    short_tokens = deployment.short_per_s * sum(deployment.short_tokens) / 2
    work = pieces * deployment.piece_tokens + short_tokens
    return work / (deployment.upstreams * deployment.prefill_tokens_per_s)


def _make_handler(fleet: Fleet, policy: PolicyName, seed: int) -> Handler:
    generator = random.Random(seed)
    if policy is PolicyName.RANDOM:
        return Baseline(fleet, random_choice(generator)).handle
    if policy is PolicyName.LEAST_LOAD:
        return Baseline(fleet, least_load(fleet, generator)).handle
    if policy is PolicyName.PREFIX_HASH:
        return Baseline(fleet, prefix_hash).handle
    if policy is PolicyName.CLAIRVOYANT:
        return Baseline(fleet, shortest_wait, is_clairvoyant=True).handle
    return ProductEntries(fleet, seed).handle


def _schedule_arrivals(simulator: Simulator, requests: object, handle: Handler) -> None:
    iterator = iter(requests)  # type: ignore[call-overload]

    def arrive(request: Request) -> None:
        handle(request)
        schedule()

    def schedule() -> None:
        request = next(iterator, None)
        if request is not None:
            simulator.call_at(request.at_s, lambda: arrive(request))

    schedule()


def _link_use(fleet: Fleet, duration_s: float) -> LinkUse:
    imports = exports = most = most_background = 0.0
    for store in fleet.stores.values():
        windows: dict[int, list[float]] = {}
        for at_s, size_bytes, is_export in store.link.usage:
            window = windows.setdefault(int(at_s // LINK_WINDOW_S), [0.0, 0.0])
            window[is_export] += size_bytes
        rate = fleet.deployment.link_bytes_per_s
        for imported, exported in windows.values():
            imports += imported
            exports += exported
            most = max(most, (imported + exported) / (rate * LINK_WINDOW_S))
            most_background = max(most_background, exported / (rate * LINK_WINDOW_S))
    capacity = fleet.deployment.link_bytes_per_s * duration_s * len(fleet.stores)
    return LinkUse(
        mean_share=(imports + exports) / capacity if capacity else 0.0,
        most_share=most,
        most_background_share=most_background,
        import_bytes=imports,
        export_bytes=exports,
    )
