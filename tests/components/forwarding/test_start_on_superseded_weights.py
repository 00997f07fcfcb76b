"""Requests must not begin on superseded weights after the deadline; no network."""

import asyncio

import pytest

from banyanswitch.components.forwarding.models import Repeatability
from tests.components.forwarding.fakes import (
    MODEL,
    RETRY_AFTER,
    FakeExchange,
    FakeReply,
    FakeUpstream,
)
from tests.components.forwarding.instance import (
    WEIGHTS_DEADLINE_S,
    Instance,
    now_s,
)

pytestmark = pytest.mark.looptime
MAY_RUN_AGAIN = [Repeatability.REPEATABLE, Repeatability.RESUMABLE_STREAM]
EVENTS = "id: 1\ndata: {0}\n\nid: 2\ndata: {0}\n\n"


def by_value(repeatability: Repeatability) -> str:
    return repeatability.value


def only_exchange(upstream: FakeUpstream) -> FakeExchange:
    (exchange,) = upstream.exchanges
    return exchange


def assert_withdrawn_before(upstream: FakeUpstream, limit_s: float) -> None:
    exchange = only_exchange(upstream)
    assert exchange.begun_at_s is None
    assert exchange.closed_at_s is not None
    assert exchange.closed_at_s < limit_s


def assert_answered_by(reply: FakeReply, upstream: FakeUpstream) -> None:
    assert reply.status == 200
    assert reply.body.decode() == EVENTS.format(upstream.name)
    assert not reply.is_aborted


# Guards against a begin after the deadline on weights that were superseded before.
@pytest.mark.parametrize("repeatability", MAY_RUN_AGAIN, ids=by_value)
async def test_queued_request_moves_to_newest_weights_before_the_deadline(
    repeatability: Repeatability,
) -> None:
    instance = Instance()
    old = instance.add("old", 1, queue_s=None)
    superseded_at_s = instance.name_target(2)
    await asyncio.sleep(1.0)
    reply, handling = instance.send(repeatability)
    await asyncio.sleep(0.5)
    new = instance.add("new", 2)
    await handling
    assert_withdrawn_before(old, superseded_at_s + WEIGHTS_DEADLINE_S)
    assert_answered_by(reply, new)


# Guards against a late begin, a second run, and a promise that it has not run.
async def test_queued_request_that_may_run_once_is_withdrawn_and_not_repeated() -> None:
    instance = Instance()
    old = instance.add("old", 1, queue_s=None)
    superseded_at_s = instance.name_target(2)
    await asyncio.sleep(1.0)
    reply, handling = instance.send(Repeatability.ONCE)
    await asyncio.sleep(0.5)
    new = instance.add("new", 2)
    await handling
    assert_withdrawn_before(old, superseded_at_s + WEIGHTS_DEADLINE_S)
    assert new.exchanges == []
    assert reply.status == 502
    assert RETRY_AFTER not in reply.headers


# Guards against a late begin on weights that were the newest at sending.
async def test_deadline_applies_to_weights_superseded_while_the_request_waits() -> None:
    instance = Instance()
    instance.name_target(1)
    old = instance.add("old", 1, queue_s=None)
    reply, handling = instance.send(Repeatability.REPEATABLE)
    await asyncio.sleep(5.0)
    assert only_exchange(old).closed_at_s is None
    superseded_at_s = instance.name_target(2)
    new = instance.add("new", 2)
    await handling
    assert_withdrawn_before(old, superseded_at_s + WEIGHTS_DEADLINE_S)
    assert_answered_by(reply, new)


# Guards against a deadline that still counts from this instance's own late notice.
async def test_earlier_target_time_shortens_the_wait_of_a_queued_request() -> None:
    instance = Instance()
    old = instance.add("old", 1, queue_s=None)
    await asyncio.sleep(2.0)
    noticed_at_s = instance.name_target(2)
    superseded_at_s = noticed_at_s - 1.5
    await asyncio.sleep(0.5)
    reply, handling = instance.send(Repeatability.REPEATABLE)
    await asyncio.sleep(0.5)
    instance.routing.note_target_time(MODEL, 2, superseded_at_s)
    new = instance.add("new", 2)
    await handling
    assert_withdrawn_before(old, superseded_at_s + WEIGHTS_DEADLINE_S)
    assert_answered_by(reply, new)


