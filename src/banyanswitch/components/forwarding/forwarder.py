"""Handling of callers' requests from admission to the response."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import structlog

from banyanswitch.components.forwarding.attempt import Attempt
from banyanswitch.components.forwarding.const import (
    BUSY_RETRY_AFTER_S,
    EVACUATED_RETRY_AFTER_S,
    MAX_LIMIT_RETRY_AFTER_S,
    MAX_UNSENT_ATTEMPTS,
    MIN_TIME_LEFT_S,
    OVERLOAD_RETRY_AFTER_S,
    RETRY_BUDGET_SHARE,
    UNAVAILABLE_RETRY_AFTER_S,
    UNCONFIGURED_RETRY_AFTER_S,
)
from banyanswitch.components.forwarding.event_stream import EventSplitter
from banyanswitch.components.forwarding.metrics import ForwardingMetrics
from banyanswitch.components.forwarding.models import (
    ForwardedService,
    Repeatability,
    RequestMetadata,
    Route,
)
from banyanswitch.components.forwarding.placement import (
    Placement,
    PlacementResult,
)
from banyanswitch.components.forwarding.protocols import (
    LoadSource,
    PartGuard,
    RequestAdmission,
    RequestTranslator,
    ServiceVersions,
    StreamOrigins,
)
from banyanswitch.components.forwarding.queued_placement import QueuedPlacement
from banyanswitch.components.forwarding.refusals import (
    DECLINE_REASONS,
    STATUS_BAD_GATEWAY,
    STATUS_NOT_FOUND,
    STATUS_TIMEOUT,
    STATUS_UNAUTHORIZED,
    STATUS_UNAVAILABLE,
    Refusal,
    RefusalReason,
    jittered_retry_after_s,
)
from banyanswitch.components.forwarding.request_content import RequestContent
from banyanswitch.components.forwarding.request_context import RequestContext
from banyanswitch.components.forwarding.request_costs import RequestCosts
from banyanswitch.components.forwarding.request_log import RequestLog
from banyanswitch.components.forwarding.response_notes import ResponseNotes
from banyanswitch.components.forwarding.response_relay import (
    FIRST_CLIENT_ERROR_STATUS,
    ResponseProgress,
)
from banyanswitch.components.forwarding.routing_state import (
    RoutingState,
    pick_service,
)
from banyanswitch.components.forwarding.start_limits import StartLimits
from banyanswitch.components.forwarding.upstream_registry import UpstreamRegistry
from banyanswitch.components.forwarding.wait_queue import WaitQueue
from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.http1.models import Request
from banyanswitch.components.http1.reply import Reply
from banyanswitch.components.peer_forwarding.client import PeerForwarder
from banyanswitch.components.upstream_links.coordinator import UpstreamLinks
from banyanswitch.decisions.retry import (
    FailedAttempt,
    GiveUp,
    GiveUpReason,
    Retrier,
    Retry,
    shared_retry_policy,
)
from banyanswitch.decisions.stream_resumption import (
    OriginSearch,
    StreamOrigin,
    origin_of_resumed_stream,
)
from banyanswitch.exceptions import (
    NotRunError,
    RunOutcome,
    StartTimeoutError,
    UpstreamBrokenError,
    UpstreamError,
    UpstreamFailureError,
    UpstreamNotSentError,
)
from banyanswitch.identifiers import ServiceName, UpstreamId

SOUND_ERROR_STATUSES = frozenset(
    {400, 401, 403, 404, 405, 406, 409, 410, 411, 412, 422}
)
"""Errors with which an upstream answers a request that it has run."""

LOGGER = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryBudget:
    """Retry budget that the platform sets for all instances together.

    It limits the attempts that reach a service beyond the first one of each request.
    """

    ratio: float
    slack: float
    window_s: float


class Forwarder:
    """Forward callers' requests to upstreams.

    Parameters
    ----------
    instance_count : callable
        Returns the number of instances that share the retry budget.
    admission : RequestAdmission
        Tells which requests this instance still accepts while it is stopping.
    origins : StreamOrigins
        Origins of the streams that callers take up again.
    versions : ServiceVersions
        Software versions, for streams without a known origin.
    parts : PartGuard
        Prompt parts and requests that must not be sent.
    links : UpstreamLinks
        Links of this instance to the upstreams.
    costs : RequestCosts
        Learns the work of requests.
    peer_forwarder : PeerForwarder
        Passes requests on through instances that reach their upstream.
    load_source : LoadSource
        Loads of the upstreams in a large fleet.
    on_replaced : callable
        Called with an upstream when another upstream responded at its address.
    """

    def __init__(
        self,
        *,
        translator: RequestTranslator,
        notes: ResponseNotes,
        routing: RoutingState,
        placement: Placement,
        registry: UpstreamRegistry,
        start_limits: StartLimits,
        pool: ConnectionPool,
        metrics: ForwardingMetrics,
        retry_budget: RetryBudget,
        instance_count: Callable[[], int],
        admission: RequestAdmission,
        generator: random.Random,
        wait_queue: WaitQueue,
        origins: StreamOrigins,
        versions: ServiceVersions,
        parts: PartGuard,
        links: UpstreamLinks,
        costs: RequestCosts,
        peer_forwarder: PeerForwarder,
        load_source: LoadSource,
        on_replaced: Callable[[UpstreamId], None],
    ) -> None:
        self._translator = translator
        self._notes = notes
        self._routing = routing
        self._placement = placement
        self._registry = registry
        self._start_limits = start_limits
        self._pool = pool
        self._metrics = metrics
        self._retry_budget = retry_budget
        self._instance_count = instance_count
        self._admission = admission
        self._random = generator
        self._retriers: dict[ServiceName, tuple[int, Retrier]] = {}
        self._queued = QueuedPlacement(
            placement=placement,
            wait_queue=wait_queue,
            parts=parts,
            load_source=load_source,
            generator=generator,
        )
        self._origins = origins
        self._versions = versions
        self._parts = parts
        self._links = links
        self._costs = costs
        self._peer_forwarder = peer_forwarder
        self._on_replaced = on_replaced
        self._log = RequestLog(routing)
        self._loop = asyncio.get_running_loop()

    async def async_handle(
        self, request: Request, reply: Reply, *, earlier_attempts: int | None = None
    ) -> None:
        """Handle one request.

        Parameters
        ----------
        earlier_attempts : int or None
            Attempts at the instance that passed the request on; ``None`` if a caller
            sent it here.
        """
        metadata = self._translator.read_request_metadata(request)
        reply.request_id = metadata.attempt.decode("latin-1")
        found = self._admit(request, metadata, reply)
        if isinstance(found, Refusal):
            self._refuse(request, metadata, reply, found)
            return
        if earlier_attempts is not None:
            found.earlier_attempts = found.sent = earlier_attempts
            found.is_counted = earlier_attempts > 0
        try:
            async with asyncio.timeout_at(found.ends_at_s):
                refusal = await self._async_find_origin(found)
                if refusal is not None:
                    self._refuse(request, metadata, reply, refusal, found)
                    return
                await self._async_serve(found)
        except TimeoutError:
            self._end_timed_out(found)
        except asyncio.CancelledError:
            if reply.is_awaited:
                self._end_stopped(found)
            else:
                self._note_left(found)
            raise

    def _admit(
        self, request: Request, metadata: RequestMetadata, reply: Reply
    ) -> RequestContext | Refusal:
        if self._routing.configuration is None:
            wait_s = UNCONFIGURED_RETRY_AFTER_S
            return Refusal(STATUS_UNAVAILABLE, RefusalReason.UNCONFIGURED, wait_s)
        route = self._routing.route(metadata.host, request.path.decode("latin-1"))
        if route is None:
            return Refusal(STATUS_NOT_FOUND, RefusalReason.NO_ROUTE)
        workspace = self._routing.workspace(metadata.key)
        if workspace is None and self._routing.has_workspaces and not route.is_public:
            return Refusal(STATUS_UNAUTHORIZED, RefusalReason.UNKNOWN_KEY)
        service = self._service(route, metadata)
        if isinstance(service, Refusal):
            return service
        limit_s = route.timeout_s
        if metadata.time_left_s is not None:
            limit_s = min(limit_s, metadata.time_left_s)
        ends_at_s = request.received_at_s + limit_s
        left_s = ends_at_s - self._loop.time()
        if not self._admission.accepts(left_s, is_call_once=route.is_call_once):
            return Refusal(STATUS_UNAVAILABLE, RefusalReason.LEAVING, 0.0)
        return RequestContext(
            request=request,
            metadata=metadata,
            content=RequestContent(
                request, metadata, workspace.name if workspace else None
            ),
            reply=reply,
            route=route,
            workspace=workspace,
            service=service,
            ends_at_s=ends_at_s,
            progress=ResponseProgress(EventSplitter(_resumed_after(metadata, route))),
        )

    def _service(
        self, route: Route, metadata: RequestMetadata
    ) -> ForwardedService | Refusal:
        """Return a service of the route that can serve the request."""
        service = self._placement.service_of(pick_service(route, self._random))
        if service is None:
            wait_s = UNAVAILABLE_RETRY_AFTER_S
            return Refusal(STATUS_UNAVAILABLE, RefusalReason.NO_UPSTREAM, wait_s)
        if _exceeds_memory(metadata, service):
            return Refusal(STATUS_UNAVAILABLE, RefusalReason.TOO_LARGE)
        return service

    async def _async_find_origin(self, context: RequestContext) -> Refusal | None:
        """Bind a stream that its caller takes up again to the version that began it.

        Returns
        -------
        refusal : Refusal or None
            Refusal of a stream whose version can't be known.
        """
        metadata, route = context.metadata, context.route
        if _resumed_after(metadata, route) is None:
            return None
        search = OriginSearch()
        if metadata.resumes is not None:
            search = await self._origins.async_find(metadata.resumes)
        services = {share.service for share in route.shares}
        if search.origin is None and not await self._versions.async_confirm(services):
            search = OriginSearch(is_complete=False)
        versions = {name: self._versions.possible(name) for name in services}
        origin = origin_of_resumed_stream(search, services, versions)
        service = self._placement.service_of(origin.service) if origin else None
        self._log.event(
            context,
            "stream_taken_up",
            resumes=_text(metadata.resumes),
            last_event=_text(metadata.last_event),
            is_noted=search.origin is not None,
            is_search_complete=search.is_complete,
            service=origin.service if origin else None,
            software_version=origin.software_version if origin else None,
        )
        if origin is None or service is None:
            wait_s = UNAVAILABLE_RETRY_AFTER_S
            return Refusal(STATUS_UNAVAILABLE, RefusalReason.UNKNOWN_VERSION, wait_s)
        context.origin, context.service = origin, service
        if metadata.resumes is not None:
            self._origins.note(metadata.resumes, origin)
        return None

    def _note_first_events(
        self, context: RequestContext, placed: PlacementResult
    ) -> None:
        """Bind a stream to the version that brings its first events."""
        if context.origin is not None:
            return
        context.origin = StreamOrigin(
            context.service.name, placed.record.software_version
        )
        if context.route.repeatability is Repeatability.RESUMABLE_STREAM:
            self._origins.note(context.metadata.attempt, context.origin)

    async def _async_serve(self, context: RequestContext) -> None:
        context.tried_parts = await self._parts.async_try(context.content)
        while True:
            placed = await self._queued.async_place(context)
            if placed is None:
                self._refuse_unplaced(context, self._loop.time())
                return
            if context.reply.has_caller_left:
                self._note_left(context)
                context.reply.abort()
                return
            context.last_upstream = placed.record.name
            if not placed.is_direct or self._prefers_peer(context):
                if await self._async_pass_on(context, placed):
                    return
                continue
            self._placement.commit(placed)
            self._log.placed(context, placed)
            self._metrics.observe_load_age(placed.load_age_s)
            if placed.has_avoided_cold:
                self._metrics.count_avoided_cold(context.service.name)
            self._costs.note_placed(placed.cost)
            self._count_request(context)
            attempt = Attempt(
                request=context.request,
                metadata=context.metadata,
                route=context.route,
                reply=context.reply,
                progress=context.progress,
                translator=self._translator,
                pool=self._pool,
                registry=self._registry,
                start_limits=self._start_limits,
                notes=self._notes,
                on_first_events=partial(self._note_first_events, context, placed),
            )
            context.sent += 1
            is_last = not self._may_repeat(context)
            try:
                await attempt.async_run(placed, is_last=is_last)
            except UpstreamError as error:
                self._note_broken(context, placed, attempt, error)
                if not await self._async_prepare_retry(context, placed, error):
                    return
                continue
            self._note_served(context, placed, attempt)
            return

    def _prefers_peer(self, context: RequestContext) -> bool:
        """Return whether too many links failed for one more attempt over another."""
        if context.unsent < MAX_UNSENT_ATTEMPTS - 1:
            return False
        return context.earlier_attempts is None and self._links.has_peer()

    async def _async_pass_on(
        self, context: RequestContext, placed: PlacementResult
    ) -> bool:
        """Let an instance that reaches the upstream handle a request.

        Returns
        -------
        is_done : bool
            Whether the request has its response; otherwise no upstream received it.
        """
        passing_on = self._peer_forwarder.async_serve(
            context, placed.record.name, earlier_attempts=context.sent
        )
        # Counted before it is sent, since its outcome is unknown if it is cancelled.
        context.sent += 1
        try:
            instance, status = await passing_on
        except UpstreamNotSentError as error:
            context.sent -= 1
            return not self._prepare_retry_unsent(context, placed, error)
        except (NotRunError, UpstreamBrokenError) as error:
            context.may_have_run |= isinstance(error, UpstreamBrokenError)
            self._log.event(context, "passed_on_request_failed", reason=str(error))
            self._give_up(context, error)
            return True
        self._metrics.count_passed_on(context.service.name)
        self._metrics.count_request(context.route.name, str(status))
        self._log.event(context, "request_passed_on", instance=instance, status=status)
        return True

    def _count_request(self, context: RequestContext) -> None:
        """Add what a request allows to the retry budget, once and where it is sent."""
        if not context.is_counted:
            context.is_counted = True
            self._retrier(context.service.name).on_first_attempt(self._loop.time())

    def _note_broken(
        self,
        context: RequestContext,
        placed: PlacementResult,
        attempt: Attempt,
        error: UpstreamError,
    ) -> None:
        """Note what an upstream broke off; a trial isn't repeated."""
        if isinstance(error, UpstreamNotSentError | NotRunError):
            return
        context.tried_parts = None
        if isinstance(error, StartTimeoutError | UpstreamFailureError):
            return
        began_at_s = attempt.began_at_s
        age_s = None if began_at_s is None else self._loop.time() - began_at_s
        self._parts.note_broken(placed.record, context.content, age_s)

    def _may_repeat(self, context: RequestContext) -> bool:
        is_repeatable = context.route.repeatability is not Repeatability.ONCE
        return is_repeatable and context.sent < context.route.max_attempts

    async def _async_prepare_retry(
        self, context: RequestContext, placed: PlacementResult, error: UpstreamError
    ) -> bool:
        """Prepare another attempt after a failed one; return whether there is one.

        Without another attempt, the request is answered with an error.
        """
        now_s = self._loop.time()
        name = placed.record.name
        if isinstance(error, UpstreamNotSentError):
            context.sent -= 1
            self._metrics.count_not_sent(placed.record.service)
            self._links.note_not_sent(placed.record, has_timed_out=error.has_timed_out)
            return self._prepare_retry_unsent(context, placed, error)
        context.excluded.add(name)
        outcome = RunOutcome.UNKNOWN
        if isinstance(error, NotRunError):
            outcome = RunOutcome.NOT_RUN
            self._note_not_run(context, placed, error)
        elif isinstance(error, StartTimeoutError):
            # No failure of the upstream, so it is not ejected.
            context.may_have_run = True
            self._metrics.count_withdrawn(placed.record.service)
        else:
            context.may_have_run = True
            self._metrics.count_broken(placed.record.service)
            self._registry.ejector.on_failure(name, now_s)
        decision = self._decide(context, error, outcome, now_s)
        self._log.failed(context, name, error, decision)
        if isinstance(decision, GiveUp):
            self._give_up(context, error)
            return False
        await asyncio.sleep(decision.delay_s)
        if context.progress.has_started:
            context.progress.splitter.restart()
        return True

    def _prepare_retry_unsent(
        self,
        context: RequestContext,
        placed: PlacementResult,
        error: UpstreamNotSentError,
    ) -> bool:
        context.unsent += 1
        LOGGER.info(
            "attempt_not_sent",
            request=context.metadata.attempt.decode("latin-1"),
            upstream=placed.record.name,
            reason=str(error),
            has_timed_out=error.has_timed_out,
        )
        if context.unsent < MAX_UNSENT_ATTEMPTS:
            return True
        self._give_up(context, error)
        return False

    def _note_not_run(
        self, context: RequestContext, placed: PlacementResult, error: NotRunError
    ) -> None:
        self._metrics.count_not_run(placed.record.service)
        name = placed.record.name
        if error.is_misdirected:
            self._pool.close_idle(placed.record.address)
            if error.answered_by is not None and error.answered_by != name:
                self._registry.note_replaced(name, self._loop.time())
                self._on_replaced(name)
                return
            if self._has_learned_weights(context, placed):
                return
        self._registry.note_refused(
            name, self._loop.time(), is_misdirected=error.is_misdirected
        )

    def _has_learned_weights(
        self, context: RequestContext, placed: PlacementResult
    ) -> bool:
        """Return whether an upstream is known to have other weights than expected."""
        state = self._registry.state(placed.record.name)
        model = context.metadata.model
        if state is None or model is None:
            return False
        return state.weight_versions.get(model) != placed.plan.expected_weights

    def _decide(
        self,
        context: RequestContext,
        error: UpstreamError,
        outcome: RunOutcome,
        now_s: float,
    ) -> Retry | GiveUp:
        if isinstance(error, StartTimeoutError) and not self._has_upstream(
            context, now_s
        ):
            return GiveUp(GiveUpReason.NO_UPSTREAM, 0.0)
        attempts = context.sent
        if attempts >= context.route.max_attempts:
            attempts = Retrier.ATTEMPTS_EXHAUSTED
        is_repeatable = context.route.repeatability is not Repeatability.ONCE
        if context.progress.has_started:
            is_repeatable = (
                context.route.repeatability is Repeatability.RESUMABLE_STREAM
                and context.progress.splitter.last_id is not None
            )
        failed = FailedAttempt(
            outcome=outcome,
            is_repeatable=is_repeatable,
            attempts=attempts,
            deadline_s=context.ends_at_s - MIN_TIME_LEFT_S,
        )
        return self._retrier(context.service.name).decide(failed, now_s)

    def _has_upstream(self, context: RequestContext, now_s: float) -> bool:
        """Return whether an upstream can take another attempt.

        At the end of a start limit all its requests are withdrawn at once. Without this
        check they would spend the retry budget of later failures for nothing.
        """
        return self._queued.place(context, now_s, is_wait_over=False) is not None

    def _retrier(self, service: ServiceName) -> Retrier:
        instances = max(1, self._instance_count())
        now_s = self._loop.time()
        known = self._retriers.get(service)
        if known is not None and known[0] == instances:
            return known[1]
        budget = self._retry_budget
        policy = shared_retry_policy(
            ratio=RETRY_BUDGET_SHARE * budget.ratio,
            slack=RETRY_BUDGET_SHARE * budget.slack,
            window_s=budget.window_s,
            instances=instances,
        )
        retrier = known[1] if known else Retrier(policy, self._random, now_s)
        retrier.change_policy(policy, now_s)
        self._retriers[service] = (instances, retrier)
        return retrier

    def _give_up(self, context: RequestContext, error: UpstreamError) -> None:
        if context.progress.has_started:
            self._break_off(context, str(error))
            return
        if context.may_have_run:
            reason = RefusalReason.BROKEN
            if isinstance(error, StartTimeoutError):
                reason = RefusalReason.WITHDRAWN
            refusal = Refusal(STATUS_BAD_GATEWAY, reason)
        else:
            reason = RefusalReason.REFUSED
            if isinstance(error, UpstreamNotSentError):
                reason = RefusalReason.NOT_REACHED
            wait_s = BUSY_RETRY_AFTER_S
            if isinstance(error, NotRunError) and error.retry_after_s is not None:
                wait_s = max(wait_s, error.retry_after_s)
            refusal = Refusal(STATUS_UNAVAILABLE, reason, wait_s)
        self._refuse(context.request, context.metadata, context.reply, refusal, context)

    def _refuse_unplaced(self, context: RequestContext, now_s: float) -> None:
        if context.ends_at_s - now_s < MIN_TIME_LEFT_S:
            self._end_timed_out(context)
            return
        if context.progress.has_started or context.may_have_run:
            self._give_up(
                context,
                UpstreamBrokenError("no upstream is available for another attempt"),
            )
            return
        wait_s = BUSY_RETRY_AFTER_S if context.excluded else UNAVAILABLE_RETRY_AFTER_S
        reason = RefusalReason.NO_UPSTREAM
        parts = self._queued.withheld_parts(context)
        if parts is not None:
            reason = RefusalReason.PART_WITHHELD
            wait_s = self._parts.retry_after_s(parts)
        elif self._placement.is_evacuated(context.service.name, now_s):
            reason, wait_s = RefusalReason.EVACUATED, EVACUATED_RETRY_AFTER_S
        elif (limit_s := self._limit_wait_s(context, now_s)) is not None:
            reason, wait_s = RefusalReason.UPSTREAM_LIMIT, limit_s
        elif (
            rest_s := self._placement.rest_wait_s(context.service.name, now_s)
        ) is not None:
            reason, wait_s = RefusalReason.UPSTREAM_RESTS, rest_s
        elif context.is_overloaded:
            reason, wait_s = RefusalReason.OVERLOADED, OVERLOAD_RETRY_AFTER_S
        elif context.origin is not None:
            reason = RefusalReason.NO_UPSTREAM_OF_VERSION
        refusal = Refusal(STATUS_UNAVAILABLE, reason, wait_s)
        self._refuse(context.request, context.metadata, context.reply, refusal, context)

    def _limit_wait_s(self, context: RequestContext, now_s: float) -> float | None:
        """Return when to come back if upstreams are at their limit, in seconds."""
        wait_s = self._placement.limit_wait_s(context.service.name, now_s)
        return None if wait_s is None else min(wait_s, MAX_LIMIT_RETRY_AFTER_S)

    def _end_stopped(self, context: RequestContext) -> None:
        """End a request whose response did not come before this instance stops."""
        if context.progress.has_started:
            self._break_off(context, RefusalReason.LEAVING.value)
            return
        refusal = Refusal(STATUS_BAD_GATEWAY, RefusalReason.LEAVING)
        if context.sent == 0:
            refusal = Refusal(STATUS_UNAVAILABLE, RefusalReason.LEAVING, 0.0)
        self._refuse(context.request, context.metadata, context.reply, refusal, context)

    def _note_left(self, context: RequestContext) -> None:
        self._log.event(context, "caller_left")
        self._metrics.count_request(context.route.name, "caller_left")

    def _break_off(self, context: RequestContext, reason: str) -> None:
        """Abort a response of which a part was sent."""
        self._log.event(context, "answer_broken", reason=reason)
        self._metrics.count_request(context.route.name, "broken")
        context.reply.abort()

    def _end_timed_out(self, context: RequestContext) -> None:
        if context.progress.has_started:
            self._break_off(context, "timeout")
            return
        refusal = Refusal(STATUS_TIMEOUT, RefusalReason.TIMEOUT)
        if context.sent == 0:
            refusal = Refusal(
                STATUS_UNAVAILABLE, RefusalReason.TIMEOUT, BUSY_RETRY_AFTER_S
            )
        self._refuse(context.request, context.metadata, context.reply, refusal, context)

    def _refuse(
        self,
        request: Request,
        metadata: RequestMetadata,
        reply: Reply,
        refusal: Refusal,
        context: RequestContext | None = None,
    ) -> None:
        retry_after_s = refusal.retry_after_s
        if retry_after_s is not None:
            elapsed_s = self._loop.time() - request.received_at_s
            left_s = (metadata.time_left_s or 1.0) - elapsed_s
            retry_after_s = jittered_retry_after_s(retry_after_s, left_s, self._random)
        headers = self._translator.generated_headers(metadata, retry_after_s)
        is_declined = refusal.reason in DECLINE_REASONS and not (
            context is not None and context.has_attempts
        )
        reply.refuse(refusal.status, headers, is_declined=is_declined)
        configuration = self._routing.configuration
        LOGGER.info(
            "request_refused",
            request=metadata.attempt.decode("latin-1"),
            status=refusal.status,
            reason=refusal.reason.value,
            retry_after_s=retry_after_s,
            route=context.route.name if context else None,
            upstream=context.last_upstream if context else None,
            attempts=context.sent if context else 0,
            configuration=configuration.version if configuration else None,
        )
        route = context.route.name if context else "none"
        self._metrics.count_request(route, refusal.reason.value)

    def _note_served(
        self, context: RequestContext, placed: PlacementResult, attempt: Attempt
    ) -> None:
        now_s = self._loop.time()
        self._registry.ejector.on_success(placed.record.name, now_s)
        has_succeeded = attempt.status < FIRST_CLIENT_ERROR_STATUS
        if has_succeeded or attempt.status in SOUND_ERROR_STATUSES:
            self._parts.note_served(
                context.content,
                placed.record,
                attempt.sent_at_s,
                has_read_parts=has_succeeded,
            )
        if has_succeeded:
            self._costs.note_served(
                placed.record,
                placed.cost,
                sent_at_s=attempt.sent_at_s,
                began_at_s=attempt.began_at_s or now_s,
                now_s=now_s,
            )
        first_s = (
            context.progress.first_byte_at_s or now_s
        ) - context.request.received_at_s
        self._metrics.observe_first_byte(context.route.name, first_s)
        self._metrics.count_request(context.route.name, str(attempt.status))
        self._log.event(
            context,
            "request_served",
            status=attempt.status,
            framing=attempt.framing.value,
            first_byte_s=round(first_s, 4),
            total_s=round(now_s - context.request.received_at_s, 4),
            weights=placed.plan.expected_weights,
        )


def _exceeds_memory(metadata: RequestMetadata, service: ForwardedService) -> bool:
    """Return whether a request is larger than the memory of any upstream."""
    if service.engine is None or metadata.model is None:
        return False
    tokens = metadata.prompt_tokens + metadata.output_tokens
    return tokens > service.engine.capacity_tokens


def _resumed_after(metadata: RequestMetadata, route: Route) -> bytes | None:
    """Return the last event that a caller has of a stream that it takes up again."""
    if route.repeatability is not Repeatability.RESUMABLE_STREAM:
        return None
    return metadata.last_event


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")
