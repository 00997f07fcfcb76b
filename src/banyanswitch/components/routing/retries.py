"""Retries of failed attempts within a retry budget."""

import asyncio
import random

from banyanswitch.components.routing.const import HEDGE_MIN_S
from banyanswitch.config.models import Priority
from banyanswitch.decisions.retry import FailedAttempt, GiveUp, Retrier, RetryPolicy
from banyanswitch.exceptions import RefusalError, RunOutcome
from banyanswitch.identifiers import ServiceName

BAD_GATEWAY_STATUS = 502


class ServiceRetriers:
    """Apply the retry decisions of each service.

    Parameters
    ----------
    generator : random.Random
        Source of the jitter.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._retriers: dict[ServiceName, Retrier] = {}

    def note_first_attempt(self, service: ServiceName) -> None:
        """Record the first attempt of a request, which adds to the retry budget."""
        now_s = asyncio.get_running_loop().time()
        self._retrier(service, now_s).on_first_attempt(now_s)

    async def async_wait_for_retry(
        self, service: ServiceName, failed: FailedAttempt
    ) -> None:
        """Wait until the next attempt may start.

        Raises
        ------
        RefusalError
            If no further attempt is allowed.
        """
        now_s = asyncio.get_running_loop().time()
        decision = self._retrier(service, now_s).decide(failed, now_s)
        if isinstance(decision, GiveUp):
            raise _refusal(decision, failed.outcome)
        await asyncio.sleep(decision.delay_s)

    def hedge_after_s(
        self, service: ServiceName, expected_first_token_s: float, priority: Priority
    ) -> float | None:
        """Return the time without a first token after which to hedge, in seconds.

        The request must be repeatable. ``None`` means never to hedge.
        """
        now_s = asyncio.get_running_loop().time()
        return self._retrier(service, now_s).hedge_after_s(
            expected_first_token_s, priority, is_repeatable=True
        )

    def try_hedge(self, service: ServiceName) -> bool:
        """Spend the retry budget of one hedged attempt, if available."""
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
        status=BAD_GATEWAY_STATUS,
        outcome=outcome,
        retry_after_s=decision.retry_after_s,
    )
