"""Choice of an upstream under different loads, without a network."""

import random
from collections import Counter
from dataclasses import replace

import pytest

from banyanswitch.decisions.upstream_choice import (
    UpstreamChoicePolicy,
    UpstreamChoiceRequest,
    UpstreamView,
    choose_upstream,
    home_of,
    is_overloaded,
    must_wait,
)
from banyanswitch.identifiers import FailureDomainId, UpstreamId

POLICY = UpstreamChoicePolicy()
ZONE = FailureDomainId("z1")


def view(name: str, **values: object) -> UpstreamView:
    base = UpstreamView(
        name=UpstreamId(name),
        failure_domain=ZONE,
        slots=64,
        capacity_tokens=74_000,
    )
    return replace(base, **values)  # type: ignore[arg-type]


def long_prompt(part: str, shared_tokens: int = 12_800) -> UpstreamChoiceRequest:
    return UpstreamChoiceRequest(
        home_key=part,
        failure_domain=ZONE,
        own_tokens=4_260,
        shared_tokens=shared_tokens,
        output_tokens=30,
    )


def test_no_upstream_is_chosen_from_an_empty_list() -> None:
    assert choose_upstream([], long_prompt("a"), POLICY) is None


def test_idle_upstreams_receive_shared_prompts_at_their_home() -> None:
    views = [view(f"u{number}") for number in range(6)]
    for number in range(50):
        request = long_prompt(f"part{number}")
        assert choose_upstream(views, request, POLICY) == home_of(
            request.home_key, views
        )


def test_homes_are_spread_and_move_only_with_their_upstream() -> None:
    views = [view(f"u{number}") for number in range(6)]
    keys = [f"part{number}" for number in range(600)]
    homes = {key: home_of(key, views) for key in keys}
    counts = Counter(homes.values())
    assert max(counts.values()) < 2 * min(counts.values())
    left = views[1:]
    moved = [key for key in keys if home_of(key, left) != homes[key]]
    assert all(homes[key] == views[0].name for key in moved)


def test_hot_part_of_34000_tokens_overflows_from_its_full_home() -> None:
    """One part is requested far more often than all others."""
    views = {
        f"u{number}": view(f"u{number}", stored_tokens=34_000) for number in range(6)
    }
    request = long_prompt("hot", 34_000)
    counts: Counter[str] = Counter()
    for _ in range(12):
        name = choose_upstream(list(views.values()), request, POLICY)
        assert name is not None
        counts[name] += 1
        known = views[name]
        views[name] = replace(
            known,
            prefill_tokens=known.prefill_tokens + 10_000,
            memory_tokens=known.memory_tokens + 38_000,
            running_requests=known.running_requests + 1,
        )
    assert max(counts.values()) <= 3
    assert len(counts) == 6


def test_a_burst_of_short_prompts_is_spread_over_all_upstreams() -> None:
    views = {f"u{number}": view(f"u{number}") for number in range(6)}
    generator = random.Random(1)
    for _ in range(300):
        request = UpstreamChoiceRequest(
            home_key=f"part{generator.randrange(40)}",
            failure_domain=ZONE,
            own_tokens=82,
            shared_tokens=301,
            output_tokens=11,
        )
        name = choose_upstream(list(views.values()), request, POLICY)
        assert name is not None
        known = views[name]
        views[name] = replace(
            known,
            prefill_tokens=known.prefill_tokens + 383,
            running_requests=known.running_requests + 1,
        )
    counts = [known.running_requests for known in views.values()]
    assert max(counts) <= 1.3 * min(counts)


def test_short_prompts_avoid_upstream_prefilling_a_long_one() -> None:
    views = [view("u0", prefill_tokens=17_000), view("u1")]
    request = UpstreamChoiceRequest(
        home_key="x", failure_domain=ZONE, own_tokens=82, shared_tokens=301
    )
    assert choose_upstream(views, request, POLICY) == "u1"


def test_prompt_that_would_cause_preemption_goes_where_it_fits() -> None:
    views = [
        view("u0", memory_tokens=60_000),
        view("u1", prefill_tokens=9_000, memory_tokens=30_000),
    ]
    assert choose_upstream(views, long_prompt("a"), POLICY) == "u1"


@pytest.mark.parametrize(("queued_tokens", "chosen"), [(4_000, "new"), (30_000, "old")])
def test_old_weights_are_used_only_to_avoid_a_long_queue(
    queued_tokens: int, chosen: str
) -> None:
    views = [
        view("new", prefill_tokens=queued_tokens),
        view("old", has_newest_weights=False),
    ]
    request = replace(long_prompt("a"), home_key="")
    assert choose_upstream(views, request, POLICY) == chosen


def test_load_stays_even_after_losing_a_third_of_the_upstreams() -> None:
    """The remaining upstreams share the load evenly, regardless of the homes."""
    views = {f"u{number}": view(f"u{number}") for number in range(4)}
    for number in range(40):
        name = choose_upstream(
            list(views.values()), long_prompt(f"part{number}"), POLICY
        )
        assert name is not None
        known = views[name]
        views[name] = replace(
            known,
            prefill_tokens=known.prefill_tokens + 6_800,
            running_requests=known.running_requests + 1,
        )
    counts = [known.running_requests for known in views.values()]
    assert max(counts) - min(counts) <= 3


def test_a_plain_service_takes_the_free_upstream() -> None:
    views = [
        view("u0", slots=6, capacity_tokens=0, running_requests=6),
        view("u1", slots=6, capacity_tokens=0, running_requests=5),
    ]
    request = UpstreamChoiceRequest(home_key="", failure_domain=ZONE)
    assert choose_upstream(views, request, POLICY) == "u1"


