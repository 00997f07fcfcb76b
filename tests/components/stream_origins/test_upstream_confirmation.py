"""The copy of the upstreams' entries is compared with the store on demand."""

import asyncio
import math
import random

import pytest

from banyanswitch.components.stream_origins.const import (
    CONFIRMATION_MAX_SPACING_S,
    CONFIRMATION_PAUSE_S,
    CONFIRMATION_TIMEOUT_S,
)
from banyanswitch.components.stream_origins.upstream_confirmation import (
    UpstreamConfirmation,
)
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.exceptions import HistoryGoneError, PlatformUnavailableError
from banyanswitch.interfaces import Item, TableChanges
from tests.components.table_mirror.test_mirror import ScriptedFeed, item

pytestmark = pytest.mark.looptime
READ_S = 0.004


class FakeStore:
    """Implements ``TableFeed``; the rows at the start of a read are returned."""

    def __init__(self) -> None:
        self.items: list[Item] = []
        self.version = 1
        self.error: Exception | None = None
        self.is_silent = False
        self.reads = 0

    def clock_s(self, max_error_s: float = math.inf) -> float | None:
        return None

    async def async_read_table(self, table: str) -> TableChanges:
        raise NotImplementedError

    async def async_changes(
        self, table: str, after: int, wait_s: float
    ) -> TableChanges:
        assert wait_s == 0.0
        self.reads += 1
        newer = tuple(item for item in self.items if item.revision > after)
        changes = TableChanges(self.version, newer, ())
        await asyncio.sleep(1000.0 if self.is_silent else READ_S)
        if self.error is not None:
            raise self.error
        return changes

    def put(self, key: str) -> None:
        self.version += 1
        self.items.append(item(key, self.version))


class Scenario:
    """Copy that follows a feed without changes, and a store that has newer ones."""

    def __init__(self, instances: int = 6) -> None:
        feed = ScriptedFeed()
        feed.snapshots = [TableChanges(1, (item("a", 1),), ())]
        self.mirror = TableMirror("t", feed, random.Random(1))
        self.store = FakeStore()
        self.confirmation = UpstreamConfirmation(
            self.mirror, self.store, lambda: instances
        )
        self._task = asyncio.create_task(self.mirror.async_run())

    def keys(self) -> set[str]:
        return {found.key for found in self.mirror.items}


@pytest.fixture
async def scenario() -> Scenario:
    scenario = Scenario()
    await asyncio.sleep(1.0)
    return scenario


def now_s() -> float:
    return asyncio.get_running_loop().time()


# Guards against a feed that is silent though a newer entry exists.
async def test_entries_that_the_feed_has_not_brought_are_read(
    scenario: Scenario,
) -> None:
    scenario.store.put("b")
    assert await scenario.confirmation.async_confirm()
    assert scenario.keys() == {"t/a", "t/b"}


# Guards against the use of a read whose answer is older than the question.
async def test_question_during_a_read_gets_a_read_of_its_own(
    scenario: Scenario,
) -> None:
    first = asyncio.create_task(scenario.confirmation.async_confirm())
    await asyncio.sleep(0.5 * READ_S)
    scenario.store.put("b")
    assert await scenario.confirmation.async_confirm()
    assert scenario.keys() == {"t/a", "t/b"}
    assert await first


# Guards against one read for each of many streams that break at once.
async def test_reads_are_shared_and_spaced() -> None:
    scenario = Scenario(instances=330)
    await asyncio.sleep(1.0)
    begun_at_s = now_s()
    questions = []
    for _ in range(100):
        task = asyncio.create_task(scenario.confirmation.async_confirm())
        questions.append(task)
        await asyncio.sleep(0.01)
    assert all(await asyncio.gather(*questions))
    assert scenario.store.reads <= 2 + 1.0 / CONFIRMATION_MAX_SPACING_S
    assert now_s() - begun_at_s <= 1.0 + CONFIRMATION_MAX_SPACING_S + READ_S


# Guards against callers that are held while the store is cut off.
async def test_store_that_does_not_answer_confirms_nothing(scenario: Scenario) -> None:
    scenario.store.is_silent = True
    begun_at_s = now_s()
    assert not await scenario.confirmation.async_confirm()
    assert now_s() - begun_at_s == pytest.approx(CONFIRMATION_TIMEOUT_S)
    assert not await scenario.confirmation.async_confirm()
    assert now_s() - begun_at_s == pytest.approx(CONFIRMATION_TIMEOUT_S)
    scenario.store.is_silent = False
    await asyncio.sleep(CONFIRMATION_PAUSE_S)
    assert await scenario.confirmation.async_confirm()


@pytest.mark.parametrize("error", [HistoryGoneError, PlatformUnavailableError])
async def test_failed_read_confirms_nothing(
    scenario: Scenario, error: type[Exception]
) -> None:
    scenario.store.error = error("test")
    assert not await scenario.confirmation.async_confirm()


# Guards against a confirmation by an older copy of the store than the own one.
async def test_older_copy_of_the_store_confirms_nothing(scenario: Scenario) -> None:
    scenario.mirror.apply_changes(TableChanges(9, (item("b", 9),), ()))
    assert not await scenario.confirmation.async_confirm()


async def test_table_that_was_never_read_is_not_confirmed() -> None:
    mirror = TableMirror("t", ScriptedFeed(), random.Random(1))
    confirmation = UpstreamConfirmation(mirror, FakeStore(), lambda: 6)
    assert not await confirmation.async_confirm()
