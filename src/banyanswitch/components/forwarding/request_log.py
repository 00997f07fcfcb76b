"""Log lines on the handling of requests."""

import asyncio

import structlog

from banyanswitch.components.forwarding.placement import PlacementResult
from banyanswitch.components.forwarding.request_context import RequestContext
from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.core import callback
from banyanswitch.decisions.retry import GiveUp, Retry
from banyanswitch.exceptions import UpstreamError, UpstreamFailureError
from banyanswitch.identifiers import UpstreamId

LOGGER = structlog.get_logger(__name__)


class RequestLog:
    """Log lines that name a request, its route and the active configuration."""

    def __init__(self, routing: RoutingState) -> None:
        self._routing = routing

    @callback
    def placed(self, context: RequestContext, placed: PlacementResult) -> None:
        """Log the placement of a request."""
        cost = placed.cost
        superseded_for_s = placed.superseded_for_s
        if superseded_for_s is not None:
            superseded_for_s = round(superseded_for_s, 3)
        self.event(
            context,
            "request_placed",
            must_wait=placed.must_wait,
            superseded_for_s=superseded_for_s,
            time_left_s=round(placed.plan.time_left_s, 3),
            entry_age_s=round(placed.entry_age_s, 3),
            candidates=placed.candidates,
            running_requests=placed.running_requests,
            queued_tokens=placed.queued_tokens,
            held_tokens=placed.held_tokens,
            prefill_tokens=placed.in_flight.prefill_tokens,
            shared_part=placed.home_key,
            stored_tokens=placed.stored_tokens,
            unstored_tokens=placed.unstored_tokens,
            saves=sum(map(bool, placed.plan.saves)),
            weights=placed.plan.expected_weights,
            software_version=placed.record.software_version,
            resumes=_text(context.metadata.resumes),
            load_age_s=_rounded(placed.load_age_s),
            work_s=_rounded(cost.work_s),
            is_work_learned=cost.estimate.is_learned,
            work_ahead_s=_rounded(cost.work_ahead_s),
            slowness=round(cost.slowness, 2),
            slowness_age_s=_rounded(cost.slowness_age_s),
        )

    @callback
    def failed(
        self,
        context: RequestContext,
        name: UpstreamId,
        error: UpstreamError,
        decision: Retry | GiveUp,
    ) -> None:
        """Log a failed attempt and what follows."""
        outcome = decision.reason.value if isinstance(decision, GiveUp) else "retry"
        self.event(
            context,
            "attempt_failed",
            upstream=name,
            reason=str(error),
            decision=outcome,
            is_failure_status=isinstance(error, UpstreamFailureError),
            response_age_s=context.progress.age_s(asyncio.get_running_loop().time()),
            **context.content.log_values(),
        )

    @callback
    def event(self, context: RequestContext, event: str, **values: object) -> None:
        """Log an event of a request; ``upstream`` is the last one by default."""
        values.setdefault("upstream", context.last_upstream)
        configuration = self._routing.configuration
        LOGGER.info(
            event,
            request=context.metadata.attempt.decode("latin-1"),
            route=context.route.name,
            attempts=context.sent,
            configuration=configuration.version if configuration else None,
            **values,
        )


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")


def _rounded(duration_s: float | None) -> float | None:
    return None if duration_s is None else round(duration_s, 4)
