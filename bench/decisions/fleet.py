"""Engines, stores and links of a simulated deployment."""

from collections.abc import Callable
from dataclasses import dataclass

from banyanswitch.config.models import SwapPolicy
from banyanswitch.decisions.swap_order import SwapView, next_loads
from banyanswitch.identifiers import (
    FailureDomainId,
    PrefixHash,
    StoreId,
    UpstreamId,
    WeightVersion,
)
from bench.decisions.deployments import Deployment
from bench.decisions.engine import Engine, Job
from bench.decisions.recorder import Outcome, Recorder
from bench.decisions.simulator import Simulator
from bench.decisions.storage import Link, Store
from bench.decisions.workload import Request, request_piece_hashes

FIRST_VERSION = WeightVersion("v1")
REPORT_LAG_S = 0.5
REPORT_INTERVAL_S = 0.5
EVENT_LAG_S = 1.0
HOP_DELAY_S = 0.0015  # one way, between entry and engine
RECONCILE_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Request to an engine with its callbacks."""

    request: Request
    outcome: Outcome
    engine: Engine
    on_first_token: Callable[[int], None]
    on_finished: Callable[[], None]
    on_failed: Callable[[], None]


class Fleet:
    """Engines, stores and links that the policies use.

    Attributes
    ----------
    desired : WeightVersion
        Weight version that all engines are to load.
    computed : dict
        Pieces that any engine has computed, by weight version.
    cache_values_s : dict
        Cache value of upstreams for the order of the swap, in seconds; 0 if absent.
        Nothing sets it, so all values are 0.
    """

    def __init__(self, deployment: Deployment, simulator: Simulator) -> None:
        self.deployment = deployment
        self.simulator = simulator
        self.recorder = Recorder()
        self.desired = FIRST_VERSION
        self.computed: dict[WeightVersion, set[PrefixHash]] = {}
        self.cache_values_s: dict[UpstreamId, float] = {}
        self.engines = {
            engine.name: engine
            for engine in (
                self._make_engine(index) for index in range(deployment.upstreams)
            )
        }
        self.stores = {
            store.name: store
            for store in (self._make_store(index) for index in range(deployment.stores))
        }

    @property
    def capacity_tokens_per_s(self) -> float:
        """Total prefill rate of all upstreams."""
        return self.deployment.upstreams * self.deployment.prefill_tokens_per_s

    def send(self, dispatch: Dispatch) -> bool:
        """Send a request to an engine; return false if it does not accept it."""
        engine = dispatch.engine
        version = engine.version
        pieces = request_piece_hashes(self.deployment, dispatch.request, version)
        computed = self.computed.setdefault(version, set())
        known = _leading_count(pieces, computed)
        outcome = dispatch.outcome
        network_s = 2 * (self.deployment.client_delay_s + HOP_DELAY_S)

        def first_token(cached_pieces: int) -> None:
            outcome.first_token_s = (
                self.simulator.now_s - dispatch.request.at_s + network_s
            )
            outcome.known_pieces = known
            outcome.cached_pieces = cached_pieces
            computed.update(pieces)
            dispatch.on_first_token(cached_pieces)

        outcome.attempts += 1
        return engine.submit(
            Job(
                pieces=pieces,
                prompt_tokens=dispatch.request.prompt_tokens,
                output_tokens=dispatch.request.output_tokens,
                priority=dispatch.request.priority,
                on_first_token=first_token,
                on_finished=dispatch.on_finished,
                on_failed=dispatch.on_failed,
            )
        )

    def start_swap(self, version: WeightVersion) -> None:
        """Start the swap of all engines to another weight version."""
        self.desired = version
        self._reconcile()

    def fail_domain(self, domain: FailureDomainId, duration_s: float) -> None:
        """Fail all engines and stores of a failure domain for a time."""
        for engine in self.engines.values():
            if engine.failure_domain == domain:
                engine.fail()
                self.simulator.call_later(duration_s, engine.recover)
        for store in self.stores.values():
            if store.failure_domain == domain:
                store.fail()
                self.simulator.call_later(duration_s, store.recover)

    def fail_store(self, name: StoreId, duration_s: float) -> None:
        """Fail a store for a time; its content is lost."""
        store = self.stores[name]
        store.fail()
        self.simulator.call_later(duration_s, store.recover)

    def slow_links(self, factor: float, duration_s: float) -> None:
        """Reduce the bandwidth of all links by a factor for a time."""
        for store in self.stores.values():
            link = store.link
            full = link.bytes_per_s
            link.bytes_per_s = full * factor
            self.simulator.call_later(duration_s, _restore(link, full))

    def _reconcile(self) -> None:
        views = [
            SwapView(
                name=engine.name,
                failure_domain=engine.failure_domain,
                weight_version=engine.version,
                is_serving=engine.is_alive and not engine.is_loading,
                is_loading=engine.is_loading,
                cache_value_s=self.cache_values_s.get(engine.name, 0.0),
            )
            for engine in self.engines.values()
        ]
        policy = SwapPolicy(loads_at_once=self.deployment.loads_at_once)
        for name in next_loads(views, self.desired, policy, self.simulator.now_s):
            self._load(self.engines[name])
        if any(engine.version != self.desired for engine in self.engines.values()):
            self.simulator.call_later(RECONCILE_INTERVAL_S, self._reconcile)

    def _load(self, engine: Engine) -> None:
        loading = 1 + sum(other.is_loading for other in self.engines.values())
        slowdown = max(1.0, loading / self.deployment.loads_at_once)
        engine.load_weights(self.desired, self.deployment.load_s * slowdown)

    def _make_engine(self, index: int) -> Engine:
        deployment = self.deployment
        return Engine(
            simulator=self.simulator,
            deployment=deployment,
            name=UpstreamId(f"u{index}"),
            failure_domain=_failure_domain(index, deployment),
            version=FIRST_VERSION,
        )

    def _make_store(self, index: int) -> Store:
        deployment = self.deployment
        link = Link(
            simulator=self.simulator,
            bytes_per_s=deployment.link_bytes_per_s,
            chunk_bytes=deployment.piece_size_bytes,
        )
        return Store(
            name=StoreId(f"s{index}"),
            failure_domain=_failure_domain(index, deployment),
            link=link,
            memory_bytes=deployment.store_memory_bytes,
            disk_bytes=deployment.store_disk_bytes,
            piece_size_bytes=deployment.piece_size_bytes,
        )


def _failure_domain(index: int, deployment: Deployment) -> FailureDomainId:
    return FailureDomainId(f"d{index % deployment.failure_domains}")


def _restore(link: Link, bytes_per_s: float) -> Callable[[], None]:
    def restore() -> None:
        link.bytes_per_s = bytes_per_s

    return restore


def _leading_count(pieces: tuple[PrefixHash, ...], computed: set[PrefixHash]) -> int:
    for index, piece in enumerate(pieces):
        if piece not in computed:
            return index
    return len(pieces)
