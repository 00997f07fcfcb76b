"""Stand-in for the rate-limited weight store."""

from typing import Final

from aiohttp import web

from banyanswitch_standins.app import StandIn, build_json_response
from banyanswitch_standins.rates import SharedLink

CHUNK_BYTES: Final = 64 * 1024


class WeightsStandIn(StandIn):
    """Weights of any service and version, all of one size.

    Parameters
    ----------
    size_bytes : int
        Size of one weight version.
    bytes_per_s : float
        Rate that all readers share; 0 sets no limit.
    """

    def __init__(
        self, *, size_bytes: int = 1_000_000, bytes_per_s: float = 0.0
    ) -> None:
        super().__init__()
        self._size_bytes = size_bytes
        self._link = SharedLink(bytes_per_s)

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of the weight store."""
        router.add_get("/weights/{service}/{version}", self._handle_head)
        router.add_get("/weights/{service}/{version}/content", self._handle_content)

    async def _handle_head(self, _request: web.Request) -> web.Response:
        return build_json_response({"size_bytes": self._size_bytes})

    async def _handle_content(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_length = self._size_bytes
        await response.prepare(request)
        left_bytes = self._size_bytes
        while left_bytes > 0:
            chunk_bytes = min(CHUNK_BYTES, left_bytes)
            await self._link.async_transfer(chunk_bytes)
            await response.write(bytes(chunk_bytes))
            left_bytes -= chunk_bytes
        await response.write_eof()
        return response
