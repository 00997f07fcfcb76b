"""Withdrawal of requests that wait for upstreams with superseded weights."""

import asyncio
from dataclasses import replace

import pytest
from structlog.testing import capture_logs

from banyanswitch.components.forwarding import queued_placement
from banyanswitch.components.forwarding.models import Repeatability, ResponseMetadata
from banyanswitch.components.http1.const import CONNECT_TIMEOUT_S, DEFAULT_MAX_IDLE_S
from banyanswitch.components.http1.models import ResponseHead
from banyanswitch.components.http1.upstream_connection import UpstreamConnection
from banyanswitch.decisions.weight_age import WeightAgePolicy
from tests.components.forwarding import instance as instance_module
from tests.components.forwarding.fakes import (
    MODEL,
    RETRY_AFTER,
    SERVICE,
    FakePool,
    FakeUpstream,
    PlainTranslator,
)
from tests.components.forwarding.instance import (
    WEIGHTS_DEADLINE_S,
    Instance,
    now_s,
)
from tests.components.forwarding.test_start_on_superseded_weights import (
    assert_answered_by,
    assert_withdrawn_before,
    only_exchange,
)

pytestmark = pytest.mark.looptime
POLICY = WeightAgePolicy(deadline_s=WEIGHTS_DEADLINE_S)
SEND_UNTIL_S = POLICY.send_share * WEIGHTS_DEADLINE_S
START_BY_S = POLICY.start_by_s(0.0)


class SlowPool(FakePool):
    """Pool whose connections take almost the time limit to be made."""

    async def async_acquire(
        self, address: str, *, max_idle_s: float = DEFAULT_MAX_IDLE_S
    ) -> UpstreamConnection:
        await asyncio.sleep(CONNECT_TIMEOUT_S - 0.01)
        return await super().async_acquire(address, max_idle_s=max_idle_s)


class ForeignResponses(PlainTranslator):
    """Translator for upstreams whose responses belong to another request."""

    def read_response_metadata(self, head: ResponseHead) -> ResponseMetadata:
        return replace(super().read_response_metadata(head), attempt=b"other")


