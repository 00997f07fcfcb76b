"""Predicted work of requests, without a network."""

import random
from dataclasses import replace

import pytest

from banyanswitch.decisions.cost_model import (
    HALF_LIFE_S,
    MAX_ESTIMATES,
    OBJECTIVE_SHARE,
    OUTPUT_TOKEN_S,
    PREFILL_TOKENS_PER_S,
    CostModel,
    RequestShape,
    WorkObservation,
)

PLAIN = RequestShape(service="plain", route="r", workspace="w", objective_s=0.4)
MODEL = RequestShape(
    service="model", route="r", workspace="w", output_tokens=100, is_model=True
)


def took(total_s: float, **values: float) -> WorkObservation:
    return WorkObservation(first_byte_s=total_s, total_s=total_s, **values)


def taught(shape: RequestShape, observed: WorkObservation, count: int) -> CostModel:
    model = CostModel()
    for number in range(count):
        model.observe(shape, observed, 0.1 * number)
    return model


def test_estimates_before_anything_is_learned_come_from_the_configuration() -> None:
    plain = CostModel().predict(PLAIN, 0.0)
    assert plain.run_s == pytest.approx(OBJECTIVE_SHARE * 0.4)
    model = CostModel().predict(MODEL, 0.0)
    assert model.run_s == pytest.approx(100 * OUTPUT_TOKEN_S)
    assert model.prefill_tokens_per_s == pytest.approx(PREFILL_TOKENS_PER_S)
    assert not plain.is_learned
    assert not model.is_learned


@pytest.mark.parametrize("work_s", [0.002, 0.05, 3.0])
def test_time_of_a_plain_route_is_learned(work_s: float) -> None:
    estimate = taught(PLAIN, took(work_s), 60).predict(PLAIN, 6.0)
    assert estimate.is_learned
    assert estimate.run_s == pytest.approx(work_s, rel=0.1)


def test_speeds_of_a_model_service_are_learned() -> None:
    observed = WorkObservation(first_byte_s=0.4, total_s=1.4, prefill_tokens=4_000)
    estimate = taught(MODEL, observed, 100).predict(MODEL, 10.0)
    assert estimate.prefill_tokens_per_s == pytest.approx(10_000, rel=0.1)
    assert estimate.run_s == pytest.approx(1.0, rel=0.1)
    assert estimate.work_s(5_000) == pytest.approx(1.5, rel=0.1)


# Guards against an upstream's slowness, or a queue in front of its slots, that is
# learned as the work of the requests and then counted twice.
def test_slowness_and_waiting_are_not_learned_as_work() -> None:
    observed = took(0.8, slowness=4.0, waiting_ratio=2.0)
    estimate = taught(PLAIN, observed, 60).predict(PLAIN, 6.0)
    assert estimate.run_s == pytest.approx(0.1, rel=0.1)


# Guards against one hanging request that makes a whole route look expensive.
@pytest.mark.parametrize("outlier_s", [0.0, 1e-9, 1e9])
@pytest.mark.parametrize("count", [0, 4, 60])
def test_one_outlier_changes_an_estimate_by_a_factor_of_at_most_two(
    outlier_s: float, count: int
) -> None:
    model = taught(PLAIN, took(0.1), count)
    before_s = model.predict(PLAIN, 6.0).run_s
    model.observe(replace(PLAIN, workspace=""), took(outlier_s), 6.0)
    after_s = model.predict(PLAIN, 6.0).run_s
    assert 0.49 < after_s / before_s < 2.05


# Guards against one workspace whose requests cost eight times as much and make those of
# all others look expensive.
def test_expensive_workspace_is_learned_apart_from_its_route() -> None:
    model = CostModel()
    generator = random.Random(1)
    for number in range(600):
        workspace = f"w{generator.randrange(10)}"
        work_s = 0.4 if workspace == "w0" else 0.05
        shape = replace(PLAIN, workspace=workspace)
        model.observe(shape, took(work_s), 0.01 * number)
    expensive = model.predict(replace(PLAIN, workspace="w0"), 6.0).run_s
    cheap = model.predict(replace(PLAIN, workspace="w1"), 6.0).run_s
    assert 0.25 < expensive < 0.6
    assert 0.035 < cheap < 0.08


# Guards against callers that state lengths which are wrong by a factor of four.
@pytest.mark.parametrize("factor", [0.25, 4.0])
def test_wrong_lengths_of_one_route_are_corrected(factor: float) -> None:
    model = CostModel()
    wrong = replace(MODEL, route="wrong", workspace="v")
    for number in range(400):
        at_s = 0.01 * number
        right_s = 100 * 0.01
        model.observe(MODEL, WorkObservation(first_byte_s=0, total_s=right_s), at_s)
        wrong_s = factor * right_s
        model.observe(wrong, WorkObservation(first_byte_s=0, total_s=wrong_s), at_s)
    ratio = model.predict(wrong, 4.0).run_s / model.predict(MODEL, 4.0).run_s
    assert ratio == pytest.approx(factor, rel=0.25)


def test_large_bodies_are_learned_apart_from_small_ones() -> None:
    model = CostModel()
    large = replace(PLAIN, body_bytes=4_000_000)
    for number in range(60):
        model.observe(PLAIN, took(0.01), 0.1 * number)
        model.observe(large, took(1.0), 0.1 * number)
    assert model.predict(large, 6.0).run_s > 10 * model.predict(PLAIN, 6.0).run_s


def test_old_figures_are_forgotten() -> None:
    model = taught(PLAIN, took(3.0), 60)
    estimate = model.predict(PLAIN, 6.0 + 10 * HALF_LIFE_S)
    assert not estimate.is_learned
    assert estimate.run_s == pytest.approx(OBJECTIVE_SHARE * 0.4)


# Guards against memory that grows with the names that callers and operators use.
def test_least_recently_used_estimates_are_evicted() -> None:
    model = CostModel()
    for number in range(2 * MAX_ESTIMATES):
        model.observe(replace(PLAIN, route=f"r{number}"), took(0.1), 0.0)
        for _ in range(2 * (number % 100 == 0)):
            model.observe(PLAIN, took(0.1), 0.0)
    assert len(model._estimates) <= MAX_ESTIMATES
    assert model.predict(PLAIN, 0.0).is_learned
