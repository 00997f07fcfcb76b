"""Load patterns that the decisions on links must handle."""

import random
from collections import Counter

from banyanswitch.decisions.upstream_links import (
    LinkPolicy,
    PeerLinks,
    choose_peer,
    upstreams_to_check,
    usable_upstreams,
)
from banyanswitch.identifiers import FailureDomainId, InstanceId, UpstreamId

POLICY = LinkPolicy()
NAMES = [UpstreamId(f"u{number}") for number in range(6)]


def peer(
    name: str, unreached: tuple[str, ...] = (), domain: str = "z1", in_flight: int = 0
) -> PeerLinks:
    names = [UpstreamId(upstream) for upstream in unreached]
    return PeerLinks(
        InstanceId(name), FailureDomainId(domain), f"{name}:1", names, in_flight
    )


def reached(count: int) -> dict[UpstreamId, bool]:
    return {name: number < count for number, name in enumerate(NAMES)}


# Guards against the whole load of an instance on the few upstreams that it reaches.
def test_most_links_lost_spreads_requests_over_all_upstreams() -> None:
    assert usable_upstreams(reached(2), [peer("b")], POLICY) == set(NAMES)
    assert usable_upstreams(reached(0), [peer("b")], POLICY) == set(NAMES)


# Guards against a second hop for each upstream that has crashed.
def test_few_links_lost_uses_the_others_directly() -> None:
    assert usable_upstreams(reached(5), [peer("b")], POLICY) == set(NAMES[:5])
    assert usable_upstreams(reached(3), [peer("b")], POLICY) == set(NAMES[:3])


def test_upstreams_that_no_instance_reaches_are_down() -> None:
    peers = [peer("b", ("u4", "u5")), peer("c", ("u5", "u4", "u0"))]
    assert usable_upstreams(reached(0), peers, POLICY) == set(NAMES[:4])
    assert usable_upstreams(reached(0), [peer("b", tuple(NAMES))], POLICY) == set()
    assert usable_upstreams(reached(2), [], POLICY) == set(NAMES[:2])


def test_requests_are_spread_over_the_instances_that_reach_an_upstream() -> None:
    peers = [peer("b"), peer("c"), peer("d", ("u0",)), peer("e", domain="z2")]
    generator = random.Random(1)
    chosen: Counter[str] = Counter()
    for _ in range(300):
        found = choose_peer(NAMES[0], peers, FailureDomainId("z1"), generator)
        assert found is not None
        chosen[found.instance] += 1
    assert set(chosen) == {"b", "c"}
    assert min(chosen.values()) > 100
    assert choose_peer(NAMES[0], peers[2:3], FailureDomainId("z1"), generator) is None


def test_busy_instance_gets_fewer_requests() -> None:
    peers = [peer("b", in_flight=9), peer("c", domain="z2", in_flight=1)]
    for seed in range(20):
        generator = random.Random(seed)
        found = choose_peer(NAMES[0], peers, FailureDomainId("z1"), generator)
        assert found is not None
        assert found.instance == "c"


# Guards against callers who each wait for another link that is down too.
def test_second_lost_link_lets_all_links_be_checked() -> None:
    checked_at_s = dict.fromkeys(NAMES, float("-inf")) | {NAMES[0]: 1.0}
    one = {NAMES[0]: 1.0}
    assert upstreams_to_check(one, checked_at_s, POLICY, 1.2) == []
    assert upstreams_to_check(one, checked_at_s, POLICY, 1.5) == [NAMES[0]]
    both = {NAMES[0]: 1.0, NAMES[1]: 1.2}
    assert upstreams_to_check(both, checked_at_s, POLICY, 1.2) == NAMES[1:]


def test_only_upstream_of_a_service_is_checked() -> None:
    only = {NAMES[0]: 0.0}
    assert upstreams_to_check(only, only, POLICY, 1.0) == [NAMES[0]]


def checks(cut: set[UpstreamId], found: int, duration_s: float) -> tuple[int, float]:
    """Return the checks of reached upstreams, and when all of ``cut`` were found.

    Parameters
    ----------
    found : int
        Number of unreached upstreams that requests have found at first.
    """
    names = [UpstreamId(f"u{number}") for number in range(45)]
    checked_at_s = dict.fromkeys(names, float("-inf"))
    unreached = dict.fromkeys(sorted(cut)[:found], 0.0)
    wasted, now_s, all_found_at_s = 0, 0.0, float("inf")
    while now_s < duration_s:
        for name in upstreams_to_check(unreached, checked_at_s, POLICY, now_s):
            checked_at_s[name] = now_s
            if name not in cut:
                wasted += 1
            elif name not in unreached:
                unreached[name] = now_s
        if set(unreached) == cut:
            all_found_at_s = min(all_found_at_s, now_s)
        now_s += 0.1
    return wasted, all_found_at_s


def test_crash_of_a_quarter_does_not_make_all_instances_check_all_upstreams() -> None:
    """Pattern: 12 of 45 upstreams crash for 4 s; a request finds two of them.

    Each of 195 instances opened 264 connections to the others.
    """
    cut = {UpstreamId(f"u{number}") for number in range(12)}
    wasted, _ = checks(cut, 2, 4.0)
    assert wasted <= 33


def test_instance_without_links_finds_them_down_within_two_seconds() -> None:
    cut = {UpstreamId(f"u{number}") for number in range(45)}
    wasted, all_found_at_s = checks(cut, 2, 4.0)
    assert wasted == 0
    assert all_found_at_s <= 2.0
