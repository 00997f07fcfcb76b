"""HTTP server of the API for callers."""

import asyncio

from aiohttp import web

from banyanswitch.components.gateway.const import MAX_HEADER_BYTES
from banyanswitch.components.gateway.handlers import CallerHandlers
from banyanswitch.components.gateway.middleware import problem_middleware
from banyanswitch.components.gateway.request_tracker import RequestTracker
from banyanswitch.components.gateway.status import StatusHandlers
from banyanswitch.components.metrics.const import Gauge
from banyanswitch.components.metrics.recorder import MetricRecorder
from banyanswitch.core import Kernel
from banyanswitch.settings import EntrySettings

LISTEN_BACKLOG = 1024
CLOSE_TIMEOUT_S = 1.0


class CallerServer:
    """Serve HTTP requests of callers.

    Parameters
    ----------
    kernel : Kernel
        Provides the components that execute requests.
    settings : EntrySettings
        Address, port and limits.
    """

    def __init__(self, kernel: Kernel, settings: EntrySettings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self.request_tracker = RequestTracker()
        self.port = settings.port

    async def async_start(self) -> None:
        """Start listening and set ``port`` to the bound port."""
        runner = web.AppRunner(
            self._application(),
            handler_cancellation=True,
            access_log=None,
            max_field_size=MAX_HEADER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
            shutdown_timeout=CLOSE_TIMEOUT_S,
        )
        await runner.setup()
        site = web.TCPSite(
            runner, self._settings.host, self._settings.port, backlog=LISTEN_BACKLOG
        )
        await site.start()
        self._runner = runner
        self._site = site
        self.port = runner.addresses[0][1]

    async def async_stop(self) -> None:
        """Stop listening and close the remaining connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def async_refuse_new(self) -> None:
        """Stop listening, and refuse requests on the connections that stay open."""
        self.request_tracker.refuse_new()
        if self._site is not None:
            await self._site.stop()

    async def async_drain(self, timeout_s: float) -> bool:
        """Wait for the requests in progress to complete.

        Parameters
        ----------
        timeout_s : float
            Maximum time to wait, in seconds.

        Returns
        -------
        is_idle : bool
            Whether all requests completed within the timeout.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self.request_tracker.async_wait_idle()
        except TimeoutError:
            return False
        return True

    def _application(self) -> web.Application:
        callers = CallerHandlers(self._kernel, self.request_tracker)
        status = StatusHandlers(self._kernel, self.request_tracker)
        metrics = self._kernel.require(MetricRecorder)
        metrics.set_gauge(
            Gauge.REQUESTS_IN_PROGRESS, lambda: self.request_tracker.count
        )
        application = web.Application(
            middlewares=[problem_middleware(metrics)],
            client_max_size=self._settings.max_body_bytes,
        )
        router = application.router
        router.add_post("/v1/chat/completions", callers.async_completion)
        router.add_post("/v1/completions", callers.async_completion)
        router.add_get("/v1/streams", callers.async_resume)
        router.add_get("/v1/models", callers.async_models)
        router.add_route("*", "/v1/services/{service}/{path:.*}", callers.async_plain)
        router.add_get("/v1/addresses", status.async_addresses)
        router.add_get("/health/live", status.async_live)
        router.add_get("/health/ready", status.async_ready)
        return application
