"""Operators and upstreams write again what the store lost in a drill."""

import asyncio
from itertools import pairwise

import pytest

from banyanswitch_standins.users_platform.drill import REWRITE_WITHIN_S, StoreDrill
from banyanswitch_standins.users_platform.store import PlatformStore

pytestmark = pytest.mark.looptime
COPY_AGE_S = 3.0
DOWN_S = 1.0


def rows(store: PlatformStore) -> dict[str, bytes | None]:
    return {name[2]: row.value for name, row in store.rows.items()}


async def start_drill(
    store: PlatformStore, seed: int = 1, **options: float
) -> asyncio.Task[None]:
    drill = StoreDrill(store, seed, **options)
    task = asyncio.create_task(drill.async_run(COPY_AGE_S, DOWN_S))
    await asyncio.sleep(0.5)
    return task


async def wait_for_era(store: PlatformStore, era: int) -> None:
    while store.era < era:
        await asyncio.sleep(0.01)


class TimedStore(PlatformStore):
    """Store that keeps the times of its latest outside writes and of its return."""

    def __init__(self) -> None:
        super().__init__()
        self.written_at_s: dict[str, float] = {}
        self.returned_at_s = 0.0

    async def async_put(self, table: str, key: str, value: bytes | None) -> int:
        self.written_at_s[key] = asyncio.get_running_loop().time()
        return await super().async_put(table, key, value)

    async def async_return_from_copy(self) -> None:
        self.returned_at_s = asyncio.get_running_loop().time()
        await super().async_return_from_copy()


async def rewrite_delays_s(seed: int) -> list[float]:
    """Return when ten rows were written again, in seconds after the return."""
    store = TimedStore()
    drill = await start_drill(store, seed)
    for number in range(10):
        await store.async_put("op", f"row-{number}", b"1")
    await drill
    return [at_s - store.returned_at_s for at_s in store.written_at_s.values()]


async def test_store_is_away_between_its_copy_and_its_return() -> None:
    store = PlatformStore()
    drill = await start_drill(store)
    seen = []
    for _ in range(4):
        seen.append((store.faults.is_down, store.era))
        await asyncio.sleep(1.0)
    assert seen == [(False, 1), (False, 1), (False, 1), (True, 1)]
    assert (store.faults.is_down, store.era) == (False, 2)
    await drill


async def test_newest_value_and_removals_are_written_again() -> None:
    store = PlatformStore()
    for key in ("kept", "removed", "changed"):
        await store.async_put("servers", key, b"before")
    drill = await start_drill(store)
    await store.async_put("servers", "changed", b"1")
    await store.async_put("servers", "changed", b"2")
    await store.async_put("servers", "removed", None)
    await store.async_put("op", "config", b"new")
    while not store.faults.is_down:
        await asyncio.sleep(0.01)
    await store.async_put("op", "while_away", b"new")
    await wait_for_era(store, 2)
    assert rows(store) == dict.fromkeys(("kept", "removed", "changed"), b"before")
    assert store.version == 3
    await drill
    assert rows(store) == {
        "kept": b"before",
        "removed": None,
        "changed": b"2",
        "config": b"new",
        "while_away": b"new",
    }
    assert store.version == 7


async def test_delays_depend_on_the_seed() -> None:
    first, again, other = [await rewrite_delays_s(seed) for seed in (1, 1, 2)]
    assert first == pytest.approx(again, abs=0.001)
    assert first != pytest.approx(other, abs=0.001)
    for delays_s in (first, other):
        assert min(delays_s) >= 0.0
        assert max(delays_s) <= REWRITE_WITHIN_S
        assert max(delays_s) - min(delays_s) > REWRITE_WITHIN_S / 2


async def test_rows_are_written_again_within_the_given_time() -> None:
    store = PlatformStore()
    drill = await start_drill(store, rewrite_within_s=0.1)
    await store.async_put("op", "config", b"1")
    await wait_for_era(store, 2)
    await asyncio.sleep(0.1)
    assert drill.done()
    assert rows(store) == {"config": b"1"}


async def test_newer_write_is_not_overwritten_by_the_lost_one() -> None:
    store = PlatformStore()
    drill = await start_drill(store)
    await store.async_put("op", "config", b"lost")
    await wait_for_era(store, 2)
    await store.async_put("op", "config", b"newer")
    await drill
    assert rows(store) == {"config": b"newer"}
    assert store.version == 1


async def test_second_drill_loses_and_rewrites_again() -> None:
    store = PlatformStore()
    drill = StoreDrill(store, 1)
    await store.async_put("op", "config", b"1")
    for era, value in ((2, b"2"), (3, b"3")):
        run = asyncio.create_task(drill.async_run(COPY_AGE_S, DOWN_S))
        await asyncio.sleep(0.5)
        before = rows(store)
        await store.async_put("op", "config", value)
        await wait_for_era(store, era)
        assert rows(store) == before
        await run
        assert rows(store) == {"config": value}
    assert store.version == 3


@pytest.mark.parametrize("seed", range(5))
async def test_drill_that_begins_before_all_rows_are_written_again(seed: int) -> None:
    """Tests that rows written again in the second drill are not lost by it."""
    store = PlatformStore()
    drill = StoreDrill(store, seed, rewrite_within_s=COPY_AGE_S + DOWN_S + 1.0)
    runs = [asyncio.create_task(drill.async_run(COPY_AGE_S, DOWN_S)) for _ in range(2)]
    await asyncio.sleep(0.5)
    for number in range(10):
        await store.async_put("servers", f"row-{number}", b"1")
    await store.async_put("op", "config", b"1")
    await wait_for_era(store, 2)
    await asyncio.sleep(0.5)
    await store.async_put("op", "config", b"2")
    await asyncio.gather(*runs)
    assert store.era == 3
    expected = {f"row-{number}": b"1" for number in range(10)} | {"config": b"2"}
    assert rows(store) == expected


async def test_drills_do_not_overlap() -> None:
    store = PlatformStore()
    drill = StoreDrill(store, 1)
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    runs = [asyncio.create_task(drill.async_run(COPY_AGE_S, DOWN_S)) for _ in range(3)]
    changed_at_s = [started_at_s]
    for era in (2, 3, 4):
        await wait_for_era(store, era)
        changed_at_s.append(loop.time())
    await asyncio.gather(*runs)
    for earlier_s, later_s in pairwise(changed_at_s):
        assert later_s - earlier_s == pytest.approx(COPY_AGE_S + DOWN_S, abs=0.1)
