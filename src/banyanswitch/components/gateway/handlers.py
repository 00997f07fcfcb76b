"""Handlers of requests for model services, streams and plain services."""

import asyncio
from dataclasses import replace

import msgspec
from aiohttp import web

from banyanswitch.components.admission.gate import AdmissionCall, AdmissionGate
from banyanswitch.components.gateway.parsing import RequestParser
from banyanswitch.components.gateway.relay import StreamRelay
from banyanswitch.components.gateway.request_tracker import RequestTracker
from banyanswitch.components.routing.calls import ModelCall, PlainCall
from banyanswitch.components.routing.model_runs import ModelRuns
from banyanswitch.components.routing.plain_calls import PlainCalls
from banyanswitch.config.models import ServiceKind
from banyanswitch.const import HEADER_LAST_EVENT_ID, HEADER_RUN_ID
from banyanswitch.core import Kernel
from banyanswitch.exceptions import RefusalError
from banyanswitch.helpers.run_identity import RunIdentityCodec
from banyanswitch.interfaces import ConfigurationView, StoredAnswer


class ModelDocument(msgspec.Struct, frozen=True):
    """One model service in the list of models."""

    id: str
    object: str = "model"


class ModelListDocument(msgspec.Struct, frozen=True):
    """Response to ``GET /v1/models``."""

    data: list[ModelDocument]
    object: str = "list"


class CallerHandlers:
    """Handlers of requests for model services, streams and plain services.

    Parameters
    ----------
    kernel : Kernel
        Provides the components that execute requests.
    request_tracker : RequestTracker
        Counts requests in progress.
    """

    def __init__(self, kernel: Kernel, request_tracker: RequestTracker) -> None:
        self._kernel = kernel
        self._request_tracker = request_tracker
        self._configuration = kernel.require(ConfigurationView)
        self._parser = RequestParser(
            self._configuration, kernel.require(RunIdentityCodec)
        )
        self._gate = kernel.require(AdmissionGate)
        self._runs = kernel.require(ModelRuns)
        self._plain_calls = kernel.require(PlainCalls)
        self._relay = StreamRelay(kernel, self._runs)

    async def async_completion(self, request: web.Request) -> web.StreamResponse:
        """Handle ``POST /v1/chat/completions`` and ``/v1/completions``.

        A request with ``Last-Event-ID`` resumes a stream.
        """
        if HEADER_LAST_EVENT_ID in request.headers:
            return await self.async_resume(request)
        with self._request_tracker.track():
            call = await self._parser.async_model_call(request)
            async with self._gate.async_admitted(_admission_call(call)) as ticket:
                admitted = replace(call, ticket=ticket)
                return await self._async_answer(request, admitted)

    async def async_resume(self, request: web.Request) -> web.StreamResponse:
        """Handle ``GET /v1/streams``: send the events after ``Last-Event-ID``."""
        with self._request_tracker.track():
            call = self._parser.resume_call(request)
            return await self._relay.async_relay_resumed(request, call)

    async def async_plain(self, request: web.Request) -> web.StreamResponse:
        """Handle ``/v1/services/<service>/<path>``.

        The call continues if the caller disconnects, so that its result is recorded.
        """
        call = await self._parser.async_plain_call(request)
        task = self._kernel.create_task(self._async_plain(call), "plain call")
        answer = await asyncio.shield(task)
        if isinstance(answer, RefusalError):
            raise answer
        return web.Response(
            status=answer.status,
            body=answer.body,
            headers={"Content-Type": answer.content_type},
        )

    async def async_models(self, request: web.Request) -> web.StreamResponse:
        """Handle ``GET /v1/models``."""
        self._parser.authenticate(request)
        document = ModelListDocument(
            [
                ModelDocument(service.name)
                for service in self._configuration.services()
                if service.kind is ServiceKind.MODEL
            ]
        )
        return web.Response(
            body=msgspec.json.encode(document), content_type="application/json"
        )

    async def _async_answer(
        self, request: web.Request, call: ModelCall
    ) -> web.StreamResponse:
        if call.is_stream:
            return await self._relay.async_relay_call(request, call)
        answer = await self._runs.async_complete(call)
        headers = {"Content-Type": answer.content_type, HEADER_RUN_ID: answer.run_id}
        return web.Response(status=answer.status, body=answer.body, headers=headers)

    async def _async_plain(self, call: PlainCall) -> StoredAnswer | RefusalError:
        try:
            with self._request_tracker.track():
                async with self._gate.async_admitted(_admission_call(call)) as ticket:
                    admitted = replace(call, ticket=ticket)
                    return await self._plain_calls.async_call(admitted)
        except RefusalError as refusal:
            return refusal


def _admission_call(call: ModelCall | PlainCall) -> AdmissionCall:
    return AdmissionCall(
        call.workspace, call.service, call.priority, call.latest_start_s
    )
