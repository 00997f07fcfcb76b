"""Budgeted retries of attempts that failed."""

import asyncio
import random

from banyanswitch.components.routing.const import HEDGE_MIN_S
from banyanswitch.config.models import Priority
from banyanswitch.decisions.retry import FailedAttempt, GiveUp, Retrier, RetryPolicy
from banyanswitch.exceptions import RefusalError, RunOutcome
from banyanswitch.identifiers import ServiceName

GIVE_UP_STATUS = 502


class Retries:
    """Ask the retry decision of each service, and wait as it says.

    Parameters
    ----------
    generator : random.Random
        Source of the jitter.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._retriers: dict[ServiceName, Retrier] = {}

    def first_attempt(self, service: ServiceName) -> None:
        """Note a request's first attempt, which adds to the budget."""
        now_s = asyncio.get_running_loop().time()
        self._retrier(service, now_s).on_first_attempt(now_s)

    async def async_before_retry(
        self, service: ServiceName, failed: FailedAttempt
    ) -> None:
        """Return when the next attempt may start.

        Raises
        ------
        RefusalError
            If there is to be none.
        """
        now_s = asyncio.get_running_loop().time()
        decision = self._retrier(service, now_s).decide(failed, now_s)
        if isinstance(decision, GiveUp):
            raise _refusal(decision, failed.outcome)
        await asyncio.sleep(decision.delay_s)

    def hedge_after_s(
        self, service: ServiceName, expected_first_token_s: float, priority: Priority
    ) -> float | None:
        """Return the silence after which a repeatable request is started again."""
        now_s = asyncio.get_running_loop().time()
        return self._retrier(service, now_s).hedge_after_s(
            expected_first_token_s, priority, is_repeatable=True
        )

    def try_hedge(self, service: ServiceName) -> bool:
        """Take the budget for starting a silent request again."""
        now_s = asyncio.get_running_loop().time()
        return self._retrier(service, now_s).try_hedge(now_s)

    def _retrier(self, service: ServiceName, now_s: float) -> Retrier:
        retrier = self._retriers.get(service)
        if retrier is None:
            retrier = Retrier(
                RetryPolicy(hedge_min_s=HEDGE_MIN_S), self._generator, now_s
            )
            self._retriers[service] = retrier
        return retrier


def _refusal(decision: GiveUp, outcome: RunOutcome) -> RefusalError:
    return RefusalError(
        "upstreams_failed",
        f"no further attempt: {decision.reason.value}",
        status=GIVE_UP_STATUS,
        outcome=outcome,
        retry_after_s=decision.retry_after_s,
    )