def test_recovering_upstream_receives_reduced_load() -> None:
    views = [view("u0", health=0.1), view("u1", running_requests=2)]
    request = UpstreamChoiceRequest(home_key="", failure_domain=ZONE, own_tokens=400)
    assert choose_upstream(views, request, POLICY) == "u1"


def test_upstream_with_stored_prefix_is_preferred() -> None:
    views = [view("cold"), view("warm", prefill_tokens=3_000, stored_tokens=12_800)]
    assert choose_upstream(views, long_prompt("a"), POLICY) == "warm"


def test_large_prefills_wait_for_a_long_queue_and_short_ones_do_not() -> None:
    """Uncached long prompts arrive faster than the few engines can prefill them."""
    busy = view("u0", prefill_tokens=17_000)
    short = UpstreamChoiceRequest(
        home_key="x", failure_domain=ZONE, own_tokens=82, shared_tokens=301
    )
    assert must_wait(busy, long_prompt("a"), POLICY)
    assert not must_wait(busy, short, POLICY)
    assert not must_wait(view("u0"), long_prompt("a"), POLICY)


def test_large_prefill_waits_for_memory_unless_engine_is_empty() -> None:
    assert must_wait(view("u0", memory_tokens=60_000), long_prompt("a"), POLICY)
    assert not must_wait(view("u0"), long_prompt("a", 90_000), POLICY)


@pytest.mark.parametrize(
    ("load", "expected"),
    [
        ({}, False),
        ({"prefill_tokens": 30_000, "memory_tokens": 60_000}, False),
        ({"prefill_tokens": 33_000, "memory_tokens": 60_000}, True),
        ({"prefill_tokens": 9_000, "memory_tokens": 73_000}, False),
        ({"prefill_tokens": 9_000, "memory_tokens": 80_000}, True),
        ({"prefill_tokens": 60_000, "memory_tokens": 140_000}, True),
    ],
)
def test_overload_is_a_long_queue_or_memory_far_beyond_the_capacity(
    load: dict[str, int], expected: bool
) -> None:
    assert is_overloaded(view("u", **load), long_prompt("a"), POLICY) == expected


def test_a_prompt_larger_than_the_memory_can_start_at_an_idle_upstream() -> None:
    request = long_prompt("a", shared_tokens=100_000)
    assert not is_overloaded(view("u"), request, POLICY)


def test_short_prompts_are_never_refused_for_overload() -> None:
    request = UpstreamChoiceRequest(home_key="", failure_domain=ZONE, own_tokens=400)
    loaded = view("u", prefill_tokens=90_000, memory_tokens=200_000)
    assert not is_overloaded(loaded, request, POLICY)


def served_in_time(has_limit: bool, arrivals_per_s: float) -> float:
    """Return the share of long prompts with their first event within 1 s.

    Six upstreams each start a prompt every 0.45 s; each prompt waits up to 2.5 s at the
    instance, and its caller leaves 4.8 s after its arrival.
    """
    generator = random.Random(1)
    free_at_s = [0.0] * 6
    now_s = 0.0
    waiting: list[float] = []
    sent: list[list[float]] = [[] for _ in free_at_s]
    in_time = total = 0
    next_at_s = generator.expovariate(arrivals_per_s)
    while now_s < 60.0:
        now_s += 0.01
        while next_at_s <= now_s:
            waiting.append(next_at_s)
            total += 1
            next_at_s += generator.expovariate(arrivals_per_s)
        for number, queue in enumerate(sent):
            while queue and now_s >= free_at_s[number]:
                came_at_s = queue.pop(0)
                free_at_s[number] = now_s
                if now_s - came_at_s < 4.8:
                    free_at_s[number] = now_s + 0.45
                    in_time += now_s + 0.45 - came_at_s <= 1.0
        for came_at_s in sorted(waiting, key=lambda at_s: (now_s - at_s > 0.5, at_s)):
            in_flight = [
                len(queue) + (now_s < free_s)
                for queue, free_s in zip(sent, free_at_s, strict=True)
            ]
            number = min(range(6), key=in_flight.__getitem__)
            tokens = 17_000 * in_flight[number]
            known = view("u", prefill_tokens=tokens, memory_tokens=tokens)
            has_waited = now_s - came_at_s > 2.5
            request = long_prompt("a")
            if not must_wait(known, request, POLICY):
                sent[number].append(came_at_s)
                waiting.remove(came_at_s)
            elif has_waited:
                others = any(now_s - at_s < 0.5 for at_s in waiting)
                is_refused = others or is_overloaded(known, request, POLICY)
                if not has_limit or not is_refused:
                    sent[number].append(came_at_s)
                waiting.remove(came_at_s)
    return in_time / total


@pytest.mark.parametrize("load", [1.5, 2.0, 3.0])
def test_more_than_the_capacity_of_long_prompts_serves_what_can_be_in_time(
    load: float,
) -> None:
    """Pattern: up to three times the capacity with long prompts and little memory.

    Prompts that were sent to overloaded upstreams after their wait left them busy with
    work for callers who had waited too long: 0.05, 0.03 and 0.02 were in time.
    """
    most = 1.0 / load
    assert served_in_time(True, load * 6 / 0.45) >= 0.85 * most
    assert served_in_time(False, load * 6 / 0.45) < 0.1


def test_limit_costs_nothing_below_the_capacity() -> None:
    arrivals_per_s = 0.6 * 6 / 0.45
    assert served_in_time(True, arrivals_per_s) >= served_in_time(False, arrivals_per_s)
