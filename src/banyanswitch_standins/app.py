"""Base class of the stand-ins: an aiohttp application with faults and counters."""

from typing import Any, Final, TypeVar

import msgspec
from aiohttp import web

from banyanswitch_standins.faults import FaultInjector, Handler

T = TypeVar("T")

MAX_BODY_BYTES: Final = 256 * 1024 * 1024


class StandIn:
    """Simulated external system; subclasses add its routes.

    Attributes
    ----------
    faults : FaultInjector
        Scripted faults, and counters of requests and faults.
    """

    def __init__(self) -> None:
        self.faults = FaultInjector()

    def build_application(self) -> web.Application:
        """Return an application with the routes of the system, faults and counters."""
        application = web.Application(
            middlewares=[reject_malformed, self.faults.middleware],
            client_max_size=MAX_BODY_BYTES,
        )
        router = application.router
        router.add_post("/faults", self.faults.handle_add)
        router.add_delete("/faults", self.faults.handle_clear)
        router.add_get("/stats", self.faults.handle_stats)
        self.add_routes(router)
        application.on_shutdown.append(self._async_on_shutdown)
        return application

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of the external system."""
        raise NotImplementedError

    async def async_stop(self) -> None:
        """Cancel the background tasks of the stand-in; there are none by default."""

    async def _async_on_shutdown(self, _application: web.Application) -> None:
        await self.async_stop()


@web.middleware
async def reject_malformed(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Respond with 400 to a body that is not JSON or not of the expected type."""
    try:
        return await handler(request)
    except msgspec.DecodeError as error:
        return web.json_response(
            {"code": "bad_request", "detail": str(error)}, status=400
        )


async def async_decode(request: web.Request, body_type: type[T]) -> T:
    """Decode the JSON body of a request into ``body_type``.

    Raises
    ------
    msgspec.DecodeError
        If the body is not JSON or does not match the type.
    """
    return msgspec.json.decode(await request.read(), type=body_type)


def build_json_response(
    content: Any, *, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    """Return a JSON response whose content may hold msgspec structs."""
    return web.Response(
        body=msgspec.json.encode(content),
        status=status,
        content_type="application/json",
        headers=headers,
    )
