"""Nothing new goes to the upstreams of evacuated failure domains; no network."""

import asyncio
import random

import pytest
from structlog.testing import capture_logs

from banyanswitch.components.forwarding.models import (
    ForwardedService,
    Repeatability,
    UpstreamRequestPlan,
)
from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.http1.models import Request, encode_head
from banyanswitch.components.kv_tier.coordinator import PartPlan, PartTier
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.decisions.load_shares import Load
from banyanswitch.interfaces import Item, TableChanges
from tests.components.forwarding.fakes import (
    LAST_EVENT,
    RESUMES,
    SERVICE,
    SHARED_PARTS,
    NoFeed,
    PlainDecoder,
    PlainTranslator,
    record,
)
from tests.components.forwarding.instance import Instance, now_s

ZONES = ("near", "far")
pytestmark = pytest.mark.looptime(noop_cycles=1)


# Guards against requests to a failure domain that operators take out of use.
async def test_new_requests_go_to_other_failure_domains_until_the_row_is_removed() -> (
    None
):
    instance = Instance()
    near, far = instance.add("a", 1), instance.add("b", 1, domain="z2")
    instance.evacuate("z1")
    for _ in range(20):
        reply, task = instance.send(Repeatability.REPEATABLE)
        await task
        assert reply.status == 200
    assert (len(near.exchanges), len(far.exchanges)) == (0, 20)
    instance.evacuate("z1", is_ended=True)
    instance.evacuate("z2")
    _, task = instance.send(Repeatability.REPEATABLE)
    await task
    assert len(near.exchanges) == 1


# Guards against second attempts and waiting requests that were placed before the row.
async def test_retried_and_waiting_requests_leave_an_evacuated_domain() -> None:
    instance = Instance()
    crashing = instance.add("a", 1, queue_s=0.5, crashes=True)
    reply, task = instance.send(Repeatability.REPEATABLE)
    await asyncio.sleep(0.1)
    assert len(crashing.exchanges) == 1
    other = instance.add("b", 1)
    far = instance.add("c", 1, domain="z2")
    instance.evacuate("z1")
    await task
    assert reply.status == 200
    assert (len(other.exchanges), len(far.exchanges)) == (0, 1)


# Guards against streams that break although their upstream may end them.
async def test_running_request_ends_and_resumed_stream_goes_elsewhere() -> None:
    instance = Instance()
    near = instance.add("a", 1, response_s=1.0)
    reply, task = instance.send(Repeatability.RESUMABLE_STREAM)
    await asyncio.sleep(0.2)
    instance.evacuate("z1")
    await task
    assert reply.status == 200
    assert not reply.is_aborted
    far = instance.add("b", 1, domain="z2")
    instance.stored_versions.stored = frozenset({"v1"})
    headers = ((LAST_EVENT, b"1"), (RESUMES, b"x"))
    _, task = instance.send(Repeatability.RESUMABLE_STREAM, headers=headers)
    await task
    assert (len(near.exchanges), len(far.exchanges)) == (1, 1)


# Guards against a wait for upstreams that may not be used, and a reason that misleads.
async def test_requests_are_refused_at_once_if_all_domains_are_evacuated() -> None:
    instance = Instance()
    instance.add("a", 1)
    instance.add("b", 1, domain="z2")
    instance.evacuate("z1")
    instance.evacuate("z2")
    began_s = now_s()
    with capture_logs() as logs:
        reply, task = instance.send(Repeatability.ONCE)
        await task
    assert (reply.status, now_s() - began_s) == (503, 0.0)
    assert float(reply.headers[b"Retry-After"]) > 0.0
    (line,) = [line for line in logs if line["event"] == "request_refused"]
    assert line["reason"] == "domains_evacuated"


# Guards against fetches of cached parts from an upstream that is taken out of use.
async def test_upstreams_of_an_evacuated_domain_are_no_sources_of_parts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    plans: list[UpstreamRequestPlan] = []

    def upstream_request(
        self: PlainTranslator, request: Request, plan: UpstreamRequestPlan
    ) -> bytes:
        plans.append(plan)
        return encode_head(b"POST / HTTP/1.1", ())

    monkeypatch.setattr(PlainTranslator, "upstream_request", upstream_request)
    not_stored = PartPlan(("", ""), ("", ""))
    monkeypatch.setattr(PartTier, "plan", lambda *_: not_stored)
    instance = Instance()
    for number in range(6):
        instance.add(f"near{number}", 1)
        instance.add(f"far{number}", 1, domain="z2")
    instance.evacuate("z1")
    for part in b"abcdefghij":
        loads = {f"{zone}{n}": Load(1, 9_000, 0) for zone in ZONES for n in range(1, 6)}
        instance.upstreams.loads.note_remote("other", loads, now_s())
        headers = ((SHARED_PARTS, bytes([part])),)
        _, task = instance.send(Repeatability.REPEATABLE, headers=headers)
        await task
    sources = {source for plan in plans for source in plan.fetches if source}
    assert {source[:3] for source in sources} == {"far"}


# Guards against upstreams that get full load as they come back, although they are cold.
async def test_returned_upstreams_count_as_cold_until_their_next_entry() -> None:
    instance = Instance()
    instance.upstreams.services[SERVICE] = ForwardedService(
        name=SERVICE, max_connections=100, cold_s=3.0, cold_per_s=13.0
    )
    instance.add("a", 1)
    instance.routing.on_returned = instance.upstreams.registry.note_returned
    cold = instance.upstreams.registry.limits.cold
    instance.evacuate("z1")
    assert cold.count(now_s()) == 0
    instance.evacuate("z1", is_ended=True)
    assert cold.count(now_s()) == 1
    instance.upstreams.put(record("a", sequence=1))
    assert cold.count(now_s()) == 0


# Guards against rows that a snapshot of the table brings or no longer has.
async def test_changes_of_the_known_rows_are_logged_once() -> None:
    mirror = TableMirror("op", NoFeed(), random.Random(1))
    routing = RoutingState(mirror, PlainDecoder(), "config")
    row = Item("op/evacuate/z1", 5, b"anything")
    with capture_logs() as logs:
        mirror.apply_snapshot(TableChanges(5, (row,), ()))
        mirror.apply_snapshot(TableChanges(6, (row,), ()))
        assert routing.evacuated == {"z1"}
        changed = Item("op/evacuate/z1", 7, b"{}")
        mirror.apply_changes(TableChanges(7, (changed,), ()))
        mirror.apply_snapshot(TableChanges(8, (), ()))
        assert routing.evacuated == set()
    events = [line["event"] for line in logs]
    assert events == ["failure_domain_evacuated", "failure_domain_returned"]
