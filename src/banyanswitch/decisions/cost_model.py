"""Predicted work of requests, learned from the times that earlier ones took."""

import math
from collections import OrderedDict
from dataclasses import dataclass

PREFILL_TOKENS_PER_S = 37_500.0
"""Prefill speed of a model service before any is learned; the choice of an upstream
counts 40 ms for 1,500 tokens."""
OUTPUT_TOKEN_S = 0.02
"""Time per output token of a model service before any is learned."""
OBJECTIVE_SHARE = 0.25
"""Share of a route's latency objective that a request of a plain service is assumed to
take before any is learned."""
MIN_PREFILL_TOKENS = 500
"""Prompt tokens from which a first byte shows the prefill speed; with fewer, most of
the time is spent on the connection and the first engine step."""
MIN_OBSERVATIONS = 3.0
"""Number of observations from which an estimate counts as learned."""
MAX_STEP_RATIO = 4.0
MAX_WEIGHT = 0.5
EARLY_OBSERVATIONS = 4.0
MIN_WEIGHT = 0.05
"""A single observation counts as at most 4 times above or below the estimate, and
weighs at most one half: it changes the estimate by a factor of at most 2. The first
ones weigh most, so that an estimate leaves an assumption that is wrong by a factor of
50 within ten observations."""
MIN_ROUTE_OBSERVATIONS = 10.0
"""Observations of a route from which its workspaces are compared with it; before, the
route's own estimate still changes."""
SHRINKAGE = 4.0
"""Observations of a workspace after which half of its deviation from its route
counts."""
HALF_LIFE_S = 60.0
"""Time without observations after which an estimate counts half as many of them."""
MAX_ESTIMATES = 4_000
"""Number of estimates that are kept; at about 250 bytes each, they take 1 MB."""
BODY_CLASS_BITS = 14
"""Bodies below 16 KiB share a class; each further class is twice as large."""
MIN_TIME_S = 1e-6

Key = tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestShape:
    """Properties of a request that its work depends on.

    Parameters
    ----------
    workspace : str
        Empty for none.
    output_tokens : int
        Maximum number of tokens to generate, as the caller states it.
    objective_s : float
        Latency objective of its route, in seconds.
    is_model : bool
        Whether it runs on a model engine.
    """

    service: str
    route: str
    workspace: str = ""
    output_tokens: int = 0
    body_bytes: int = 0
    objective_s: float = 0.0
    is_model: bool = False


@dataclass(frozen=True, slots=True)
class WorkEstimate:
    """Predicted work of a request at an upstream that runs at its usual speed.

    Parameters
    ----------
    run_s : float
        Work without the prefill, in seconds.
    prefill_tokens_per_s : float
        Prompt tokens that the upstream prefills per second.
    is_learned : bool
        Whether the prediction comes from observations.
    """

    run_s: float
    prefill_tokens_per_s: float
    is_learned: bool

    def work_s(self, prefill_tokens: float) -> float:
        """Return the whole work with a prefill of so many tokens, in seconds."""
        return self.run_s + prefill_tokens / self.prefill_tokens_per_s


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkObservation:
    """Times of a request that was served.

    Parameters
    ----------
    first_byte_s : float
        Time from sending the request to the first byte of the response's body.
    total_s : float
        Time from sending the request to the end of the response.
    prefill_tokens : float
        Prompt tokens of the request and of those ahead of it, whose prefill the first
        byte waited for.
    slowness : float
        Slowness of the upstream in that time.
    waiting_ratio : float
        Requests at the upstream relative to its slots, at least 1.
    """

    first_byte_s: float
    total_s: float
    prefill_tokens: float = 0.0
    slowness: float = 1.0
    waiting_ratio: float = 1.0


@dataclass(slots=True)
class _Estimate:
    """Geometric mean of recent observations, and how many of them still count."""

    log_value: float
    count: float
    at_s: float

    def age_to(self, now_s: float) -> None:
        elapsed_s = now_s - self.at_s
        if elapsed_s > 0.0:
            self.count *= 0.5 ** (elapsed_s / HALF_LIFE_S)
            self.at_s = now_s

    def add(self, value: float, now_s: float) -> None:
        self.age_to(now_s)
        early = EARLY_OBSERVATIONS
        weight = min(MAX_WEIGHT, max(MIN_WEIGHT, early / (early + self.count)))
        bound = math.log(MAX_STEP_RATIO)
        change = math.log(max(MIN_TIME_S, value)) - self.log_value
        self.log_value += weight * min(bound, max(-bound, change))
        self.count += 1.0


