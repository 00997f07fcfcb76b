"""Predicted work of the requests that are placed, and what it turned out to be."""

from dataclasses import dataclass, replace

from banyanswitch.components.forwarding.metrics import ForwardingMetrics
from banyanswitch.components.forwarding.models import (
    ForwardedService,
    ForwardedWorkspace,
    RequestMetadata,
    Route,
    UpstreamRecord,
)
from banyanswitch.components.upstream_slowness.coordinator import UpstreamSlowness
from banyanswitch.core import callback
from banyanswitch.decisions.cost_model import (
    CostModel,
    RequestShape,
    WorkEstimate,
    WorkObservation,
)
from banyanswitch.decisions.upstream_choice import UpstreamChoiceRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacedCost:
    """Predicted work of a placed request, and the state of its upstream at that time.

    Parameters
    ----------
    work_s : float
        Work of the request at the usual speed, in seconds.
    work_ahead_s : float
        Work in flight at the upstream, in seconds.
    prefill_tokens : float
        Prompt tokens whose prefill precedes the first byte.
    slowness : float
        Slowness that was expected of the upstream; 1.0 is as usual.
    slowness_age_s : float or None
        Age of its last report; ``None`` without one.
    is_whole : bool
        Whether the upstream runs all of the request, not the rest of a stream.
    """

    shape: RequestShape
    estimate: WorkEstimate
    work_s: float
    work_ahead_s: float = 0.0
    prefill_tokens: float = 0.0
    slowness: float = 1.0
    slowness_age_s: float | None = None
    running_requests: int = 0
    is_whole: bool = True


class RequestCosts:
    """Predict the work of requests, and learn from those that were served.

    Parameters
    ----------
    model : CostModel
        Predicts and learns.
    slowness : UpstreamSlowness
        Slowness of the upstreams, by which times are corrected.
    metrics : ForwardingMetrics
        Takes what was expected and how far it was right.
    """

    def __init__(
        self, model: CostModel, slowness: UpstreamSlowness, metrics: ForwardingMetrics
    ) -> None:
        self._model = model
        self._slowness = slowness
        self._metrics = metrics

    @callback
    def shape(
        self,
        metadata: RequestMetadata,
        route: Route,
        workspace: ForwardedWorkspace | None,
        service: ForwardedService,
        body_bytes: int,
    ) -> RequestShape:
        """Return the properties of a request that its work depends on."""
        return RequestShape(
            service=service.name,
            route=route.name,
            workspace=workspace.name if workspace else "",
            output_tokens=metadata.output_tokens,
            body_bytes=body_bytes,
            objective_s=route.target_latency_s,
            is_model=service.engine is not None,
        )

    @callback
    def estimate(self, shape: RequestShape, now_s: float) -> WorkEstimate:
        """Return the predicted work of a request."""
        return self._model.predict(shape, now_s)

    @callback
    def note_placed(self, cost: PlacedCost) -> None:
        """Record by which slowness a request is sent."""
        self._metrics.observe_slowness(
            cost.shape.service, cost.slowness, cost.slowness_age_s
        )

    @callback
    def note_served(
        self,
        record: UpstreamRecord,
        cost: PlacedCost,
        *,
        sent_at_s: float,
        began_at_s: float,
        now_s: float,
    ) -> None:
        """Learn from a request that has just been served.

        Parameters
        ----------
        sent_at_s, began_at_s : float
            Loop times at which it was sent and at which the body of its response began.
        """
        if not cost.is_whole:
            return
        # The upstream's speed changes within the request; the response has just
        # reported it.
        slowness = (cost.slowness + self._slowness.slowness(record.name, now_s)) / 2.0
        waiting_ratio = max(1.0, (cost.running_requests + 1) / max(1, record.slots))
        total_s = now_s - sent_at_s
        observed = WorkObservation(
            first_byte_s=began_at_s - sent_at_s,
            total_s=total_s,
            prefill_tokens=cost.prefill_tokens,
            slowness=slowness,
            waiting_ratio=waiting_ratio,
        )
        self._model.observe(cost.shape, observed, now_s)
        expected_s = cost.estimate.work_s(cost.prefill_tokens)
        if not cost.shape.is_model:
            expected_s *= waiting_ratio
        ratio = total_s / (slowness * expected_s)
        self._metrics.observe_work_ratio(cost.shape.service, ratio)


def with_work(
    choice: UpstreamChoiceRequest,
    estimate: WorkEstimate,
    figures_age_s: float | None,
    attempt: bytes,
) -> UpstreamChoiceRequest:
    """Return the choice's request with its learned work.

    Parameters
    ----------
    figures_age_s : float or None
        Age of what is known of the other instances' work; ``None`` if nothing is known.
    """
    return replace(
        choice,
        work_s=estimate.run_s,
        tokens_per_s=estimate.prefill_tokens_per_s,
        figures_age_s=figures_age_s or 0.0,
        draw_key=attempt.decode("latin-1"),
    )
