import random

from hypothesis import given, settings
from hypothesis import strategies as st

from banyanswitch.config.models import Priority
from banyanswitch.decisions.ejection import EjectionPolicy, Ejector
from banyanswitch.decisions.retry import (
    FailedAttempt,
    GiveUp,
    GiveUpReason,
    Retrier,
    Retry,
    RetryPolicy,
)
from banyanswitch.exceptions import RunOutcome
from banyanswitch.identifiers import UpstreamId

ATTEMPTS = st.builds(
    FailedAttempt,
    outcome=st.sampled_from(RunOutcome),
    is_repeatable=st.booleans(),
    attempts=st.integers(1, 4),
    retry_after_s=st.floats(0, 3),
    deadline_s=st.one_of(st.none(), st.floats(0, 30)),
)


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.tuples(ATTEMPTS, st.floats(0, 1)), max_size=40))
def test_non_repeatable_requests_are_not_retried_and_budget_is_kept(
    failures: list[tuple[FailedAttempt, float]],
) -> None:
    policy = RetryPolicy(budget_capacity=4.0)
    retrier = Retrier(policy, random.Random(1), 0.0)
    now_s = 0.0
    retries = 0
    for failed, elapsed_s in failures:
        now_s += elapsed_s
        retrier.on_first_attempt(now_s)
        answer = retrier.decide(failed, now_s)
        assert retrier.budget_left(now_s) >= 0.0
        if isinstance(answer, GiveUp):
            assert answer.retry_after_s > 0
            continue
        retries += 1
        assert failed.outcome is RunOutcome.NOT_RUN or failed.is_repeatable
        assert failed.attempts < policy.max_attempts
        assert answer.delay_s >= failed.retry_after_s
        assert failed.deadline_s is None or now_s + answer.delay_s < failed.deadline_s
    earned = policy.budget_ratio * len(failures) + policy.min_retries_per_s * now_s
    assert retries <= policy.budget_capacity + earned + 1e-9


def test_total_outage_causes_no_retry_storm() -> None:
    policy = RetryPolicy()
    retrier = Retrier(policy, random.Random(1), 0.0)
    failed = FailedAttempt(
        outcome=RunOutcome.NOT_RUN, is_repeatable=True, attempts=1, deadline_s=1e9
    )
    answers = []
    for step in range(5_000):
        now_s = step / 500
        retrier.on_first_attempt(now_s)
        answers.append(retrier.decide(failed, now_s))
    retries = sum(isinstance(answer, Retry) for answer in answers)
    assert retries <= 0.12 * len(answers)
    last = answers[-1]
    reasons = {answer.reason for answer in answers if isinstance(answer, GiveUp)}
    assert last is not None and reasons == {GiveUpReason.BUDGET}


def test_only_repeatable_interactive_requests_are_hedged() -> None:
    retrier = Retrier(RetryPolicy(), random.Random(1), 0.0)
    interactive, batch = Priority.INTERACTIVE, Priority.BATCH
    assert retrier.hedge_after_s(0.1, interactive, is_repeatable=True) == 0.4
    assert retrier.hedge_after_s(0.1, interactive, is_repeatable=False) is None
    assert retrier.hedge_after_s(0.1, batch, is_repeatable=True) is None


def test_failing_upstream_is_ejected_and_ramps_up_again() -> None:
    policy = EjectionPolicy(jitter_share=0.0)
    ejector = Ejector(policy, random.Random(5))
    name = UpstreamId("u")
    for _ in range(2):
        ejector.on_failure(name, 0.0)
    assert ejector.weight(name, 0.0) == 1.0
    ejector.on_failure(name, 0.0)
    weights = [ejector.weight(name, at_s) for at_s in (1.9, 2.0, 7.0, 12.0)]
    assert weights == [0.0, 0.1, 0.55, 1.0]
    ejector.on_failure(name, 3.0)
    assert ejector.weight(name, 6.9) == 0.0
    assert ejector.returning() == (name,)
    ejector.on_success(name, 20.0)
    assert ejector.returning() == ()
    ejector.on_failure(name, 20.0)
    assert ejector.weight(name, 20.0) == 1.0
