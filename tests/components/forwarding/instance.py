"""Forwarder in front of fake upstreams, without a network."""

import asyncio
import random
from collections.abc import Iterable

from banyanswitch.components.forwarding.forwarder import Forwarder, RetryBudget
from banyanswitch.components.forwarding.loads import InFlight
from banyanswitch.components.forwarding.metrics import ForwardingMetrics
from banyanswitch.components.forwarding.models import (
    EngineProfile,
    ForwardedService,
    ForwardingConfiguration,
    Repeatability,
    Route,
    ServiceShare,
    UpstreamRecord,
)
from banyanswitch.components.forwarding.placement import Placement
from banyanswitch.components.forwarding.protocols import StreamOrigins
from banyanswitch.components.forwarding.request_costs import RequestCosts
from banyanswitch.components.forwarding.response_notes import ResponseNotes
from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.forwarding.start_limits import StartLimits
from banyanswitch.components.forwarding.wait_queue import WaitQueue
from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.http1.models import Headers
from banyanswitch.components.kv_tier.coordinator import PartTier
from banyanswitch.components.part_quarantine.coordinator import PartQuarantine
from banyanswitch.components.peer_forwarding.client import PeerForwarder
from banyanswitch.components.peers.reader_assignment import ReaderAssignment
from banyanswitch.components.stream_origins.exchange import OriginExchange
from banyanswitch.components.stream_origins.software_versions import SoftwareVersions
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.components.upstream_links.coordinator import UpstreamLinks
from banyanswitch.components.upstream_links.peer_links import PeerLinkTable
from banyanswitch.decisions.cost_model import CostModel
from banyanswitch.decisions.load_shares import Load
from banyanswitch.decisions.weight_age import WeightAgePolicy
from banyanswitch.helpers.signing import SigningKeys
from banyanswitch.helpers.suspension import SuspensionWatch
from banyanswitch.identifiers import (
    FailureDomainId,
    InstanceId,
    ServiceName,
    UpstreamId,
)
from banyanswitch.interfaces import Item, TableChanges
from tests.components.forwarding.fakes import (
    HOST,
    MODEL,
    SERVICE,
    FakePool,
    FakeReply,
    FakeUpstream,
    NoFeed,
    PlainDecoder,
    PlainTranslator,
    Upstreams,
    model_request,
    record,
)
from tests.components.kv_tier.test_coordinator import FakeClock, FakeStore
from tests.components.lease.conftest import FixedPeers, make_peer
from tests.components.peers.in_memory_transport import InMemoryTransport
from tests.components.stream_origins.test_exchange import NoArchive

WEIGHTS_DEADLINE_S = 4.0
PROMPT_TOKENS = 17_000
CAPACITY_TOKENS = 100_000
KEYS = SigningKeys(b"test-key")


def make_configuration() -> ForwardingConfiguration:
    routes = tuple(
        Route(
            name=repeatability.value,
            host=HOST,
            prefix=f"/{repeatability.value}/",
            shares=(ServiceShare(SERVICE, 1.0),),
            repeatability=repeatability,
            timeout_s=60.0,
            target_latency_s=1.0,
            max_attempts=2,
            is_streaming=repeatability is not Repeatability.REPEATABLE,
        )
        for repeatability in Repeatability
    )
    engine = EngineProfile(
        slots=4, capacity_tokens=CAPACITY_TOKENS, token_bytes=18_432, models=(MODEL,)
    )
    service = ForwardedService(name=SERVICE, max_connections=100, engine=engine)
    return ForwardingConfiguration(1, routes=routes, services={SERVICE: service})


