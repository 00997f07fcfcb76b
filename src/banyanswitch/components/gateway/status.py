"""Handlers of address lists and health checks."""

import msgspec
from aiohttp import web

from banyanswitch.components.addresses import AddressCoordinator
from banyanswitch.components.gateway.parsing import RequestParser
from banyanswitch.components.gateway.request_tracker import RequestTracker
from banyanswitch.core import Kernel, callback
from banyanswitch.exceptions import RefusalError
from banyanswitch.helpers.run_identity import RunIdentityCodec
from banyanswitch.interfaces import ConfigurationView, ShutdownStarted


class AddressDocument(msgspec.Struct, frozen=True):
    """One instance that a caller may use."""

    url: str
    failure_domain: str


class AddressListDocument(msgspec.Struct, frozen=True):
    """Response to ``GET /v1/addresses``, in order of preference."""

    addresses: list[AddressDocument]
    ttl_s: float


class HealthDocument(msgspec.Struct, frozen=True):
    """Health of this instance."""

    status: str
    configuration_revision: int
    requests_in_progress: int


class StatusHandlers:
    """Handlers of requests that need no upstream.

    Parameters
    ----------
    kernel : Kernel
        Provides the configuration and the addresses.
    request_tracker : RequestTracker
        Counts requests in progress.
    """

    def __init__(self, kernel: Kernel, request_tracker: RequestTracker) -> None:
        self._configuration = kernel.require(ConfigurationView)
        self._addresses = kernel.require(AddressCoordinator)
        self._request_tracker = request_tracker
        self._parser = RequestParser(
            self._configuration, kernel.require(RunIdentityCodec)
        )
        self._is_shutting_down = False
        kernel.bus.subscribe(ShutdownStarted, self._on_shutdown_started)

    async def async_addresses(self, request: web.Request) -> web.StreamResponse:
        """Handle ``GET /v1/addresses``."""
        workspace = self._parser.authenticate(request)
        conversation = request.query.get("conversation")
        answer = self._addresses.addresses(workspace.name, conversation)
        document = AddressListDocument(
            [
                AddressDocument(address.url, address.failure_domain)
                for address in answer.addresses
            ],
            answer.time_to_live_s,
        )
        return _json_response(document)

    async def async_live(self, _request: web.Request) -> web.StreamResponse:
        """Handle ``GET /health/live``."""
        return _json_response(self._health("live"))

    async def async_ready(self, _request: web.Request) -> web.StreamResponse:
        """Handle ``GET /health/ready``.

        Raises
        ------
        RefusalError
            If this instance is shutting down or has no configuration yet.
        """
        if self._is_shutting_down:
            raise RefusalError("leaving", "this instance is leaving", status=503)
        if self._configuration.revision == 0:
            raise RefusalError(
                "not_ready", "this instance has no configuration yet", status=503
            )
        return _json_response(self._health("ready"))

    @callback
    def _on_shutdown_started(self, _message: ShutdownStarted) -> None:
        self._is_shutting_down = True

    def _health(self, status: str) -> HealthDocument:
        return HealthDocument(
            status, self._configuration.revision, self._request_tracker.count
        )


def _json_response(document: msgspec.Struct) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(document), content_type="application/json"
    )