class CostModel:
    """Predict the work of requests, and learn from how long they took.

    A model service has a prefill speed and a time per stated output token, and each of
    its routes a factor on the latter. A plain service has a time for each route and
    class of body sizes. A workspace has a factor on that of its route, which counts the
    more it has been observed. Estimates that are no longer observed fade.
    """

    def __init__(self) -> None:
        self._estimates: OrderedDict[Key, _Estimate] = OrderedDict()

    def predict(self, shape: RequestShape, now_s: float) -> WorkEstimate:
        """Return the predicted work of a request."""
        prefill_s = self._value(_prefill_key(shape), 1.0 / PREFILL_TOKENS_PER_S, now_s)
        unit_s = self._unit_s(shape, now_s)
        route = self._estimates.get(_route_key(shape))
        if route is None:
            return WorkEstimate(unit_s * _prior(shape), 1.0 / prefill_s, False)
        route.age_to(now_s)
        run_s = unit_s * math.exp(route.log_value + self._deviation(shape, now_s))
        is_learned = route.count >= MIN_OBSERVATIONS
        if not is_learned:
            run_s = unit_s * _prior(shape)
        return WorkEstimate(run_s, 1.0 / prefill_s, is_learned)

    def observe(
        self, shape: RequestShape, observed: WorkObservation, now_s: float
    ) -> None:
        """Learn from a request that was served."""
        scale = max(MIN_TIME_S, observed.slowness * observed.waiting_ratio)
        if not shape.is_model:
            self._learn_run(shape, observed.total_s / scale, now_s)
            return
        prefill_s = observed.first_byte_s / max(MIN_TIME_S, observed.slowness)
        if observed.prefill_tokens >= MIN_PREFILL_TOKENS:
            sample = prefill_s / observed.prefill_tokens
            prior = 1.0 / PREFILL_TOKENS_PER_S
            self._add(_prefill_key(shape), sample, prior, now_s)
        if shape.output_tokens > 0:
            run_s = (observed.total_s - observed.first_byte_s) / observed.slowness
            token_s = run_s / shape.output_tokens
            self._add(_token_key(shape), token_s, OUTPUT_TOKEN_S, now_s)
            self._learn_run(shape, run_s, now_s)

    def _learn_run(self, shape: RequestShape, run_s: float, now_s: float) -> None:
        value = run_s / self._unit_s(shape, now_s)
        route = self._add(_route_key(shape), value, _prior(shape), now_s)
        if shape.workspace and route.count >= MIN_ROUTE_OBSERVATIONS:
            ratio = value / math.exp(route.log_value)
            self._add(_workspace_key(shape), ratio, 1.0, now_s)

    def _deviation(self, shape: RequestShape, now_s: float) -> float:
        """Return the logarithm of a workspace's factor on the work of its route."""
        known = self._estimates.get(_workspace_key(shape))
        if known is None:
            return 0.0
        known.age_to(now_s)
        return known.log_value * known.count / (known.count + SHRINKAGE)

    def _unit_s(self, shape: RequestShape, now_s: float) -> float:
        """Return the time that the factors of a service's routes refer to."""
        if not shape.is_model:
            return 1.0
        token_s = self._value(_token_key(shape), OUTPUT_TOKEN_S, now_s)
        return max(1, shape.output_tokens) * token_s

    def _value(self, key: Key, prior: float, now_s: float) -> float:
        known = self._estimates.get(key)
        if known is None:
            return prior
        known.age_to(now_s)
        return math.exp(known.log_value) if known.count >= MIN_OBSERVATIONS else prior

    def _add(self, key: Key, value: float, prior: float, now_s: float) -> _Estimate:
        known = self._estimates.get(key)
        if known is None:
            known = self._estimates[key] = _Estimate(math.log(prior), 0.0, now_s)
            if len(self._estimates) > MAX_ESTIMATES:
                self._estimates.popitem(last=False)
        self._estimates.move_to_end(key)
        known.add(value, now_s)
        return known


def _prior(shape: RequestShape) -> float:
    """Return the assumed factor, or time of a plain service, of a route."""
    if shape.is_model:
        return 1.0
    return max(MIN_TIME_S, OBJECTIVE_SHARE * shape.objective_s)


def _prefill_key(shape: RequestShape) -> Key:
    return ("prefill", shape.service)


def _token_key(shape: RequestShape) -> Key:
    return ("token", shape.service)


def _route_key(shape: RequestShape) -> Key:
    body_class = (max(0, shape.body_bytes) >> BODY_CLASS_BITS).bit_length()
    return ("route", shape.service, shape.route, str(body_class))


def _workspace_key(shape: RequestShape) -> Key:
    return ("workspace", shape.service, shape.route, shape.workspace)
