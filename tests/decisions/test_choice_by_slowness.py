"""Choice of an upstream by its slowness and its predicted work, and without any."""

import random
from collections.abc import Sequence
from dataclasses import replace

import pytest
import xxhash

from banyanswitch.decisions.upstream_choice import (
    UpstreamChoicePolicy,
    UpstreamChoiceRequest,
    UpstreamView,
    choose_upstream,
    home_of,
    prefill_cost_tokens,
)
from banyanswitch.identifiers import FailureDomainId, UpstreamId

POLICY = UpstreamChoicePolicy()
ZONES = [FailureDomainId(name) for name in ("z1", "z2")]


def choice_of_219cf6e(
    views: Sequence[UpstreamView], request: UpstreamChoiceRequest
) -> UpstreamId:
    """Choose as version 219cf6e did, before slowness was known."""
    home = home_of(request.home_key, views)

    def cost(view: UpstreamView) -> float:
        total = float(view.prefill_tokens)
        is_home = view.name == home
        total += prefill_cost_tokens(view, request, POLICY, is_home=is_home)
        total += POLICY.running_request_cost_tokens * view.running_requests
        waiting = max(0, view.running_requests + 1 - view.slots)
        total += POLICY.overload_penalty_tokens * waiting / max(1, view.slots)
        own = request.own_tokens + request.shared_tokens + request.output_tokens
        needed = view.memory_tokens + own
        if view.capacity_tokens and needed > view.capacity_tokens:
            total += POLICY.overload_penalty_tokens
        if not view.has_newest_weights:
            total += POLICY.old_weights_penalty_tokens
        if view.failure_domain != request.failure_domain:
            total += POLICY.cross_domain_penalty_tokens
        return total / view.health

    def rank(view: UpstreamView) -> int:
        key = f"{len(request.home_key)}:{request.home_key}{view.name}"
        return xxhash.xxh3_64_intdigest(key.encode())

    return min(views, key=lambda view: (cost(view), rank(view))).name


def random_view(generator: random.Random, number: int) -> UpstreamView:
    pick = generator.choice
    return UpstreamView(
        name=UpstreamId(f"u{number}"),
        failure_domain=pick(ZONES),
        prefill_tokens=pick([0, 0, 383, generator.randrange(40_000)]),
        memory_tokens=pick([0, generator.randrange(90_000)]),
        running_requests=pick([0, 1, generator.randrange(90)]),
        slots=pick([0, 1, 6, 64]),
        capacity_tokens=pick([0, 74_000]),
        health=pick([1.0, 1.0, generator.uniform(0.05, 1.0)]),
        stored_tokens=pick([0, 300]),
        has_newest_weights=pick([True, True, False]),
        work_s=pick([0.0, generator.uniform(0.0, 9.0)]),
    )


def random_request(generator: random.Random) -> UpstreamChoiceRequest:
    pick = generator.choice
    return UpstreamChoiceRequest(
        home_key=pick(["", f"part{generator.randrange(40)}"]),
        failure_domain=pick(ZONES),
        own_tokens=pick([0, 82, 4_260]),
        shared_tokens=pick([300, 12_800]),
        output_tokens=pick([0, 30, 400]),
    )


# Guards against another choice than before in services that report no slowness and
# whose requests are not learned yet.
@pytest.mark.parametrize("seed", range(20))
def test_choice_is_as_before_while_nothing_is_reported_or_learned(seed: int) -> None:
    generator = random.Random(seed)
    for _ in range(300):
        count = generator.randrange(1, 12)
        views = [random_view(generator, number) for number in range(count)]
        request = random_request(generator)
        before = choice_of_219cf6e(views, request)
        assert choose_upstream(views, request, POLICY) == before


def usual(name: str, **values: object) -> UpstreamView:
    view = UpstreamView(name=UpstreamId(name), failure_domain=ZONES[0], slots=6)
    return replace(view, **values)  # type: ignore[arg-type]


PLAIN = UpstreamChoiceRequest(home_key="", failure_domain=ZONES[0])


# Guards against a choice by the number of requests alone, whatever each one takes.
@pytest.mark.parametrize(("running", "chosen"), [(3, "busy"), (5, "slow")])
def test_slow_idle_upstream_is_left_out_until_the_others_are_busier(
    running: int, chosen: str
) -> None:
    views = [usual("slow", slowness=5.0), usual("busy", running_requests=running)]
    assert choose_upstream(views, PLAIN, POLICY) == chosen


def test_queue_of_a_slow_upstream_takes_longer() -> None:
    views = [
        usual("slow", slowness=4.0, prefill_tokens=2_000),
        usual("u", prefill_tokens=6_000),
    ]
    request = replace(PLAIN, own_tokens=400)
    assert choose_upstream(views, request, POLICY) == "u"


# Guards against costs below zero, which would favour upstreams of low health.
def test_fast_idle_upstream_of_low_health_is_not_preferred() -> None:
    views = [
        usual("ill", slowness=0.25, health=0.1, running_requests=1),
        usual("fast", slowness=0.25),
    ]
    assert choose_upstream(views, PLAIN, POLICY) == "fast"


def test_upstream_slow_beyond_all_others_serves_if_it_is_alone() -> None:
    views = [usual("u", slowness=20.0, running_requests=9)]
    assert choose_upstream(views, PLAIN, POLICY) == "u"


LEARNED = replace(PLAIN, work_s=0.1)


# Guards against a choice by the number of requests when some cost far more.
def test_few_expensive_requests_count_more_than_many_cheap_ones() -> None:
    views = [
        usual("expensive", running_requests=3, work_s=2.4),
        usual("cheap", running_requests=5, work_s=0.5),
    ]
    assert choose_upstream(views, PLAIN, POLICY) == "expensive"
    assert choose_upstream(views, LEARNED, POLICY) == "cheap"


# Guards against expensive requests that are sent to slow upstreams like cheap ones.
@pytest.mark.parametrize(("work_s", "chosen"), [(0.01, "slow"), (1.0, "busy")])
def test_slowness_matters_more_to_an_expensive_request(
    work_s: float, chosen: str
) -> None:
    views = [
        usual("slow", slowness=2.0),
        usual("busy", running_requests=5, work_s=1.0),
    ]
    request = replace(PLAIN, work_s=work_s)
    assert choose_upstream(views, request, POLICY) == chosen


# Guards against instances that all send to one upstream while their figures are old.
def test_old_figures_leave_the_choice_to_a_draw() -> None:
    views = [usual(f"u{n}", running_requests=2, work_s=0.1 + n / 100) for n in range(4)]
    chosen = {
        age_s: {
            choose_upstream(
                views,
                replace(LEARNED, figures_age_s=age_s, draw_key=str(number)),
                POLICY,
            )
            for number in range(50)
        }
        for age_s in (0.0, 1.0)
    }
    assert chosen[0.0] == {"u0"}
    assert len(chosen[1.0]) == len(views)


# Guards against upstreams that look idle because earlier versions report no work.
def test_requests_of_unknown_work_count_like_the_one_to_be_placed() -> None:
    views = [
        usual("full", running_requests=9),
        usual("u", running_requests=2, work_s=0.2),
    ]
    assert choose_upstream(views, LEARNED, POLICY) == "u"
