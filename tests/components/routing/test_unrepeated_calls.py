"""Calls that must not be repeated reach their upstream once.

The tests use sockets, since the HTTP library reads from its own transports.
"""

import asyncio

import pytest
from tests.components.routing.test_response_end import make_attempt
from tests.fakes.second_answers import async_read_request

from banyanswitch.components.routing.models import UpstreamRequest
from banyanswitch.components.routing.upstream_client import UpstreamClient
from banyanswitch.exceptions import UpstreamBrokenError

TIMEOUT_S = 2.0


# Guards against a call that runs twice because the HTTP library sends it again.
@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("method", ["POST", "PUT", "PATCH", "DELETE", "OPTIONS"])
async def test_call_without_an_answer_is_sent_once(
    method: str, *, is_reset: bool
) -> None:
    requests = 0

    async def async_script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal requests
        await async_read_request(reader)
        requests += 1
        if is_reset:
            writer.transport.abort()
        writer.close()

    server = await asyncio.start_server(async_script, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    client = UpstreamClient()
    call = UpstreamRequest(method, f"{url}/x", body=b"content")
    with pytest.raises(UpstreamBrokenError):
        await client.async_call_once(make_attempt(url), call, TIMEOUT_S)
    await client.async_close()
    server.close()
    assert requests == 1
