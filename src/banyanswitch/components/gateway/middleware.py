"""Middleware that converts exceptions of handlers to problem documents."""

import asyncio

import structlog
from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from banyanswitch.components.gateway.problems import problem_response
from banyanswitch.components.gateway.request_tracker import CODE_LEAVING
from banyanswitch.components.metrics.const import Counter, Timing
from banyanswitch.components.metrics.recorder import MetricRecorder
from banyanswitch.components.routing.const import RETRY_AFTER_S
from banyanswitch.exceptions import RefusalError, RunOutcome

LOGGER = structlog.get_logger(__name__)


def problem_middleware(metrics: MetricRecorder) -> Middleware:
    """Return the middleware, which also records request and refusal metrics."""

    @web.middleware
    async def async_handle(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        metrics.count(Counter.REQUESTS)
        try:
            return await handler(request)
        except RefusalError as refusal:
            metrics.count(_refusal_counter(refusal))
            response = problem_response(refusal)
            if refusal.code == CODE_LEAVING:
                response.force_close()
            return response
        except web.HTTPException as error:
            return problem_response(
                RefusalError("http_error", error.reason, status=error.status)
            )
        except Exception:
            LOGGER.exception("handler_failed", path=request.path)
            return problem_response(_internal_error())
        finally:
            metrics.observe(Timing.REQUEST, loop.time() - started_at_s)

    return async_handle


def _refusal_counter(refusal: RefusalError) -> Counter:
    if refusal.outcome is RunOutcome.UNKNOWN:
        return Counter.CALLS_UNKNOWN
    return Counter.REFUSALS


def _internal_error() -> RefusalError:
    return RefusalError(
        "internal_error",
        "the request failed in this instance",
        status=500,
        outcome=RunOutcome.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
    )