@pytest.fixture
def slow_pool(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(instance_module, "FakePool", SlowPool)


async def send_and_wait_until_withdrawn(
    instance: Instance, old: FakeUpstream
) -> asyncio.Task[None]:
    _, handling = instance.send(Repeatability.REPEATABLE)
    while not old.exchanges or old.exchanges[0].closed_at_s is None:
        await asyncio.sleep(0.01)
    return handling


# Guards against 502, which says that it may have run, for a request that was not sent.
@pytest.mark.usefixtures("slow_pool")
async def test_request_withdrawn_while_connecting_is_refused_as_not_run() -> None:
    instance = Instance()
    old = instance.add("old", 1)
    instance.name_target(2)
    await asyncio.sleep(SEND_UNTIL_S - 0.05)
    reply, handling = instance.send(Repeatability.ONCE)
    await handling
    assert old.exchanges == []
    assert reply.status == 503
    assert RETRY_AFTER in reply.headers


# Guards against giving up a request that may run once although it was not sent.
@pytest.mark.usefixtures("slow_pool")
async def test_request_withdrawn_while_connecting_moves_to_newest_weights() -> None:
    instance = Instance()
    old = instance.add("old", 1)
    instance.name_target(2)
    await asyncio.sleep(SEND_UNTIL_S - 0.05)
    reply, handling = instance.send(Repeatability.ONCE)
    await asyncio.sleep(0.1)
    new = instance.add("new", 2)
    await handling
    assert old.exchanges == []
    assert_answered_by(reply, new)


# Guards against a deadline that restarts with each newer version.
async def test_deadline_counts_from_the_first_newer_version() -> None:
    instance = Instance()
    old = instance.add("old", 1, queue_s=None)
    superseded_at_s = instance.name_target(2)
    await asyncio.sleep(1.0)
    reply, handling = instance.send(Repeatability.REPEATABLE)
    await asyncio.sleep(1.0)
    instance.name_target(3)
    new = instance.add("new", 3)
    await handling
    assert_withdrawn_before(old, superseded_at_s + WEIGHTS_DEADLINE_S)
    assert_answered_by(reply, new)


# Guards against sending requests to weights that are about to be too old.
async def test_request_is_not_sent_to_old_weights_after_the_sending_share() -> None:
    instance = Instance()
    old = instance.add("old", 1)
    instance.name_target(2)
    await asyncio.sleep(SEND_UNTIL_S + 0.01)
    reply, handling = instance.send(Repeatability.REPEATABLE)
    await handling
    assert old.exchanges == []
    assert reply.status == 503


# Guards against counting a response to another request as the begin of this one.
async def test_foreign_response_does_not_end_the_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(instance_module, "PlainTranslator", ForeignResponses)
    instance = Instance()
    instance.add("old", 1, queue_s=0.5)
    superseded_at_s = instance.name_target(2)
    await asyncio.sleep(1.0)
    reply, handling = instance.send(Repeatability.ONCE)
    await handling
    assert reply.status == 502
    assert reply.ended_at_s is not None
    assert reply.ended_at_s - superseded_at_s == pytest.approx(START_BY_S)


# Guards against ejecting an upstream that only had a long queue.
async def test_upstream_of_a_withdrawn_request_is_not_ejected() -> None:
    instance = Instance()
    old = instance.add("old", 1, queue_s=None)
    instance.name_target(2)
    await asyncio.sleep(1.0)
    handling = await send_and_wait_until_withdrawn(instance, old)
    await handling
    (state,) = instance.upstreams.registry.of_service(SERVICE)
    assert instance.upstreams.registry.health(state, now_s()) == 1.0


# Guards against limits that are kept after their requests have begun or ended.
async def test_target_that_changes_after_a_request_has_begun_has_no_effect() -> None:
    instance = Instance()
    old = instance.add("old", 1, response_s=10.0)
    reply, handling = instance.send(Repeatability.REPEATABLE)
    await asyncio.sleep(1.0)
    instance.name_target(2)
    await handling
    assert only_exchange(old).closed_at_s is None
    assert_answered_by(reply, old)
    instance.name_target(3)


# Guards against an error for the caller's own departure.
async def test_caller_that_leaves_ends_a_queued_request() -> None:
    instance = Instance()
    old = instance.add("old", 1, queue_s=None)
    instance.name_target(2)
    reply, handling = instance.send(Repeatability.REPEATABLE)
    await asyncio.sleep(1.0)
    handling.cancel()
    with pytest.raises(asyncio.CancelledError):
        await handling
    assert only_exchange(old).closed_at_s == pytest.approx(now_s())
    assert reply.status is None
    instance.name_target(3)


# Guards against refusing a large request before its local wait is over.
async def test_large_request_waits_for_room_before_it_is_refused() -> None:
    instance = Instance()
    old = instance.add("old", 1)
    instance.fill_memory(old)
    instance.name_target(2)
    await asyncio.sleep(2.0)
    called_at_s = now_s()
    reply, handling = instance.send(Repeatability.REPEATABLE, time_left_s=4.8)
    await handling
    assert reply.status == 503
    assert reply.ended_at_s is not None
    assert reply.ended_at_s - called_at_s >= 1.2


# Guards against the refusal of requests for which an upstream has room.
async def test_large_request_is_sent_to_old_weights_with_room_after_its_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(queued_placement, "MAX_QUEUE_WAIT_S", 0.0)
    instance = Instance()
    old = instance.add("old", 1)
    instance.name_target(2)
    reply, handling = instance.send(Repeatability.REPEATABLE)
    await handling
    assert_answered_by(reply, old)


# Guards against resuming a stream on weights that are too old by then.
async def test_resumed_stream_is_withdrawn_before_the_deadline() -> None:
    instance = Instance()
    first = instance.add("first", 1, response_s=20.0)
    superseded_at_s = instance.name_target(2)
    reply, handling = instance.send(Repeatability.RESUMABLE_STREAM)
    await asyncio.sleep(1.0)
    second = instance.add("second", 1, queue_s=None)
    only_exchange(first).abort()
    await handling
    assert_withdrawn_before(second, superseded_at_s + WEIGHTS_DEADLINE_S)
    assert reply.is_aborted


# Guards against taking the caller's departure for the end of the limit.
@pytest.mark.parametrize("lead_s", [1e-10, -1e-10])
async def test_caller_that_leaves_at_the_limit_ends_the_request(lead_s: float) -> None:
    instance = Instance()
    old = instance.add("old", 1, queue_s=None)
    superseded_at_s = instance.name_target(2)
    reply, handling = instance.send(Repeatability.REPEATABLE)
    await asyncio.sleep(1.0)
    new = instance.add("new", 2)
    leaves_at_s = superseded_at_s + START_BY_S - lead_s
    asyncio.get_running_loop().call_at(leaves_at_s, handling.cancel)
    with pytest.raises(asyncio.CancelledError):
        await handling
    assert only_exchange(old).closed_at_s is not None
    assert new.exchanges == []
    assert reply.status is None


# Guards against another attempt after the caller's own deadline.
@pytest.mark.parametrize("lead_s", [1e-10, -1e-10])
async def test_deadline_of_the_caller_at_the_limit_ends_the_request(
    lead_s: float,
) -> None:
    instance = Instance()
    old = instance.add("old", 1, queue_s=None)
    instance.name_target(2)
    reply, handling = instance.send(
        Repeatability.REPEATABLE, time_left_s=START_BY_S - lead_s
    )
    await handling
    assert only_exchange(old).closed_at_s is not None
    assert reply.status == 504


# Guards against an error in the table's handlers from a limit that has just expired.
async def test_target_time_that_is_learned_as_the_limit_expires_is_recorded() -> None:
    instance = Instance()
    instance.add("old", 1, queue_s=None)
    superseded_at_s = instance.name_target(2)
    _, handling = instance.send(Repeatability.ONCE)
    await asyncio.sleep(1.0)
    recorded = asyncio.get_running_loop().create_future()

    def note_time() -> None:
        try:
            instance.routing.note_target_time(MODEL, 2, superseded_at_s - 0.1)
        except RuntimeError as error:
            recorded.set_exception(error)
        else:
            recorded.set_result(None)

    # Due in the same iteration of the loop, after the limit.
    asyncio.get_running_loop().call_at(superseded_at_s + START_BY_S + 1e-10, note_time)
    await recorded
    await handling


# Guards against spending the retry budget on attempts that no upstream can take.
async def test_withdrawn_request_without_another_upstream_spends_no_budget() -> None:
    instance = Instance()
    old = instance.add("old", 1, queue_s=None)
    instance.name_target(2)
    await asyncio.sleep(1.0)
    before = instance.retry_budget_left()
    reply, handling = instance.send(Repeatability.REPEATABLE)
    await handling
    assert only_exchange(old).closed_at_s == pytest.approx(now_s())
    assert reply.status == 502
    assert instance.retry_budget_left() >= before


async def test_withdrawn_request_is_logged_with_the_age_of_the_weights() -> None:
    instance = Instance()
    instance.add("old", 1, queue_s=None)
    instance.name_target(2)
    await asyncio.sleep(1.0)
    with capture_logs() as lines:
        _, handling = instance.send(Repeatability.ONCE)
        await handling
    events = {line["event"]: line for line in lines}
    assert events["request_placed"]["superseded_for_s"] == pytest.approx(1.0)
    assert events["request_placed"]["must_wait"] is False
    assert events["request_refused"]["reason"] == "weights_too_old"
