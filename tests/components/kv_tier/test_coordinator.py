"""Plans of fetches and saves from the events of the stores."""

import asyncio
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

import pytest

from banyanswitch.components.forwarding.loads import InFlight, LoadTracker
from banyanswitch.components.forwarding.models import KvStoreNode, PromptPart
from banyanswitch.components.forwarding.protocols import PartEvent, PartEvents
from banyanswitch.components.kv_tier.const import PERMIT_LIFETIME_S
from banyanswitch.components.kv_tier.coordinator import PartPlan, PartTier
from banyanswitch.components.kv_tier.fetch_permit import PermitReport
from banyanswitch.components.peers.reader_assignment import ReaderAssignment
from banyanswitch.decisions.fetch_floor import FetchFloor
from banyanswitch.decisions.fetch_limit import NEWEST_FETCH_TIMEOUT_S
from banyanswitch.decisions.prefix import (
    isolated_scope,
    model_in_salt,
    salt_model,
    salt_version,
    shared_scope,
    versioned_cache_salt,
)
from banyanswitch.exceptions import UpstreamBrokenError
from banyanswitch.helpers.suspension import SuspensionWatch
from banyanswitch.identifiers import FailureDomainId, StoreId, UpstreamId, WorkspaceId
from tests.components.lease.conftest import FixedPeers, make_peer

pytestmark = pytest.mark.looptime
MODEL = "m"
SAVE_DELAY_S = 5.0
"""Time after which parts are saved to a store that may have just restarted."""
PARTS = (PromptPart("shared", 12_800), PromptPart("own", 4_260))
ADDRESS = "10.0.0.2:1"
NODE = KvStoreNode(
    name=StoreId("s"),
    address=ADDRESS,
    failure_domain=FailureDomainId("z"),
    capacity_tokens=100_000,
    bandwidth_mbps=45_000.0,
    first_byte_s=0.0005,
    max_event_readers=12,
    is_managed=True,
)