def make_forwarder(
    *,
    routing: RoutingState,
    upstreams: Upstreams,
    pool: ConnectionPool,
    origins: StreamOrigins,
    stored_versions: "FakeStoredVersions",
    confirmation: "FakeConfirmation",
    quarantine: PartQuarantine,
    links: UpstreamLinks,
    peer_pool: ConnectionPool,
    notes: ResponseNotes,
) -> Forwarder:
    generator = random.Random(1)
    tier = PartTier(
        FakeStore(),
        lambda _model: None,
        SuspensionWatch(FakeClock()),
        upstreams.loads,
        ReaderAssignment(FixedPeers(make_peer("a"), [])),
    )
    policy = WeightAgePolicy(deadline_s=WEIGHTS_DEADLINE_S)
    start_limits = StartLimits(routing, policy)
    metrics = ForwardingMetrics()
    costs = RequestCosts(CostModel(), upstreams.registry.slowness, metrics)
    placement = Placement(
        routing=routing,
        registry=upstreams.registry,
        tier=tier,
        pool=pool,
        failure_domain=FailureDomainId("z1"),
        start_limits=start_limits,
        instance_count=lambda: 1,
        links=links,
        costs=costs,
        generator=generator,
    )
    wait_queue = WaitQueue()
    upstreams.loads.on_large_prefill_change = wait_queue.notify
    translator = PlainTranslator()
    return Forwarder(
        translator=translator,
        notes=notes,
        routing=routing,
        placement=placement,
        registry=upstreams.registry,
        start_limits=start_limits,
        pool=pool,
        metrics=metrics,
        retry_budget=RetryBudget(ratio=0.2, slack=50.0, window_s=10.0),
        instance_count=lambda: 1,
        admission=AcceptAll(),
        generator=generator,
        wait_queue=wait_queue,
        origins=origins,
        versions=SoftwareVersions(
            upstreams.registry, stored_versions, routing, confirmation
        ),
        parts=quarantine,
        links=links,
        costs=costs,
        peer_forwarder=PeerForwarder(
            instance=InstanceId("a"),
            translator=translator,
            peers=links.peers,
            pool=peer_pool,
            keys=KEYS,
            notes=notes,
        ),
        load_source=NoLoadSource(),
        on_replaced=lambda _name: None,
    )


class AcceptAll:
    """Implements ``RequestAdmission`` for an instance that is not stopping."""

    def accepts(self, limit_s: float, *, is_call_once: bool) -> bool:
        return True


class NoLoadSource:
    """Implements ``LoadSource`` for a small fleet."""

    def is_needed(self) -> bool:
        return False

    async def async_refresh(
        self, upstreams: Iterable[UpstreamId]
    ) -> frozenset[UpstreamId]:
        raise NotImplementedError


class FakeStoredVersions:
    """Implements ``StoredVersions`` for one service."""

    stored: frozenset[str] | None = None

    def versions(self, service: ServiceName) -> frozenset[str] | None:
        return self.stored


class FakeConfirmation:
    """Implements ``EntryConfirmation``.

    Attributes
    ----------
    missing : list of UpstreamRecord
        Entries in the store that this instance has not read.
    is_reached : bool
        Whether the store answers.
    """

    def __init__(self, upstreams: Upstreams) -> None:
        self._upstreams = upstreams
        self.missing: list[UpstreamRecord] = []
        self.is_reached = True
        self.calls = 0

    async def async_confirm(self) -> bool:
        self.calls += 1
        if self.is_reached:
            for entry in self.missing:
                self._upstreams.put(entry)
            self.missing.clear()
        return self.is_reached


