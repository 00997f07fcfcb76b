"""Stand-in for the platform's list of live and leaving instances."""

import asyncio
from typing import Literal

import msgspec
from aiohttp import web

from banyanswitch_standins.app import StandIn, async_decode, build_json_response


class InstanceRecord(msgspec.Struct, frozen=True):
    """Entry of one instance in the list."""

    instance: str
    failure_domain: str
    peer_address: str
    http_url: str
    state: Literal["live", "leaving"] = "live"


class InstancesStandIn(StandIn):
    """List of instances that readers see with a delay.

    Parameters
    ----------
    lag_s : float
        Age of the list that readers see, in seconds.
    """

    def __init__(self, *, lag_s: float = 0.0) -> None:
        super().__init__()
        self._lag_s = lag_s
        self._records: dict[str, InstanceRecord] = {}
        self._history: list[tuple[float, tuple[InstanceRecord, ...]]] = []

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of the instance list."""
        router.add_get("/instances", self._handle_list)
        router.add_put("/instances/{instance}", self._handle_put)
        router.add_delete("/instances/{instance}", self._handle_delete)

    async def _handle_list(self, _request: web.Request) -> web.Response:
        visible_until_s = asyncio.get_running_loop().time() - self._lag_s
        while len(self._history) > 1 and self._history[1][0] <= visible_until_s:
            self._history.pop(0)
        is_visible = bool(self._history) and self._history[0][0] <= visible_until_s
        return build_json_response(
            {"instances": self._history[0][1] if is_visible else ()}
        )

    async def _handle_put(self, request: web.Request) -> web.Response:
        record = await async_decode(request, InstanceRecord)
        if record.instance != request.match_info["instance"]:
            return build_json_response({"code": "bad_request"}, status=400)
        self._records[record.instance] = record
        self._note_change()
        return build_json_response({})

    async def _handle_delete(self, request: web.Request) -> web.Response:
        self._records.pop(request.match_info["instance"], None)
        self._note_change()
        return build_json_response({})

    def _note_change(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._history.append((now_s, tuple(self._records.values())))
