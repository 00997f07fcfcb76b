"""The cache view stays correct if events are missing or the sequence restarts."""

import asyncio
from dataclasses import replace

import pytest

from banyanswitch.components.configuration.packed_records import PackedRecords
from banyanswitch.components.configuration.view import ActiveConfiguration
from banyanswitch.components.kv_cache.cache_events import CacheEventPoller
from banyanswitch.components.kv_cache.const import (
    MAX_EVENT_READS_PER_S,
    MAX_POLLED_UPSTREAMS,
)
from banyanswitch.components.kv_cache.engine_client import EngineCacheEvent
from banyanswitch.config.records import to_records
from banyanswitch.decisions.cache_view import CacheEventKind, CacheView
from banyanswitch.decisions.prefix import cache_salt, chained_piece_hashes
from tests.config.test_validation import UPSTREAM, VALID
from tests.fakes.kv import FakeEngine, FakeKvStore

KEYS = chained_piece_hashes(b"x" * 30, 10, cache_salt("shop", "v1"))


@pytest.fixture
def engine() -> FakeEngine:
    engine = FakeEngine(FakeKvStore())
    for sequence, key in enumerate(KEYS, start=1):
        add_event(engine, sequence, CacheEventKind.STORED, key)
    return engine


def add_event(
    engine: FakeEngine, sequence: int, kind: CacheEventKind, key: str
) -> None:
    engine.events.append(EngineCacheEvent(sequence, kind, key, "v1"))
    if kind is CacheEventKind.STORED:
        engine.compute(key)
    else:
        engine.cache.pop(key, None)


def make_poller(engine: FakeEngine, view: CacheView) -> CacheEventPoller:
    configuration = ActiveConfiguration()
    configuration.replace(1, PackedRecords.from_records(to_records(VALID)))
    return CacheEventPoller(configuration, engine, view)


def cached_pieces(view: CacheView) -> int:
    matches = view.matches(KEYS)
    return matches[0].pieces if matches else 0


async def test_events_are_applied_once(engine: FakeEngine) -> None:
    view = CacheView()
    poller = make_poller(engine, view)
    await poller.async_poll(UPSTREAM)
    assert (cached_pieces(view), engine.key_list_reads) == (3, 0)
    add_event(engine, 4, CacheEventKind.EVICTED, KEYS[2])
    await poller.async_poll(UPSTREAM)
    assert (cached_pieces(view), engine.key_list_reads) == (2, 0)


@pytest.mark.parametrize("lost", [[0], [1], [0, 1]])
async def test_missing_events_trigger_a_read_of_all_keys(
    engine: FakeEngine, lost: list[int]
) -> None:
    view = CacheView()
    poller = make_poller(engine, view)
    for index in reversed(lost):
        del engine.events[index]
    await poller.async_poll(UPSTREAM)
    assert (cached_pieces(view), engine.key_list_reads) == (3, 1)
    add_event(engine, 4, CacheEventKind.EVICTED, KEYS[2])
    await poller.async_poll(UPSTREAM)
    assert (cached_pieces(view), engine.key_list_reads) == (2, 1)


async def test_restarted_engine_triggers_a_read_of_all_keys(engine: FakeEngine) -> None:
    view = CacheView()
    poller = make_poller(engine, view)
    await poller.async_poll(UPSTREAM)
    engine.events.clear()
    engine.cache.clear()
    add_event(engine, 1, CacheEventKind.STORED, KEYS[0])
    await poller.async_poll(UPSTREAM)
    assert (cached_pieces(view), engine.key_list_reads) == (1, 1)


async def test_unavailable_engine_leaves_the_view_unchanged(engine: FakeEngine) -> None:
    view = CacheView()
    poller = make_poller(engine, view)
    await poller.async_poll(UPSTREAM)
    engine.is_down = True
    await poller.async_poll(UPSTREAM)
    assert cached_pieces(view) == 3


@pytest.mark.looptime
@pytest.mark.parametrize("count", [1, 9, 16, 780])
async def test_event_reads_are_bounded_for_any_number_of_upstreams(count: int) -> None:
    upstreams = tuple(
        replace(UPSTREAM, name=f"r{number}", url=f"http://10.0.0.1:{1000 + number}")
        for number in range(count)
    )
    configuration = ActiveConfiguration()
    records = to_records(replace(VALID, upstreams=upstreams))
    configuration.replace(1, PackedRecords.from_records(records))
    engine = FakeEngine(FakeKvStore())
    poller = CacheEventPoller(configuration, engine, CacheView())
    for upstream in upstreams:
        poller.note_used(upstream.name)
    task = asyncio.create_task(poller.async_run())
    await asyncio.sleep(60.0)
    task.cancel()
    polled = min(count, MAX_POLLED_UPSTREAMS)
    assert polled <= engine.event_reads <= 60 * MAX_EVENT_READS_PER_S