# Guards against the withdrawal of a request that began in time.
@pytest.mark.parametrize("repeatability", list(Repeatability), ids=by_value)
async def test_response_that_began_before_the_deadline_is_not_disturbed(
    repeatability: Repeatability,
) -> None:
    instance = Instance()
    old = instance.add("old", 1, queue_s=1.0, response_s=5.0)
    superseded_at_s = instance.name_target(2)
    await asyncio.sleep(1.0)
    reply, handling = instance.send(repeatability)
    await asyncio.sleep(0.5)
    new = instance.add("new", 2)
    await handling
    exchange = only_exchange(old)
    assert exchange.closed_at_s is None
    assert exchange.ended_at_s is not None
    assert exchange.ended_at_s > superseded_at_s + WEIGHTS_DEADLINE_S
    assert new.exchanges == []
    assert_answered_by(reply, old)


# Guards against sending a request to a queue that it may leave after the deadline.
@pytest.mark.parametrize("repeatability", list(Repeatability), ids=by_value)
async def test_large_request_is_refused_rather_than_sent_to_a_full_old_upstream(
    repeatability: Repeatability,
) -> None:
    instance = Instance()
    old = instance.add("old", 1, queue_s=None)
    instance.fill_memory(old)
    instance.name_target(2)
    await asyncio.sleep(2.0)
    called_at_s = now_s()
    reply, handling = instance.send(repeatability, time_left_s=4.8)
    await handling
    assert old.exchanges == []
    assert reply.status == 503
    assert float(reply.headers[RETRY_AFTER]) > 0.0
    assert reply.ended_at_s is not None
    assert reply.ended_at_s - called_at_s < 1.4


# Guards against a choice of full superseded upstreams at the end of the local wait.
async def test_large_request_prefers_newest_weights_to_a_full_old_upstream() -> None:
    instance = Instance()
    old = instance.add("old", 1, queue_s=None)
    new = instance.add("new", 2)
    instance.fill_memory(old)
    instance.name_target(2)
    await asyncio.sleep(2.0)
    instance.queue_prefills(new, 30_000)
    reply, handling = instance.send(Repeatability.REPEATABLE, time_left_s=4.8)
    await handling
    assert old.exchanges == []
    assert_answered_by(reply, new)


# Guards against the refusal of a request that can only begin before the deadline.
async def test_large_request_that_ends_before_the_deadline_is_still_sent() -> None:
    instance = Instance()
    old = instance.add("old", 1, queue_s=0.5)
    instance.fill_memory(old)
    instance.name_target(2)
    await asyncio.sleep(0.5)
    reply, handling = instance.send(Repeatability.REPEATABLE, time_left_s=2.0)
    await handling
    assert_answered_by(reply, old)


# Guards against taking the head of a stream for its begin, which is its first event.
async def test_stream_with_only_its_head_moves_to_newest_weights() -> None:
    instance = Instance()
    old = instance.add("old", 1, queue_s=None, sends_head_first=True)
    superseded_at_s = instance.name_target(2)
    await asyncio.sleep(1.0)
    reply, handling = instance.send(Repeatability.RESUMABLE_STREAM)
    await asyncio.sleep(0.5)
    new = instance.add("new", 2)
    await handling
    assert_withdrawn_before(old, superseded_at_s + WEIGHTS_DEADLINE_S)
    assert_answered_by(reply, new)


# Guards against the withdrawal of a stream whose first event came in time.
async def test_stream_with_an_early_head_that_begins_in_time_is_not_disturbed() -> None:
    instance = Instance()
    old = instance.add("old", 1, queue_s=1.0, response_s=5.0, sends_head_first=True)
    superseded_at_s = instance.name_target(2)
    await asyncio.sleep(1.0)
    reply, handling = instance.send(Repeatability.RESUMABLE_STREAM)
    await handling
    exchange = only_exchange(old)
    assert exchange.ended_at_s is not None
    assert exchange.ended_at_s > superseded_at_s + WEIGHTS_DEADLINE_S
    assert_answered_by(reply, old)
