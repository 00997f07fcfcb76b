"""Which parts are withheld, from the ends of upstreams alone."""

import random

import pytest
from bench.quarantine import DAYS, PLAIN_DAYS, SIZES, Day, Simulation

from banyanswitch.decisions.part_quarantine import (
    Combination,
    PartKey,
    QuarantinePolicy,
    UpstreamEnd,
    combinations_to_withhold,
    may_have_caused,
    trial_due_at_s,
)
from banyanswitch.identifiers import UpstreamId

POLICY = QuarantinePolicy()
MAX_LATE_REQUESTS = 3
"""The users' bound on requests after the fifth end."""
SEEDS = range(4)


def end(at_s: float, *requests: str) -> UpstreamEnd:
    """Return an end with requests in flight, given by their one-letter parts."""
    parts = tuple(
        frozenset(PartKey("m", part) for part in request) for request in requests
    )
    return UpstreamEnd(UpstreamId(f"u{at_s}"), at_s, parts)


def withheld(ends: list[UpstreamEnd], **served_at_s: float) -> set[str]:
    times_s = {PartKey("m", part): at_s for part, at_s in served_at_s.items()}
    found = combinations_to_withhold(ends, times_s, POLICY)
    assert all(combination.model == "m" for combination in found)
    return {"".join(sorted(combination.parts)) for combination in found}


# Guards against a first part that is withheld although only the next one crashes.
def test_parts_served_meanwhile_are_not_withheld() -> None:
    ends = [end(1.0, "ax"), end(2.0, "ax", "b"), end(3.0, "ax")]
    assert withheld(ends, a=2.5) == {"x"}
    assert withheld(ends, a=2.5, x=2.9) == set()


# Guards against a sound first part that is withheld because it was only seen with the
# crashing one.
def test_parts_that_nothing_tells_apart_are_withheld_together() -> None:
    assert withheld([end(1.0, "ax"), end(2.0, "ax"), end(3.0, "ax")]) == {"ax"}
    ends = [end(1.0, "ax"), end(2.0, "ax"), end(3.0, "ax"), end(4.0, "ay")]
    assert withheld(ends) == {"a"}


# Guards against blame for requests that were in flight beside the crashing part.
def test_ends_explained_by_one_part_count_for_no_other() -> None:
    ends = [end(n + 0.0, "ax", "b") for n in range(3)] + [end(3.0, "cx")]
    assert withheld(ends) == {"x"}


# Guards against a guess between parts of different requests.
def test_undecided_parts_wait_for_one_more_end() -> None:
    ends = [end(n + 0.0, "x", "y") for n in range(3)]
    assert withheld(ends) == set()
    assert withheld([*ends, end(4.0, "x")]) == {"x"}
    assert withheld([*ends, end(4.0, "x", "y")]) == {"x", "y"}


# Guards against blame when a share of a service ends at once.
def test_upstreams_that_end_together_count_once() -> None:
    assert withheld([end(1.0 + 0.01 * n, "x") for n in range(8)]) == set()
    assert withheld([end(1.0 + 0.2 * n, "x") for n in range(5)]) == {"x"}


def content(at_s: float, *names: str) -> UpstreamEnd:
    """Return an end with requests in flight, given by their contents."""
    requests = tuple(frozenset({PartKey("", f"content:{name}")}) for name in names)
    return UpstreamEnd(UpstreamId(f"u{at_s}"), at_s, requests)


def withheld_contents(ends: list[UpstreamEnd], **served_at_s: float) -> set[str]:
    times_s = {
        PartKey("", f"content:{name}"): at_s for name, at_s in served_at_s.items()
    }
    found = combinations_to_withhold(ends, times_s, POLICY)
    return {part.removeprefix("content:") for key in found for part in key.parts}


# Guards against one request that ends all upstreams of a service within 0.3 s, again
# each time that they have started.
def test_request_is_withheld_after_three_ends_at_once() -> None:
    ends = [content(1.0 + 0.1 * n, "bad", f"s{n}") for n in range(3)]
    assert withheld_contents(ends[:2]) == set()
    assert withheld_contents(ends) == {"bad"}


# Guards against popular requests withheld when upstreams end for other reasons.
def test_request_that_is_served_meanwhile_is_not_withheld() -> None:
    ends = [content(1.0 + n, "a", "bad") for n in range(3)]
    assert withheld_contents(ends, a=1.5) == {"bad"}
    assert withheld_contents(ends, a=1.5, bad=2.5) == set()


# Guards against a popular request withheld for seconds since it was in flight at each
# upstream of a small service that another request ended.
def test_request_that_was_served_before_is_blamed_last() -> None:
    ends = [content(1.0 + 0.1 * n, "a", "bad") for n in range(3)]
    assert withheld_contents(ends, a=0.9) == {"bad"}
    assert withheld_contents([*ends, content(1.4, "a")], a=0.9) == {"bad"}
    assert withheld_contents(ends, a=0.9, bad=0.1) == {"bad"}
    assert withheld_contents([content(n + 1.0, "a") for n in range(3)], a=0.9) == {"a"}


# Guards against a crashing request that is sent on as another one was beside it.
def test_requests_that_nothing_tells_apart_are_withheld_each() -> None:
    assert withheld_contents([content(1.0 + n, "a", "b") for n in range(3)]) == {
        "a",
        "b",
    }


# Guards against other prompts withheld since one request with their part comes again.
def test_part_of_one_request_that_comes_again_is_withheld_with_its_content() -> None:
    request = frozenset({PartKey("m", "x"), PartKey("m", "content:c")})
    ends = [UpstreamEnd(UpstreamId(f"u{n}"), n + 0.0, (request,)) for n in range(3)]
    found = combinations_to_withhold(ends, {}, POLICY)
    assert set(found) == {Combination("m", frozenset({"x", "content:c"}))}


def test_two_crashing_parts_are_both_withheld() -> None:
    ends = [end(n + 0.0, "ax" if n % 2 else "ay") for n in range(7)]
    assert withheld(ends, a=8.0) == {"x", "y"}


def test_request_that_was_answered_for_long_is_no_cause() -> None:
    assert may_have_caused(None, POLICY)
    assert may_have_caused(0.1, POLICY)
    assert not may_have_caused(1.5, POLICY)


def test_trials_become_rare() -> None:
    delays_s = [trial_due_at_s(0.0, trials, POLICY) for trials in range(6)]
    assert delays_s == [8.0, 32.0, 128.0, 512.0, 2048.0, 3600.0]


# Guards against more requests than allowed, and against sound requests withheld.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("day", (*DAYS, *PLAIN_DAYS), ids=lambda day: day.name)
def test_bounds_hold_on_drawn_days(day: Day, seed: int) -> None:
    result = Simulation(SIZES[0], day, random.Random(seed)).run()
    assert result.late_bad_requests <= MAX_LATE_REQUESTS
    assert result.sound_withheld <= 0.01 * result.sound_requests
    if not day.is_plain or day.bad_per_s:
        assert (result.combinations > 0) == (day.bad_per_s > 0)


def test_combination_needs_all_its_parts() -> None:
    ends = [end(n + 0.0, "ax") for n in range(3)]
    found = combinations_to_withhold(ends, {}, POLICY)
    assert found == {Combination("m", frozenset("ax")): 0.0}
