"""Relay of verified event streams to callers."""

import asyncio

import msgspec
import structlog
from aiohttp import web

from banyanswitch.components.gateway.problems import problem_document
from banyanswitch.components.gateway.slow_reader import ResponseWriter
from banyanswitch.components.metrics.const import Counter, Timing
from banyanswitch.components.metrics.recorder import MetricRecorder
from banyanswitch.components.routing.calls import ModelCall, ResumeCall
from banyanswitch.components.routing.const import RESUME_GRACE_S, RETRY_AFTER_S
from banyanswitch.components.routing.model_runs import ModelRuns
from banyanswitch.components.routing.models import OpenRun, RunLostError
from banyanswitch.components.routing.run_stream import RunStream
from banyanswitch.components.routing.watchdog import StreamWatchdog
from banyanswitch.components.streams.verifier import VerifiedChunk
from banyanswitch.const import (
    CONTENT_TYPE_EVENT_STREAM,
    HEADER_RUN_ID,
    HEADER_WEIGHT_VERSION,
)
from banyanswitch.core import Kernel
from banyanswitch.exceptions import RefusalError, RunOutcome
from banyanswitch.interfaces import ConfigurationView

LOGGER = structlog.get_logger(__name__)


class StreamRelay:
    """Relay verified events to callers.

    Parameters
    ----------
    kernel : Kernel
        Runs the tasks that cancel abandoned runs.
    runs : ModelRuns
        Starts, resumes and cancels runs.
    """

    def __init__(self, kernel: Kernel, runs: ModelRuns) -> None:
        self._kernel = kernel
        self._configuration = kernel.require(ConfigurationView)
        self._runs = runs
        self._metrics = kernel.require(MetricRecorder)
        self._watchdog = kernel.require(StreamWatchdog)

    async def async_relay_call(
        self, request: web.Request, call: ModelCall
    ) -> web.StreamResponse:
        """Stream the response to a call.

        A run that is lost before its first event was relayed is restarted on another
        upstream. After the first event, the loss of a run ends the stream with an error
        event.
        """
        started_at_s = self._kernel.now_s
        run = await self._runs.async_open(call)
        while True:
            stream = self._runs.stream(run)
            try:
                first = await self._runs.async_first_chunk(call, run, stream)
            except RunLostError:
                run = await self._runs.async_reopen(call, run)
                continue
            except asyncio.CancelledError:
                self._runs.abort_run(run)
                raise
            self._metrics.observe(Timing.FIRST_TOKEN, self._kernel.now_s - started_at_s)
            return await self._async_relay_run(request, run, stream, first)

    async def async_relay_resumed(
        self, request: web.Request, call: ResumeCall
    ) -> web.StreamResponse:
        """Stream the remaining events of a resumed run.

        Raises
        ------
        RefusalError
            If the upstream was removed or can't continue the run.
        """
        identity = call.position.identity
        upstream = self._configuration.upstream(identity.upstream)
        if upstream is None:
            raise _run_gone(f"upstream {identity.upstream} was removed")
        stream = self._runs.resumed_stream(call.position, upstream.url.rstrip("/"))
        try:
            first = await stream.async_next()
        except RunLostError as error:
            raise _run_gone(str(error)) from error
        self._metrics.count(Counter.STREAMS_RESUMED)
        return await self._async_relay(request, stream, first)

    async def _async_relay_run(
        self,
        request: web.Request,
        run: OpenRun,
        stream: RunStream,
        first: VerifiedChunk | None,
    ) -> web.StreamResponse:
        self._runs.note_first_token(run)
        try:
            return await self._async_relay(request, stream, first)
        finally:
            self._runs.note_finished(run.attempt)

    async def _async_relay(
        self,
        request: web.Request,
        stream: RunStream,
        first: VerifiedChunk | None,
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=_headers(stream))
        writer = ResponseWriter(request, response)
        self._watchdog.add(writer)
        try:
            await response.prepare(request)
            chunk = first
            while chunk is not None:
                await writer.async_write(chunk.content)
                chunk = await stream.async_next()
        except RunLostError as error:
            self._metrics.count(Counter.STREAMS_LOST)
            await response.write(_run_lost_event(str(error)))
        except (asyncio.CancelledError, ConnectionError):
            self._schedule_cancellation(stream)
            raise
        finally:
            self._watchdog.discard(writer)
            stream.release()
        await response.write_eof()
        return response

    def _schedule_cancellation(self, stream: RunStream) -> None:
        stream.release()
        self._kernel.create_task(
            self._async_cancel_after_grace(stream),
            f"cancel abandoned {stream.target.run_id}",
        )

    async def _async_cancel_after_grace(self, stream: RunStream) -> None:
        await asyncio.sleep(RESUME_GRACE_S)
        await self._runs.async_cancel(stream.target, only_if_unread=True)


def _headers(stream: RunStream) -> dict[str, str]:
    return {
        "Content-Type": CONTENT_TYPE_EVENT_STREAM,
        "Cache-Control": "no-store",
        HEADER_RUN_ID: stream.target.run_id,
        HEADER_WEIGHT_VERSION: stream.target.identity.weight_version,
    }


def _run_lost_event(reason: str) -> bytes:
    refusal = RefusalError(
        "run_lost",
        reason,
        status=502,
        outcome=RunOutcome.PARTIAL,
        retry_after_s=RETRY_AFTER_S,
    )
    document = msgspec.json.encode(problem_document(refusal))
    return b"event: error\ndata: " + document + b"\n\n"


def _run_gone(reason: str) -> RefusalError:
    return RefusalError(
        "run_gone",
        reason,
        status=410,
        outcome=RunOutcome.PARTIAL,
        retry_after_s=RETRY_AFTER_S,
    )
