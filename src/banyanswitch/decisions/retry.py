"""Retry decisions for failed attempts, within a shared retry budget."""

import random
from dataclasses import dataclass
from enum import Enum
from typing import Final

from banyanswitch.config.models import Priority
from banyanswitch.decisions.token_bucket import TokenBucket
from banyanswitch.exceptions import RunOutcome

MAX_SHARED_ATTEMPTS: Final = 8
"""Limit on attempts under a shared budget, in addition to the limit of each route."""

BURST_SHARE: Final = 0.6
"""Share of the slack that may accumulate for a burst of failures."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryPolicy:
    """Settings of retries and hedges on one instance.

    Parameters
    ----------
    budget_ratio : float
        Number of retries allowed per first attempt.
    budget_capacity : float
        Maximum number of retries that can accumulate.
    min_retries_per_s : float
        Retries allowed per second, independent of the number of first attempts.
    hedge_factor : float
        A hedged attempt starts after the expected time to first token multiplied by
        this factor.
    """

    max_attempts: int = 3
    budget_ratio: float = 0.1
    budget_capacity: float = 20.0
    min_retries_per_s: float = 0.5
    base_backoff_s: float = 0.02
    max_backoff_s: float = 1.0
    hedge_factor: float = 4.0
    hedge_min_s: float = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class FailedAttempt:
    """A failed attempt.

    Parameters
    ----------
    outcome : RunOutcome
        Whether the attempt ran, as far as is known.
    is_repeatable : bool
        Whether the request may be executed more than once. After bytes of the response
        have reached the caller, this holds only if its stream can be resumed.
    attempts : int
        Number of attempts so far, including the failed one.
    retry_after_s : float
        Delay requested by the upstream, in seconds.
    deadline_s : float, optional
        Loop time before which the next attempt must start, in seconds.
    """

    outcome: RunOutcome
    is_repeatable: bool
    attempts: int
    retry_after_s: float = 0.0
    deadline_s: float | None = None


class GiveUpReason(Enum):
    """Reason why no further attempt is made."""

    MAY_HAVE_RUN = "may_have_run"
    ATTEMPTS = "attempts"
    BUDGET = "budget"
    NO_UPSTREAM = "no_upstream"
    DEADLINE = "deadline"


@dataclass(frozen=True, slots=True)
class Retry:
    """Decision: make another attempt after a delay.

    The caller excludes the upstreams of the failed attempts.
    """

    delay_s: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Decision: return the failure to the caller immediately."""

    reason: GiveUpReason
    retry_after_s: float


class Retrier:
    """Decide on retries and hedged attempts of one service.

    Parameters
    ----------
    generator : random.Random
        Source of the jitter.
    now_s : float
        Loop time at which the budget starts, in seconds.
    """

    ATTEMPTS_EXHAUSTED: Final = 1_000_000
    """Attempt count that exceeds the limit of every policy."""

    def __init__(
        self, policy: RetryPolicy, generator: random.Random, now_s: float
    ) -> None:
        self._policy = policy
        self._generator = generator
        self._budget = TokenBucket(
            policy.min_retries_per_s, policy.budget_capacity, now_s
        )

    def change_policy(self, policy: RetryPolicy, now_s: float) -> None:
        """Replace the settings. The current budget is capped at the new capacity."""
        self._policy = policy
        self._budget.change(policy.min_retries_per_s, policy.budget_capacity, now_s)

    def on_first_attempt(self, now_s: float) -> None:
        """Add the retry budget earned by a first attempt."""
        self._budget.add(self._policy.budget_ratio, now_s)

    def budget_left(self, now_s: float) -> float:
        """Return the number of retries that the budget allows now."""
        return self._budget.level(now_s)

    def decide(self, failed: FailedAttempt, now_s: float) -> Retry | GiveUp:
        """Decide whether to make another attempt."""
        if failed.outcome is not RunOutcome.NOT_RUN and not failed.is_repeatable:
            return self._give_up(GiveUpReason.MAY_HAVE_RUN, failed)
        if failed.attempts >= self._policy.max_attempts:
            return self._give_up(GiveUpReason.ATTEMPTS, failed)
        delay_s = max(failed.retry_after_s, self._backoff_s(failed.attempts))
        if failed.deadline_s is not None and now_s + delay_s >= failed.deadline_s:
            return self._give_up(GiveUpReason.DEADLINE, failed)
        if not self._budget.try_spend(1.0, now_s):
            return self._give_up(GiveUpReason.BUDGET, failed)
        return Retry(delay_s)

    def hedge_after_s(
        self, expected_first_token_s: float, priority: Priority, *, is_repeatable: bool
    ) -> float | None:
        """Return the time without a first token after which to hedge, in seconds.

        ``None`` means never. Hedging batch requests would duplicate work for little
        benefit, and requests that must not run twice are never hedged.
        """
        if not is_repeatable or priority is Priority.BATCH:
            return None
        wait_s = self._policy.hedge_factor * expected_first_token_s
        return max(self._policy.hedge_min_s, wait_s)

    def try_hedge(self, now_s: float) -> bool:
        """Spend the budget of one hedged attempt, if available."""
        return self._budget.try_spend(1.0, now_s)

    def _backoff_s(self, attempts: int) -> float:
        uncapped_s = self._policy.base_backoff_s * 2.0 ** (attempts - 1)
        return self._generator.uniform(0.0, min(self._policy.max_backoff_s, uncapped_s))

    def _give_up(self, reason: GiveUpReason, failed: FailedAttempt) -> GiveUp:
        return GiveUp(reason, max(failed.retry_after_s, self._policy.max_backoff_s))


def shared_retry_policy(
    *, ratio: float, slack: float, window_s: float, instances: int
) -> RetryPolicy:
    """Return the policy of one instance under a budget shared by all instances.

    In any window, the retries of an instance are at most its accumulated budget, the
    refill of the window and ``ratio`` times its requests. The sum over the instances
    thus stays within the shared budget without communication. Each instance can always
    accumulate one retry, so the sum can exceed the budget if
    ``slack / instances * BURST_SHARE`` is below 1.

    Parameters
    ----------
    ratio : float
        Number of retries allowed per request, across all instances.
    slack : float
        Number of further retries allowed per window, across all instances.
    window_s : float
        Length of the window, in seconds.
    """
    instance_slack = slack / max(1, instances)
    return RetryPolicy(
        max_attempts=MAX_SHARED_ATTEMPTS,
        budget_ratio=ratio,
        budget_capacity=max(1.0, instance_slack * BURST_SHARE),
        min_retries_per_s=instance_slack * (1.0 - BURST_SHARE) / window_s,
    )