class FakeClock:
    """Implements ``SuspensionClock``."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def suspended_s(self) -> float:
        return self.seconds


@dataclass
class FakeStore:
    """Implements ``PartStoreClient`` for one store."""

    epoch: int = 1
    held: list[PartEvent] = field(default_factory=list)
    events: list[PartEvent] = field(default_factory=list)
    is_down: bool = False
    has_gap: bool = False
    freed: list[tuple[float, tuple[str, str]]] = field(default_factory=list)
    """Loop time and key of each part that was freed."""

    async def async_events(
        self, address: str, epoch: int, since: int, wait_s: float
    ) -> PartEvents:
        await asyncio.sleep(0.01)
        if self.is_down:
            raise UpstreamBrokenError("down")
        events, self.events = tuple(self.events), []
        has_gap, self.has_gap = self.has_gap, False
        return PartEvents(
            epoch=self.epoch,
            next_event=since + len(events),
            has_gap=has_gap,
            events=events,
            clock_ms=5,
        )

    async def async_list(self, address: str) -> PartEvents:
        if self.is_down:
            raise UpstreamBrokenError("down")
        return PartEvents(
            epoch=self.epoch,
            next_event=0,
            has_gap=False,
            events=tuple(self.held),
            clock_ms=5,
        )

    async def async_free(
        self,
        address: str,
        epoch: int,
        parts: Sequence[tuple[str, str]],
        send_by_s: Callable[[], float],
    ) -> bool:
        now_s = asyncio.get_running_loop().time()
        self.freed += [(now_s, key) for key in parts]
        return True


class Setup:
    def __init__(self) -> None:
        self.store = FakeStore()
        self.newest = 1
        self.permits = 0
        self.loads = LoadTracker()
        self.clock = FakeClock()
        self.tier = PartTier(
            self.store,
            lambda _model: self.newest,
            SuspensionWatch(self.clock),
            self.loads,
            ReaderAssignment(FixedPeers(make_peer("a"), [])),
        )
        self.tier.targets_confirmed_at_s = lambda: asyncio.get_running_loop().time()

    async def async_start(self) -> None:
        self.tier.set_stores([NODE])
        await asyncio.sleep(SAVE_DELAY_S)

    def plan(self, version: int = 1) -> PartPlan:
        salt = versioned_cache_salt(MODEL, version)
        return self.tier.plan(PARTS, salt, MODEL, version, 18_432)

    def note_permit(self) -> None:
        """Record a new permit of the holder."""
        self.permits += 1
        now_s = asyncio.get_running_loop().time()
        permit = PermitReport(1, self.permits, PERMIT_LIFETIME_S)
        self.tier.permit.note(permit, now_s)

    def stored_event(self, version: int = 1) -> PartEvent:
        salt = versioned_cache_salt(MODEL, version)
        return PartEvent(True, salt, "shared", 12_800)


@pytest.fixture
def setup() -> Iterator[Setup]:
    setup = Setup()
    yield setup
    setup.tier.stop()


async def test_part_is_saved_once_and_fetched_when_complete(
    setup: Setup,
) -> None:
    await setup.async_start()
    plan = setup.plan()
    assert plan.saves == (ADDRESS, "")
    assert plan.fetches == ("", "")
    setup.tier.mark_saves_pending(plan)
    assert setup.plan().saves == ("", "")
    setup.store.events.append(setup.stored_event())
    await asyncio.sleep(0.1)
    assert setup.plan().fetches == (ADDRESS, "")
    assert setup.plan().stored_tokens == 12_800


async def test_plan_that_is_not_sent_leaves_no_save_pending(setup: Setup) -> None:
    """A request with a large prefill is planned repeatedly while it is queued."""
    await setup.async_start()
    for _ in range(5):
        assert setup.plan().saves == (ADDRESS, "")


async def test_store_that_restarted_empty_is_known_to_be_empty(setup: Setup) -> None:
    await setup.async_start()
    setup.store.events.append(setup.stored_event())
    await asyncio.sleep(0.1)
    setup.store.is_down = True
    await asyncio.sleep(0.1)
    assert setup.plan() == PartPlan(
        ("", ""), ("", ""), fetch_limit_s=NEWEST_FETCH_TIMEOUT_S
    )
    setup.store.is_down = False
    setup.store.epoch = 2
    await asyncio.sleep(2.0)
    assert setup.plan().fetches == ("", "")
    assert setup.plan().saves == ("", "")
    await asyncio.sleep(SAVE_DELAY_S)
    assert setup.plan().fetches == ("", "")
    assert setup.plan().saves == (ADDRESS, "")


async def test_store_list_is_read_after_lost_events(setup: Setup) -> None:
    await setup.async_start()
    setup.store.held.append(setup.stored_event())
    setup.store.has_gap = True
    await asyncio.sleep(0.5)
    assert setup.plan().fetches == (ADDRESS, "")


async def test_fetches_of_older_weights_follow_the_fetch_floor(setup: Setup) -> None:
    await setup.async_start()
    setup.store.events.append(setup.stored_event())
    await asyncio.sleep(0.1)
    setup.newest = 2
    assert setup.plan().fetches == ("", "")
    setup.note_permit()
    assert setup.plan().fetches == (ADDRESS, "")
    setup.tier.note_floor(MODEL, FetchFloor(2, 2, 1.0))
    assert setup.plan().fetches == ("", "")
    setup.tier.note_floor(MODEL, FetchFloor(1, 2, 0.0))
    assert setup.plan().fetches == ("", "")


async def test_older_weights_are_not_fetched_after_the_permit_ended(
    setup: Setup,
) -> None:
    await setup.async_start()
    setup.store.events.append(setup.stored_event())
    setup.newest = 2
    setup.note_permit()
    await asyncio.sleep(PERMIT_LIFETIME_S + 0.1)
    assert setup.plan().fetches == ("", "")


async def test_nothing_is_fetched_right_after_a_suspension(setup: Setup) -> None:
    await setup.async_start()
    setup.store.events.append(setup.stored_event())
    await asyncio.sleep(0.1)
    setup.clock.seconds += 3.0
    assert setup.plan().fetches == ("", "")
    await asyncio.sleep(PERMIT_LIFETIME_S)
    assert setup.plan().fetches == ("", "")
    # The store has to confirm its contents in an answer after that.
    await asyncio.sleep(0.1)
    assert setup.plan().fetches == (ADDRESS, "")


async def test_part_behind_long_fetch_queue_is_not_fetched(setup: Setup) -> None:
    await setup.async_start()
    setup.store.events.append(setup.stored_event())
    await asyncio.sleep(0.1)
    call = InFlight(UpstreamId("a"), 1, 1, 0.0, fetches={ADDRESS: 200_000})
    number = setup.loads.begin(call)
    assert setup.plan().fetches == ("", "")
    assert setup.plan().saves == ("", "")
    setup.loads.note_answered(number)
    assert setup.plan().fetches == (ADDRESS, "")


def test_salts_contain_version_and_scope() -> None:
    isolated = [WorkspaceId("a"), WorkspaceId("b")]
    scopes = [shared_scope(()), shared_scope(isolated), *map(isolated_scope, isolated)]
    salts = {versioned_cache_salt(MODEL, 3, scope) for scope in scopes}
    assert len(salts) == 4
    assert {salt_version(salt) for salt in salts} == {3}
    assert {model_in_salt(salt) for salt in salts} == {salt_model(MODEL)}
    assert versioned_cache_salt(MODEL, 4) not in salts
    assert salt_version("other") is None