class Instance:
    """Forwarder in front of fake upstreams, with the targets that a test names."""

    def __init__(self, pool: ConnectionPool | None = None) -> None:
        self.upstreams = Upstreams()
        self.is_connected = True
        self._version = 100
        self.stored_versions = FakeStoredVersions()
        self.confirmation = FakeConfirmation(self.upstreams)
        alone = FixedPeers(make_peer("a"), [])
        self.origins = OriginExchange(
            InMemoryTransport("a", {}), alone, lambda: self.is_connected, NoArchive()
        )
        self._pool = FakePool()
        self.pool: ConnectionPool = pool or self._pool
        self._operator = TableMirror("op", NoFeed(), random.Random(1))
        self.routing = RoutingState(self._operator, PlainDecoder(), "config")
        self.routing.apply(make_configuration())
        self.quarantine = PartQuarantine(alone)
        self.peer_pool = FakePool()
        self.notes = ResponseNotes(PlainTranslator(), self.upstreams.registry)
        others = FixedPeers(make_peer("a"), [make_peer("b"), make_peer("c")])
        self.links = UpstreamLinks(
            self.upstreams.registry,
            self.pool,
            PeerLinkTable(others, random.Random(1)),
        )
        self._forwarder = make_forwarder(
            routing=self.routing,
            upstreams=self.upstreams,
            pool=self.pool,
            origins=self.origins,
            stored_versions=self.stored_versions,
            confirmation=self.confirmation,
            quarantine=self.quarantine,
            links=self.links,
            peer_pool=self.peer_pool,
            notes=self.notes,
        )

    def add(
        self,
        name: str,
        version: int,
        *,
        queue_s: float | None = 0.0,
        response_s: float = 0.0,
        is_unframed: bool = False,
        breaks_off: bool = False,
        sends_head_first: bool = False,
        software_version: str = "v1",
        crashes: bool = False,
        domain: str = "z1",
    ) -> FakeUpstream:
        upstream = FakeUpstream(
            name,
            queue_s,
            response_s,
            is_unframed,
            breaks_off,
            sends_head_first,
            crashes,
        )
        entry = record(
            name, version=version, software_version=software_version, domain=domain
        )
        self._pool.upstreams[entry.address] = upstream
        self.upstreams.put(entry)
        return upstream

    def remove(self, name: str) -> None:
        """Remove the entry of an upstream that has ended."""
        self.upstreams.remove(name)

    def name_target(self, version: int) -> float:
        """Make a version the target and return the loop time."""
        row = Item("op/target", version, str(version).encode())
        self._operator.apply_changes(TableChanges(version, (row,), ()))
        return now_s()

    def evacuate(self, domain: str, *, is_ended: bool = False) -> None:
        """Write the row that evacuates a failure domain, or remove it."""
        self._version += 1
        key = f"op/evacuate/{domain}"
        rows = () if is_ended else (Item(key, self._version, b"{}"),)
        removed = (key,) if is_ended else ()
        self._operator.apply_changes(TableChanges(self._version, rows, removed))

    def fill_memory(self, upstream: FakeUpstream) -> None:
        """Let an answered request use nearly all memory of an upstream."""
        name = UpstreamId(upstream.name)
        number = self.upstreams.loads.begin(
            InFlight(name, 0, CAPACITY_TOKENS - 1_000, now_s())
        )
        self.upstreams.loads.note_answered(number)

    def queue_prefills(self, upstream: FakeUpstream, tokens: int) -> None:
        """Let another instance report requests that wait for their prefill."""
        loads = {upstream.name: Load(4, tokens, CAPACITY_TOKENS - 1_000)}
        self.upstreams.loads.note_remote("other", loads, now_s())

    def metrics_text(self) -> str:
        return self._forwarder._metrics.render().decode()

    def retry_budget_left(self) -> float:
        return self._forwarder._retrier(SERVICE).budget_left(now_s())

    def send(
        self,
        repeatability: Repeatability,
        *,
        time_left_s: float = 30.0,
        headers: Headers = (),
        body: bytes = b"",
    ) -> tuple[FakeReply, asyncio.Task[None]]:
        request = model_request(
            f"/{repeatability.value}/",
            prompt_tokens=PROMPT_TOKENS,
            time_left_s=time_left_s,
            more=headers,
            body=body,
        )
        reply = FakeReply()
        handling = self._forwarder.async_handle(request, reply)
        return reply, asyncio.create_task(handling)


def now_s() -> float:
    return asyncio.get_running_loop().time()
