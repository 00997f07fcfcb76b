"""Placement of long prompts by many deciders, without a network."""

import random
from collections import Counter

import pytest

from banyanswitch.decisions.upstream_choice import (
    UpstreamChoicePolicy,
    UpstreamChoiceRequest,
    UpstreamView,
    choose_upstream,
    home_among,
)
from banyanswitch.decisions.upstream_sample import UpstreamSample, sample_upstreams
from banyanswitch.identifiers import FailureDomainId, UpstreamId

POLICY = UpstreamChoicePolicy()
ZONE = FailureDomainId("z1")
NAMES = [UpstreamId(f"u{number}") for number in range(40)]
PROMPT_TOKENS = 17_000
PREFILL_TOKENS_PER_S = 37_900.0
ARRIVALS_PER_S = 38.0
"""Long prompts of 195 instances; 40 upstreams bear twice as many."""


def choose(
    names: list[UpstreamId], tokens: dict[UpstreamId, float], key: str
) -> UpstreamId:
    request = UpstreamChoiceRequest(
        home_key=key, failure_domain=ZONE, own_tokens=4_260, shared_tokens=12_800
    )
    views = [
        UpstreamView(name=name, failure_domain=ZONE, prefill_tokens=int(tokens[name]))
        for name in names
    ]
    chosen = choose_upstream(views, request, POLICY, home_among(key, NAMES))
    assert chosen is not None
    return chosen


def waits_s(interval_s: float, sample_size: int | None) -> list[float]:
    """Return how long each prompt waits behind the prefill of earlier ones.

    Parameters
    ----------
    interval_s : float
        Interval at which the deciders learn the load of all upstreams; 0 for figures
        that are looked up for each prompt.
    sample_size : int or None
        Number of upstreams to choose from; ``None`` for all.
    """
    generator = random.Random(1)
    queued = dict.fromkeys(NAMES, 0.0)
    known = dict(queued)
    learned_at_s = now_s = 0.0
    waits = []
    for number in range(4_000):
        pause_s = generator.expovariate(ARRIVALS_PER_S)
        now_s += pause_s
        for name in NAMES:
            queued[name] = max(0.0, queued[name] - pause_s * PREFILL_TOKENS_PER_S)
        if now_s - learned_at_s >= interval_s:
            known, learned_at_s = dict(queued), now_s
        key = f"part{generator.randrange(611)}"
        names = NAMES
        if sample_size is not None:
            home = home_among(key, NAMES)
            sample = sample_upstreams(NAMES, NAMES, home, sample_size, generator)
            names = list(sample.names)
        chosen = choose(names, known, key)
        waits.append(queued[chosen] / PREFILL_TOKENS_PER_S)
        queued[chosen] += PROMPT_TOKENS
        assert number < 4_000
    return sorted(waits)


def test_195_deciders_with_old_figures_crowd_idle_upstreams() -> None:
    """Pattern: all decide by the same figures, 1 s or 2.4 s old.

    A sample with figures of the moment makes the mean wait less than half as long.
    """
    sampled = waits_s(0.0, 4)
    for age_s in (1.0, 2.4):
        shared = waits_s(age_s, None)
        assert sum(sampled) < 0.5 * sum(shared)
        assert sampled[int(0.99 * len(sampled))] < shared[int(0.99 * len(shared))]


def test_a_sample_is_nearly_as_good_as_all_current_figures() -> None:
    sampled, all_known = waits_s(0.0, 4), waits_s(0.0, None)
    mean_s = sum(sampled) / len(sampled)
    assert mean_s - sum(all_known) / len(all_known) < 0.05


@pytest.mark.parametrize("count", [1, 4, 39])
def test_home_is_in_each_sample(count: int) -> None:
    generator = random.Random(2)
    for number in range(50):
        home = home_among(f"part{number}", NAMES)
        sample = sample_upstreams(NAMES, NAMES, home, count, generator)
        assert home in sample.names
        assert len(set(sample.names)) == len(sample.names) == count


def test_samples_cover_all_upstreams_evenly() -> None:
    generator = random.Random(3)
    counts: Counter[UpstreamId] = Counter()
    for _ in range(4_000):
        counts.update(sample_upstreams(NAMES, NAMES, None, 4, generator).names)
    assert set(counts) == set(NAMES)
    assert max(counts.values()) < 1.5 * min(counts.values())


def test_upstream_with_the_newest_weights_is_drawn() -> None:
    """Pattern: a release has reached 2 of 40 upstreams."""
    generator = random.Random(4)
    newest = NAMES[:2]
    for _ in range(50):
        sample = sample_upstreams(NAMES, newest, NAMES[20], 4, generator)
        assert set(newest) & set(sample.names)
        assert len(set(sample.names)) == 4


def test_few_upstreams_are_all_sampled() -> None:
    sample = sample_upstreams(NAMES[:3], NAMES[:1], None, 4, random.Random(5))
    assert sample.names == tuple(NAMES[:3])


def test_upstreams_of_unknown_load_are_left_out_unless_all_are() -> None:
    sample = UpstreamSample((NAMES[0], NAMES[1]), NAMES[0])
    assert sample.among({NAMES[1]}).names == (NAMES[1],)
    assert sample.among(frozenset()).names == sample.names
