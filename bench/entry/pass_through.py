"""Plain aiohttp pass-through, the baseline for the cost of an entry."""

import asyncio
import itertools
import json
import sys

import aiohttp
import uvloop
from aiohttp import web

from banyanswitch.composition import disable_io_uring
from bench.processes import HOST

PATH = "/v1/chat/completions"


class PassThrough:
    """Forward requests to one engine and response chunks to the caller.

    Parameters
    ----------
    target_url : str
        URL of the engine.
    session : aiohttp.ClientSession
        Client session for the engine.
    """

    def __init__(self, target_url: str, session: aiohttp.ClientSession) -> None:
        self._target_url = target_url
        self._session = session
        self._numbers = itertools.count()

    async def async_forward(self, request: web.Request) -> web.StreamResponse:
        """Forward one request and stream the response."""
        headers = {
            "X-Banyan-Run-Id": f"pass-through-{next(self._numbers)}",
            "X-Banyan-Workspace": "direct",
            "X-Banyan-Weight-Version": "v1",
        }
        body = await request.read()
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Banyan-Weight-Version": "v1",
            }
        )
        async with self._session.post(
            self._target_url + PATH, data=body, headers=headers
        ) as upstream:
            await response.prepare(request)
            while chunk := await upstream.content.readany():
                await response.write(chunk)
        await response.write_eof()
        return response


async def async_serve(target_url: str) -> None:
    """Listen on a free port, print it as JSON and serve until cancelled."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        application = web.Application()
        handler = PassThrough(target_url, session).async_forward
        application.router.add_post(PATH, handler)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, HOST, 0).start()
        print(json.dumps({"port": runner.addresses[0][1]}), flush=True)
        await asyncio.Event().wait()


if __name__ == "__main__":
    disable_io_uring()
    uvloop.run(async_serve(sys.argv[1]))
