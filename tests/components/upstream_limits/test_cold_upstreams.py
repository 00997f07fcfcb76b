"""Limits of upstreams while they are cold; no network."""

import asyncio

import pytest
from structlog.testing import capture_logs

from banyanswitch.components.forwarding.models import ForwardedService
from banyanswitch.components.peers.reader_assignment import ReaderAssignment
from banyanswitch.components.upstream_limits.cold_upstreams import ColdUpstreams
from banyanswitch.components.upstream_limits.coordinator import UpstreamLimits
from banyanswitch.decisions.stable_senders import SETTLING_S
from banyanswitch.decisions.upstream_limits import ColdPolicy
from tests.components.forwarding.fakes import SERVICE, Upstreams, record
from tests.components.lease.conftest import FixedPeers, make_peer

pytestmark = pytest.mark.looptime(noop_cycles=1)
COLD_PER_S = 13.0
COLD_SERVICE = ForwardedService(
    name=SERVICE, max_connections=100, cold_s=3.0, cold_per_s=COLD_PER_S
)
BOUND = 24.5
COLD = record("u", cold_remaining_s=3.0)


def now_s() -> float:
    return asyncio.get_running_loop().time()


async def async_settled(
    service: ForwardedService | None = COLD_SERVICE, *, is_leaving: bool = False
) -> UpstreamLimits:
    """Return the limits at an instance that has run for some time."""
    peers = FixedPeers(make_peer("a", is_leaving), [])
    cold = ColdUpstreams(ColdPolicy(1.5, 5.0), lambda _name: service)
    limits = UpstreamLimits(peers, ReaderAssignment(peers), cold=cold)
    limits.report(3.0)
    await asyncio.sleep(SETTLING_S + 0.1)
    limits.report(3.0)
    return limits


async def async_send_all(limits: UpstreamLimits, length_s: float) -> list[float]:
    """Send as often as allowed, and return the times."""
    sent_s = []
    ends_at_s = now_s() + length_s
    while now_s() < ends_at_s:
        while limits.may_send(COLD, now_s()) and len(sent_s) < 10_000:
            limits.note_sent(COLD, now_s())
            sent_s.append(now_s())
        await asyncio.sleep(0.01)
    return sent_s


# Guards against the load of a warm upstream at a cold one, and a state that never ends.
async def test_cold_upstream_gets_its_cold_rate_until_its_time_has_passed() -> None:
    limits = await async_settled()
    limits.cold.note_entry(COLD, now_s())
    sent_s = await async_send_all(limits, 2.9)
    most = max(sum(a <= b <= a + 1.0 for b in sent_s) for a in sent_s)
    assert most <= BOUND
    assert len(sent_s) >= 0.85 * COLD_PER_S * 2.9
    await asyncio.sleep(0.2)
    assert limits.cold.count(now_s()) == 0
    assert len(await async_send_all(limits, 0.01)) == 10_000


# Guards against an upstream that stays limited although its entry says that it is warm.
async def test_entry_ends_the_cold_state_and_each_change_is_logged() -> None:
    limits = await async_settled()
    with capture_logs() as logs:
        limits.cold.note_entry(COLD, now_s())
        limits.cold.note_entry(COLD, now_s())
        assert not limits.may_send(COLD, now_s())
        limits.cold.note_entry(record("u"), now_s())
        assert limits.may_send(COLD, now_s())
        limits.cold.note_entry(COLD, now_s())
        await asyncio.sleep(3.1)
        limits.report(3.0)
    events = [line["event"] for line in logs]
    assert events == ["upstream_cold", "upstream_warm"] * 2


@pytest.mark.parametrize(
    "service",
    [
        None,
        ForwardedService(name=SERVICE, max_connections=100, cold_per_s=13.0),
        ForwardedService(name=SERVICE, max_connections=100, cold_s=3.0),
    ],
)
async def test_upstream_of_a_service_without_cold_values_is_never_cold(
    service: ForwardedService | None,
) -> None:
    limits = await async_settled(service)
    with capture_logs() as logs:
        limits.cold.note_entry(COLD, now_s())
    assert limits.may_send(COLD, now_s())
    assert limits.cold.count(now_s()) == 0
    assert logs == []


# Guards against a named limit that is exceeded since the upstream is cold too.
async def test_lower_one_of_named_and_cold_limit_applies() -> None:
    limits = await async_settled()
    limits.cold.note_entry(COLD, now_s())
    limits.note_response(COLD, 2.0, now_s())
    assert 0 < len(await async_send_all(limits, 2.9)) <= 2.0 * 2.9 + 2


# Guards against an instance that just began, which may not know the others yet.
async def test_new_or_leaving_instance_sends_nothing_to_cold_upstreams() -> None:
    for limits in (Upstreams().registry.limits, await async_settled(is_leaving=True)):
        limits.cold._service_of = lambda _name: COLD_SERVICE
        limits.cold.note_entry(COLD, now_s())
        assert limits.wait_s(COLD, now_s()) == float("inf")


# Guards against cold values that are decoded but reach no limit.
async def test_entry_of_the_table_makes_an_upstream_cold() -> None:
    upstreams = Upstreams()
    upstreams.services[SERVICE] = COLD_SERVICE
    upstreams.put(COLD)
    assert upstreams.registry.limits.cold.limit(COLD, now_s()) is not None
    restarted = record("u", started_at_ms=2, cold_remaining_s=1.0)
    upstreams.put(restarted)
    assert upstreams.registry.limits.cold.limit(restarted, now_s()) is not None
    assert upstreams.registry.limits.cold.count(now_s()) == 1
    upstreams.put(record("u", started_at_ms=2, sequence=1))
    assert upstreams.registry.limits.cold.limit(restarted, now_s()) is None
    upstreams.put(record("u", started_at_ms=3, cold_remaining_s=1.0))
    upstreams.remove("u")
    await asyncio.sleep(0.1)
    upstreams.registry.remove_expired(now_s() + 60.0)
    assert upstreams.registry.limits.cold.count(now_s()) == 0
