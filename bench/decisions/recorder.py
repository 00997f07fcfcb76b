"""Outcomes of the requests and the metrics computed from them."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from bench.decisions.workload import Request

SHORT_TARGET_S = 0.54
LONG_TARGET_S = 60.0
REFUSAL_TARGET_S = 0.010


@dataclass(slots=True)
class Outcome:
    """Outcome of one request.

    Parameters
    ----------
    known_pieces : int
        Leading pieces that were computed before with the same weight version.
    cached_pieces : int
        Leading pieces that needed no prefill.
    refused_after_s : float, optional
        Time from arrival to the refusal, in seconds.
    """

    request: Request
    first_token_s: float | None = None
    known_pieces: int = 0
    cached_pieces: int = 0
    refused_after_s: float | None = None
    has_failed: bool = False
    attempts: int = 0

    @property
    def first_token_at_s(self) -> float:
        """Time of the first token, infinite if there was none."""
        if self.first_token_s is None:
            return math.inf
        return self.request.at_s + self.first_token_s


@dataclass(frozen=True, slots=True)
class Latency:
    """Percentiles of the time to first token, in seconds.

    Parameters
    ----------
    share_in_target : float
        Share of the requests with a first token that met the target.
    """

    p50_s: float
    p95_s: float
    p99_s: float
    share_in_target: float


@dataclass(frozen=True, slots=True)
class RequestMetrics:
    """Metrics of the requests of a run or a window.

    Parameters
    ----------
    returning : Latency
        Latency of long prompts that were sent before.
    recomputed_share : float
        Share of the known pieces of returning prompts that were computed again.
    refused_after_wait : int
        Refusals later than `REFUSAL_TARGET_S` after the arrival.
    """

    requests: int
    short: Latency
    long: Latency
    returning: Latency
    recomputed_share: float
    refused: int
    refused_short: int
    failed: int
    refused_after_wait: int
    refusal_delay_p99_s: float
    goodput_share: float
    retries: int


class Recorder:
    """Outcomes in order of arrival."""

    def __init__(self) -> None:
        self.outcomes: list[Outcome] = []

    def start(self, request: Request) -> Outcome:
        """Record the arrival of a request."""
        outcome = Outcome(request)
        self.outcomes.append(outcome)
        return outcome

    def metrics(
        self, from_s: float, until_s: float, capacity_tokens_per_s: float
    ) -> RequestMetrics:
        """Return the metrics of the requests that arrived in a window.

        Goodput is the prefill work of requests whose first token came in the window and
        met the target of the request, as a share of the capacity in the window. Cached
        pieces are not counted as work.

        Parameters
        ----------
        capacity_tokens_per_s : float
            Total prefill rate of all upstreams.
        """
        outcomes = [
            item for item in self.outcomes if from_s <= item.request.at_s < until_s
        ]
        short = [item for item in outcomes if not item.request.is_long]
        long = [item for item in outcomes if item.request.is_long]
        returning = [item for item in long if item.request.turn > 0]
        known = sum(item.known_pieces for item in returning)
        recomputed = sum(
            max(0, item.known_pieces - item.cached_pieces) for item in returning
        )
        refused = [item for item in outcomes if item.refused_after_s is not None]
        delays = sorted(item.refused_after_s or 0.0 for item in refused)
        served = (
            item for item in self.outcomes if from_s <= item.first_token_at_s < until_s
        )
        good_tokens = sum(_good_tokens(item) for item in served)
        return RequestMetrics(
            requests=len(outcomes),
            short=_latency(short, SHORT_TARGET_S),
            long=_latency(long, LONG_TARGET_S),
            returning=_latency(returning, LONG_TARGET_S),
            recomputed_share=recomputed / known if known else 0.0,
            refused=len(refused),
            refused_short=sum(not item.request.is_long for item in refused),
            failed=sum(item.has_failed for item in outcomes),
            refused_after_wait=sum(delay > REFUSAL_TARGET_S for delay in delays),
            refusal_delay_p99_s=_quantile(delays, 0.99),
            goodput_share=good_tokens / (capacity_tokens_per_s * (until_s - from_s)),
            retries=sum(max(0, item.attempts - 1) for item in outcomes),
        )


def _good_tokens(outcome: Outcome) -> float:
    if outcome.first_token_s is None:
        return 0.0
    request = outcome.request
    target_s = LONG_TARGET_S if request.is_long else SHORT_TARGET_S
    if outcome.first_token_s > target_s:
        return 0.0
    piece_tokens = request.prompt_tokens / max(1, request.pieces)
    return request.prompt_tokens - outcome.cached_pieces * min(4_000.0, piece_tokens)


def _latency(outcomes: Sequence[Outcome], target_s: float) -> Latency:
    times = sorted(
        item.first_token_s for item in outcomes if item.first_token_s is not None
    )
    in_target = sum(time_s <= target_s for time_s in times)
    return Latency(
        p50_s=_quantile(times, 0.50),
        p95_s=_quantile(times, 0.95),
        p99_s=_quantile(times, 0.99),
        share_in_target=in_target / len(times) if times else 1.0,
    )


def _quantile(ordered: Sequence[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]
