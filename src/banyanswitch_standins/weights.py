"""Stand-in for the weight store, with limited bandwidth."""

from typing import Final

from aiohttp import web

from banyanswitch_standins.app import StandIn, build_json_response
from banyanswitch_standins.rates import SharedLink

CHUNK_BYTES: Final = 64 * 1024


class WeightsStandIn(StandIn):
    """Weight store that has every version of every service, all of one size.

    Parameters
    ----------
    size_bytes : int
        Size of one weight version, in bytes.
    bytes_per_s : float
        Bandwidth that all readers share, in bytes per second; 0 means no limit.
    """

    def __init__(
        self, *, size_bytes: int = 1_000_000, bytes_per_s: float = 0.0
    ) -> None:
        super().__init__()
        self._size_bytes = size_bytes
        self._link = SharedLink(bytes_per_s)

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of the weight store."""
        router.add_get("/weights/{service}/{version}", self._handle_metadata)
        router.add_get("/weights/{service}/{version}/content", self._handle_content)

    async def _handle_metadata(self, _request: web.Request) -> web.Response:
        return build_json_response({"size_bytes": self._size_bytes})

    async def _handle_content(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_length = self._size_bytes
        await response.prepare(request)
        remaining_bytes = self._size_bytes
        while remaining_bytes > 0:
            chunk_bytes = min(CHUNK_BYTES, remaining_bytes)
            await self._link.async_transfer(chunk_bytes)
            await response.write(bytes(chunk_bytes))
            remaining_bytes -= chunk_bytes
        await response.write_eof()
        return response
