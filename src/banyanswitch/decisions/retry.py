"""Decision whether a failed attempt is repeated, within a shared budget."""

import random
from dataclasses import dataclass
from enum import Enum
from typing import Final

from banyanswitch.config.models import Priority
from banyanswitch.decisions.token_bucket import TokenBucket
from banyanswitch.exceptions import RunOutcome

MAX_SHARED_ATTEMPTS: Final = 8
"""Bound on attempts where each route names its own."""

SAVED_SHARE: Final = 0.6
"""Part of the slack that may be saved up for a burst of failures."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryPolicy:
    """Settings of retries and hedges on one instance.

    Parameters
    ----------
    budget_ratio : float
        Retries allowed for each first attempt.
    budget_capacity : float
        Most retries that can be saved up.
    min_retries_per_s : float
        Retries allowed each second however few first attempts there are.
    hedge_factor : float
        A second attempt starts after this many times the expected time.
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
    """An attempt that failed before a byte of its answer reached the caller.

    Parameters
    ----------
    outcome : RunOutcome
        What is known of its execution.
    is_repeatable : bool
        Whether the request may run more than once.
    attempts : int
        Attempts so far, the failed one included.
    retry_after_s : float
        Wait that the upstream asked for, in seconds.
    deadline_s : float, optional
        Loop time by which the first token must be there.
    """

    outcome: RunOutcome
    is_repeatable: bool
    attempts: int
    retry_after_s: float = 0.0
    deadline_s: float | None = None


class GiveUpReason(Enum):
    """Why there is no further attempt."""

    MAY_HAVE_RUN = "may_have_run"
    ATTEMPTS = "attempts"
    BUDGET = "budget"
    DEADLINE = "deadline"


@dataclass(frozen=True, slots=True)
class Retry:
    """Try again after a delay, on another upstream."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller at once with the failure."""

    reason: GiveUpReason
    retry_after_s: float


class Retrier:
    """Decide on retries and hedges of one service.

    Parameters
    ----------
    generator : random.Random
        Source of the jitter.
    now_s : float
        Loop time of the start.
    """

    ATTEMPTS_EXHAUSTED: Final = 1_000_000
    """Count of attempts that is beyond the bound of every policy."""

    def __init__(
        self, policy: RetryPolicy, generator: random.Random, now_s: float
    ) -> None:
        self._policy = policy
        self._generator = generator
        self._budget = TokenBucket(
            policy.min_retries_per_s, policy.budget_capacity, now_s
        )

    def change_policy(self, policy: RetryPolicy, now_s: float) -> None:
        """Use other settings from now on; what was saved up stays within them."""
        self._policy = policy
        self._budget.change(policy.min_retries_per_s, policy.budget_capacity, now_s)

    def on_first_attempt(self, now_s: float) -> None:
        """Add the budget that a first attempt brings."""
        self._budget.add(self._policy.budget_ratio, now_s)

    def budget_left(self, now_s: float) -> float:
        """Return how many retries the budget allows now."""
        return self._budget.level(now_s)

    def decide(self, failed: FailedAttempt, now_s: float) -> Retry | GiveUp:
        """Decide on another attempt."""
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
        """Return the silence after which a second attempt pays, in seconds.

        ``None`` means never: batch work would be done twice for little, and what
        may not be repeated is never hedged.
        """
        if not is_repeatable or priority is Priority.BATCH:
            return None
        wait_s = self._policy.hedge_factor * expected_first_token_s
        return max(self._policy.hedge_min_s, wait_s)

    def try_hedge(self, now_s: float) -> bool:
        """Take the budget for one hedge."""
        return self._budget.try_spend(1.0, now_s)

    def _backoff_s(self, attempts: int) -> float:
        longest_s = self._policy.base_backoff_s * 2.0 ** (attempts - 1)
        return self._generator.uniform(0.0, min(self._policy.max_backoff_s, longest_s))

    def _give_up(self, reason: GiveUpReason, failed: FailedAttempt) -> GiveUp:
        return GiveUp(reason, max(failed.retry_after_s, self._policy.max_backoff_s))


def shared_retry_policy(
    *, ratio: float, slack: float, window_s: float, instances: int
) -> RetryPolicy:
    """Return the part of one instance in a budget that all instances share.

    Over any window an instance spends at most what it had saved, what flowed in and
    its ratio of the requests, so that the sum stays within the shared budget
    without a message.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request, by all instances.
    slack : float
        Retries allowed beside in each window, by all instances.
    window_s : float
        Length of the window, in seconds.
    """
    own_slack = slack / max(1, instances)
    return RetryPolicy(
        max_attempts=MAX_SHARED_ATTEMPTS,
        budget_ratio=ratio,
        budget_capacity=max(1.0, own_slack * SAVED_SHARE),
        min_retries_per_s=own_slack * (1.0 - SAVED_SHARE) / window_s,
    )
