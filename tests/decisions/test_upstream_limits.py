"""Requests at cold upstreams stay within the bound of any second; no network."""

import random
from collections import defaultdict

import pytest
from hypothesis import given
from hypothesis import strategies as st

from banyanswitch.decisions.stable_senders import SETTLING_S, StableSenders
from banyanswitch.decisions.token_bucket import TokenBucket
from banyanswitch.decisions.upstream_limits import ColdPolicy, limit_shares

POLICY = ColdPolicy(over=1.5, slack=5.0)
WINDOW_S = 1.0
COLD_S = 3.0
TICK_S = 0.01


# Guards against shares whose bursts and rates add up to more than the bound.
@given(
    rate_per_s=st.floats(0.1, 200.0),
    instances=st.integers(1, 400),
    over=st.floats(0.0, 3.0),
    slack=st.floats(0.0, 20.0),
)
def test_bursts_and_rates_of_all_senders_stay_below_the_bound(
    rate_per_s: float, instances: int, over: float, slack: float
) -> None:
    bound = ColdPolicy(over, slack).bound(rate_per_s)
    if bound is None:
        assert over == slack == 0.0
        return
    shares = limit_shares(rate_per_s, instances, bound)
    assert 1 <= shares.senders <= instances
    assert shares.burst >= 1.0
    most = shares.senders * int(shares.burst + shares.rate_per_s * WINDOW_S)
    assert most <= max(1.0, 0.75 * bound)


def test_without_a_bound_the_rate_alone_is_divided() -> None:
    assert ColdPolicy().bound(13.0) is None
    assert limit_shares(13.0, 75, None) == limit_shares(13.0, 75)


class Fleet:
    """Instances with more waiting requests than the cold upstreams can take."""

    def __init__(self, count: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.names = [f"10.0.0.{number}:1" for number in range(count)]
        self.senders = {name: StableSenders() for name in self.names}
        self.seen = dict.fromkeys(self.names, frozenset(self.names))
        self.arrivals: dict[str, list[float]] = defaultdict(list)

    def run(
        self, upstreams: dict[str, float], rate_per_s: float, since_s: float
    ) -> None:
        """Send from all instances while the upstreams are cold.

        Parameters
        ----------
        upstreams : dict of str to float
            Time at which each one joins; each instance reads of it up to 0.5 s later.
        """
        bound = POLICY.bound(rate_per_s)
        reads_s = {
            (name, upstream): joined_s + self.random.uniform(0.0, 0.5)
            for name in self.names
            for upstream, joined_s in upstreams.items()
        }
        buckets: dict[tuple[str, str], TokenBucket] = {}
        for tick in range(int((COLD_S + 0.5) / TICK_S)):
            now_s = since_s + tick * TICK_S
            for name in self.names:
                self.senders[name].update(self.seen[name], (), (), now_s)
                for upstream in upstreams:
                    key = (name, upstream)
                    if now_s < reads_s[key]:
                        continue
                    shares = limit_shares(rate_per_s, self.senders[name].count, bound)
                    senders = self.senders[name]
                    if not senders.is_sender(upstream, name, shares.senders, now_s):
                        continue
                    if key not in buckets:
                        buckets[key] = TokenBucket(
                            shares.rate_per_s, shares.burst, now_s
                        )
                    if buckets[key].try_spend(1.0, now_s):
                        self.arrivals[upstream].append(now_s)

    def settle(self, now_s: float) -> None:
        for name in self.names:
            self.senders[name].update(self.seen[name], (), (), now_s)

    def most_arrivals(self) -> int:
        """Return the most arrivals at one upstream in any second."""
        return max(
            sum(start_s <= at_s <= start_s + WINDOW_S for at_s in times_s)
            for times_s in self.arrivals.values()
            for start_s in times_s
        )


def domain_back(fleet: Fleet, count: int, since_s: float) -> dict[str, float]:
    return {f"u{n}": since_s + fleet.random.uniform(0.0, 0.1) for n in range(count)}


# Guards against a queue that crashes the upstreams of a domain as they come back cold.
@pytest.mark.parametrize("rate_per_s", [13.0, 22.0])
def test_failure_domain_back_cold_within_100_ms_with_the_queue_of_an_outage(
    rate_per_s: float,
) -> None:
    fleet = Fleet(75, seed=1)
    fleet.settle(0.0)
    since_s = 10.0
    fleet.run(domain_back(fleet, 25, since_s), rate_per_s, since_s)
    bound = POLICY.bound(rate_per_s)
    assert bound is not None
    assert fleet.most_arrivals() <= bound
    served = sum(map(len, fleet.arrivals.values()))
    assert served >= 0.85 * 25 * rate_per_s * COLD_S


# Guards against partitions whose instances each divide the whole limit among them.
@pytest.mark.parametrize("parts", [2, 3, 75])
def test_bound_holds_for_instances_partitioned_from_each_other(parts: int) -> None:
    fleet = Fleet(75, seed=2)
    fleet.settle(0.0)
    for number, name in enumerate(fleet.names):
        part = frozenset(fleet.names[number % parts :: parts])
        fleet.seen[name] = part
    fleet.settle(5.0)
    since_s = 10.0
    fleet.run(domain_back(fleet, 5, since_s), 13.0, since_s)
    bound = POLICY.bound(13.0)
    assert bound is not None
    assert 0 < fleet.most_arrivals() <= bound


# Guards against instances that disagree while others start and end.
def test_bound_holds_while_instances_join_and_vanish() -> None:
    fleet = Fleet(75, seed=3)
    fleet.settle(0.0)
    since_s = 10.0
    old = frozenset(fleet.names[:60])
    for number, name in enumerate(fleet.names):
        others = old if number % 2 else frozenset(fleet.names[15:])
        fleet.seen[name] = others | {name}
    fleet.run(domain_back(fleet, 10, since_s), 13.0, since_s)
    bound = POLICY.bound(13.0)
    assert bound is not None
    assert 0 < fleet.most_arrivals() <= bound


# Guards against an instance that starts in a partition and takes itself for the only
# one.
def test_new_instance_counts_those_in_its_settings() -> None:
    senders = StableSenders()
    named = [f"10.0.0.{number}:1" for number in range(2, 9)]
    senders.update(["10.0.0.1:1"], (), named, 0.0)
    assert senders.count == 8
    assert not senders.is_sender("u", "10.0.0.1:1", 8, SETTLING_S - 0.1)
    assert senders.is_sender("u", "10.0.0.1:1", 8, SETTLING_S + 0.1)


# Guards against a share that instances which have left or long ended keep for ever.
def test_instances_that_left_or_vanished_long_ago_are_no_candidates() -> None:
    senders = StableSenders()
    senders.update(["a", "b", "c"], (), (), 0.0)
    senders.update(["a", "b"], ["c"], (), 1.0)
    senders.update(["a", "b"], (), (), 2.0)
    assert senders.count == 2
    senders.update(["a"], (), (), 3.0)
    assert senders.count == 2
    senders.update(["a"], (), (), 1_000.0)
    assert senders.count == 1
