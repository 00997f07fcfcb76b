"""Limits of upstreams are kept by all instances together; no network."""

import asyncio
import random
from collections import Counter

import pytest

from banyanswitch.components.peers.reader_assignment import ReaderAssignment
from banyanswitch.components.upstream_limits.cold_upstreams import ColdUpstreams
from banyanswitch.components.upstream_limits.coordinator import UpstreamLimits
from banyanswitch.decisions.upstream_limits import ColdPolicy, limit_shares
from tests.components.forwarding.fakes import record
from tests.fakes.peers import FakeNetwork, FakeNode

pytestmark = pytest.mark.looptime(noop_cycles=1)
UPSTREAM = record("u")
WINDOW_S = 4.0
STABLE_S = 3.0
TOLD_S = 0.5
RESPONSE_S = 0.05
RETENTION_S = 3.0


def now_s() -> float:
    return asyncio.get_running_loop().time()


class Fleet:
    """Instances that send to one upstream, which names a limit."""

    def __init__(self, count: int, report_delay_s: float = 0.1) -> None:
        self.limit_per_s: float | None = None
        self.report_delay_s = report_delay_s
        self.arrivals: list[tuple[float, int]] = []
        self.told_at_s: dict[int, float] = {}
        self._network = FakeNetwork()
        self.instances: dict[int, UpstreamLimits] = {}
        self._peers: dict[int, FakeNode] = {}
        for number in range(count):
            self.add(number)

    def add(self, number: int) -> None:
        peer = self._peers[number] = self._network.add(number)
        cold = ColdUpstreams(ColdPolicy(), lambda _name: None)
        limits = UpstreamLimits(peer, ReaderAssignment(peer), cold=cold)
        limits.on_change = lambda: self._report_later(number)
        self.instances[number] = limits

    def remove(self, number: int) -> None:
        self._network.remove(self._peers.pop(number))
        del self.instances[number]

    def _report_later(self, number: int) -> None:
        asyncio.get_running_loop().call_later(
            self.report_delay_s, lambda: self.report(number)
        )

    def report(self, number: int) -> None:
        if number not in self.instances:
            return
        reports = self.instances[number].report(RETENTION_S)
        for other, limits in self.instances.items():
            if other != number:
                limits.apply(reports)

    def send(self, number: int) -> bool:
        limits = self.instances[number]
        if not limits.may_send(UPSTREAM, now_s()):
            return False
        limits.note_sent(UPSTREAM, now_s())
        self.arrivals.append((now_s(), number))
        sent_at_s, limit_per_s = now_s(), self.limit_per_s

        def respond() -> None:
            limits.note_response(UPSTREAM, limit_per_s, sent_at_s)
            if limit_per_s is not None:
                self.told_at_s.setdefault(number, now_s())

        asyncio.get_running_loop().call_later(RESPONSE_S, respond)
        return True

    async def async_load(
        self, requests_per_s: float, length_s: float, generator: random.Random
    ) -> int:
        """Send requests at random instances and return how many were sent."""
        ends_at_s = now_s() + length_s
        sent = 0
        reported_at_s = now_s()
        while now_s() < ends_at_s:
            await asyncio.sleep(generator.expovariate(requests_per_s))
            sent += self.send(generator.choice(sorted(self.instances)))
            if now_s() - reported_at_s > 4 * self.report_delay_s:
                reported_at_s = now_s()
                for number in sorted(self.told_at_s):
                    self.report(number)
        return sent

    def most_arrivals(self, since_s: float) -> int:
        """Return the most arrivals in a window from instances that know the limit."""
        times_s = [
            at_s
            for at_s, number in self.arrivals
            if at_s >= since_s
            and at_s >= self.told_at_s.get(number, float("inf")) + TOLD_S
        ]
        return max(
            (sum(at_s <= t < at_s + WINDOW_S for t in times_s) for at_s in times_s),
            default=0,
        )


