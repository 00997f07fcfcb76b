"""Placement of requests, some of which wait for capacity first."""

import asyncio
import math
import random
from dataclasses import replace

from banyanswitch.components.forwarding.const import (
    DUE_SHARE,
    FIRST_PLAN_SHARE,
    MAX_QUEUE_WAIT_S,
    MAX_QUEUE_WAIT_SHARE,
    MIN_TIME_LEFT_S,
    PLAN_INTERVAL_S_PER_PART,
    QUEUE_POLL_INTERVAL_S,
    QUEUE_POLL_JITTER_S,
    SAMPLE_SIZE,
)
from banyanswitch.components.forwarding.placement import (
    Placement,
    PlacementRequest,
    PlacementResult,
)
from banyanswitch.components.forwarding.protocols import LoadSource, PartGuard
from banyanswitch.components.forwarding.request_context import RequestContext
from banyanswitch.components.forwarding.wait_queue import WaitQueue
from banyanswitch.core import callback
from banyanswitch.decisions.part_quarantine import Combination
from banyanswitch.decisions.upstream_sample import UpstreamSample


class QueuedPlacement:
    """Place requests; those with a large prefill wait until there is capacity.

    Parameters
    ----------
    parts : PartGuard
        Prompt parts and requests that must not be sent.
    load_source : LoadSource
        Loads of the upstreams in a large fleet.
    generator : random.Random
        Spreads the attempts to place queued requests.
    """

    def __init__(
        self,
        *,
        placement: Placement,
        wait_queue: WaitQueue,
        parts: PartGuard,
        load_source: LoadSource,
        generator: random.Random,
    ) -> None:
        self._placement = placement
        self._wait_queue = wait_queue
        self._parts = parts
        self._load_source = load_source
        self._random = generator
        self._loop = asyncio.get_running_loop()

    async def async_place(self, context: RequestContext) -> PlacementResult | None:
        """Place a request; one with a large prefill may wait for capacity first.

        Returns
        -------
        placed : PlacementResult or None
            ``None`` if no upstream can take the request.
        """
        service = context.service.name
        number = self._wait_queue.allocate_number()
        time_left_s = context.ends_at_s - self._loop.time()
        wait_s = min(MAX_QUEUE_WAIT_S, MAX_QUEUE_WAIT_SHARE * time_left_s)
        queue_deadline_s = self._loop.time() + wait_s
        is_resumed = context.origin is not None
        due_at_s = math.inf
        if not is_resumed:
            aim_s = context.route.target_latency_s
            due_at_s = context.request.received_at_s + DUE_SHARE * aim_s
        plan_s = PLAN_INTERVAL_S_PER_PART * len(context.metadata.parts)
        placed_at_s = -math.inf
        try:
            while True:
                is_wait_over = self._loop.time() >= queue_deadline_s
                is_first = self._wait_queue.is_first(service, number, self._loop.time())
                pause_s = FIRST_PLAN_SHARE * plan_s if is_first else plan_s
                if not is_wait_over and self._loop.time() < placed_at_s + pause_s:
                    await self._async_wait_in_queue()
                    continue
                placed_at_s = self._loop.time()
                sample = None
                if is_wait_over or is_first:
                    sample = await self._async_sample(context)
                placed = self.place(
                    context,
                    self._loop.time(),
                    is_wait_over=is_wait_over,
                    sample=sample,
                )
                if placed is None or not placed.is_large_prefill:
                    return placed
                if is_wait_over:
                    # A request that waits for an upstream in vain would take the room
                    # of later ones, which can still be in time.
                    must_yield = placed.must_wait and (
                        self._wait_queue.has_others_in_time(
                            service, number, self._loop.time()
                        )
                    )
                    context.is_overloaded = not is_resumed and (
                        placed.is_overloaded or must_yield
                    )
                    return None if context.is_overloaded else placed
                # The instance that sends the request lets it wait.
                if not placed.is_direct:
                    return placed
                if not placed.must_wait and is_first:
                    return placed
                self._wait_queue.enqueue(service, number, due_at_s)
                await self._async_wait_in_queue()
        finally:
            self._wait_queue.remove(service, number)

    async def _async_wait_in_queue(self) -> None:
        """Wait for a change of the loads, or for the next poll."""
        jitter_s = QUEUE_POLL_JITTER_S * self._random.random()
        await self._wait_queue.async_wait_for_change(QUEUE_POLL_INTERVAL_S)
        await asyncio.sleep(jitter_s)

    async def _async_sample(self, context: RequestContext) -> UpstreamSample | None:
        """Look up the load of a few upstreams among which to place a request.

        Returns
        -------
        sample : UpstreamSample or None
            ``None`` if the loads of all upstreams are known anyway.
        """
        if not self._load_source.is_needed():
            return None
        now_s = self._loop.time()
        request = self._placement_request(context, now_s, is_wait_over=False)
        sample = self._placement.sample(request, SAMPLE_SIZE, now_s)
        return sample.among(await self._load_source.async_refresh(sample.names))

    @callback
    def place(
        self,
        context: RequestContext,
        now_s: float,
        *,
        is_wait_over: bool,
        sample: UpstreamSample | None = None,
    ) -> PlacementResult | None:
        """Place a request now, without a wait; return ``None`` if that can't be."""
        time_left_s = context.ends_at_s - now_s
        if time_left_s < MIN_TIME_LEFT_S or self.withheld_parts(context) is not None:
            return None
        request = self._placement_request(context, now_s, is_wait_over=is_wait_over)
        return self._placement.place(replace(request, sample=sample), now_s)

    def _placement_request(
        self, context: RequestContext, now_s: float, *, is_wait_over: bool
    ) -> PlacementRequest:
        resume_after = (
            context.progress.splitter.last_id if context.progress.has_started else None
        )
        return PlacementRequest(
            metadata=context.metadata,
            route=context.route,
            workspace=context.workspace,
            service=context.service,
            excluded=context.excluded,
            time_left_s=context.ends_at_s - now_s,
            resume_after=resume_after,
            software_version=(
                context.origin.software_version if context.origin else None
            ),
            is_wait_over=is_wait_over,
            is_passed_on=context.earlier_attempts is not None,
            objective_left_s=(
                context.request.received_at_s + context.route.target_latency_s - now_s
            ),
            body_bytes=len(context.request.body),
        )

    @callback
    def withheld_parts(self, context: RequestContext) -> Combination | None:
        """Return the withheld parts that keep a request from being sent."""
        found = self._parts.withheld(context.content)
        return next((parts for parts in found if parts != context.tried_parts), None)