# Guards against shares that add up to more than the limit, at any size.
@pytest.mark.parametrize(
    ("count", "report_delay_s"), [(1, 0.1), (8, 0.1), (91, 0.5), (330, 1.65)]
)
@pytest.mark.parametrize("limit_per_s", [0.0, 0.4, 2.6, 3.6, 40.0])
async def test_limit_holds_for_all_instances_together(
    count: int, report_delay_s: float, limit_per_s: float
) -> None:
    fleet = Fleet(count, report_delay_s)
    generator = random.Random(count)
    load_per_s = 20.0 + 3.0 * limit_per_s
    await fleet.async_load(load_per_s, 1.0, generator)
    fleet.limit_per_s = limit_per_s
    named_at_s = now_s()
    await fleet.async_load(load_per_s, 20.0, generator)
    allowed = 1.5 * limit_per_s * WINDOW_S + 5
    assert fleet.most_arrivals(named_at_s + STABLE_S) <= allowed
    late = [at_s for at_s, _ in fleet.arrivals if at_s >= named_at_s + STABLE_S]
    assert len(late) <= 1.1 * max(0.2, limit_per_s) * 17.0 + limit_per_s + 2


# Guards against a limit that is exceeded while its senders change.
async def test_limit_holds_while_instances_join_and_leave() -> None:
    fleet = Fleet(8)
    fleet.limit_per_s = 3.0
    generator = random.Random(1)
    await fleet.async_load(40.0, STABLE_S + 0.5, generator)
    since_s = now_s()
    for number in range(8):
        fleet.remove(number)
        await fleet.async_load(40.0, 0.7, generator)
        fleet.add(number + 8)
        await fleet.async_load(40.0, 0.7, generator)
    assert 0 < fleet.most_arrivals(since_s) <= 1.5 * 3.0 * WINDOW_S + 5


# Guards against instances that don't know a limit which only others were told.
async def test_limit_is_known_to_instances_that_sent_nothing() -> None:
    fleet = Fleet(8)
    fleet.limit_per_s = 0.5
    fleet.send(0)
    await asyncio.sleep(1.0)
    sent = [number for number in range(8) if fleet.send(number)]
    assert len(sent) <= 1


# Guards against a limit that an older response ends, and one that never ends.
async def test_limit_ends_with_a_response_to_a_later_request() -> None:
    fleet = Fleet(2)
    limits = fleet.instances[0]
    before_s = now_s()
    await asyncio.sleep(0.1)
    limits.note_response(UPSTREAM, 0.0, before_s)
    await asyncio.sleep(0.1)
    limits.note_response(UPSTREAM, None, before_s)
    assert not limits.may_send(UPSTREAM, now_s())
    limits.note_response(UPSTREAM, None, now_s())
    assert limits.may_send(UPSTREAM, now_s())
    await asyncio.sleep(0.2)
    assert fleet.instances[1].may_send(UPSTREAM, now_s())


async def test_restarted_upstream_has_no_limit() -> None:
    fleet = Fleet(1)
    limits = fleet.instances[0]
    limits.note_response(UPSTREAM, 0.5, now_s())
    assert not limits.may_send(UPSTREAM, now_s())
    assert limits.may_send(record("u", started_at_ms=2), now_s())


def test_shares_never_add_up_to_more_than_the_limit() -> None:
    generator = random.Random(1)
    senders: Counter[int] = Counter()
    for _ in range(500):
        limit_per_s = generator.uniform(0.0, 60.0)
        instances = generator.randint(1, 400)
        shares = limit_shares(limit_per_s, instances)
        senders[shares.senders] += 1
        total = shares.senders * (shares.burst + shares.rate_per_s * WINDOW_S)
        assert 1 <= shares.senders <= instances
        assert shares.burst >= 1.0
        assert total <= 1.5 * limit_per_s * WINDOW_S + 5
    assert len(senders) > 10
