"""Responses that end with their connection must show by themselves that they are whole.

The tests use sockets, since the HTTP library hides how a connection ended.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from banyanswitch.components.routing.models import (
    Attempt,
    CompleteResponse,
    UpstreamRequest,
)
from banyanswitch.components.routing.upstream_client import UpstreamClient
from banyanswitch.const import HEADER_RUN_ID, HEADER_WORKSPACE
from banyanswitch.decisions.placement import Place, PlacementRequest
from banyanswitch.exceptions import UpstreamBrokenError
from banyanswitch.helpers.run_identity import RunIdentity
from banyanswitch.identifiers import (
    RunId,
    ServiceName,
    UpstreamId,
    WeightVersion,
    WorkspaceId,
)

RUN = RunId("r")
UPSTREAM = UpstreamId("u")
WORKSPACE = WorkspaceId("w")
SERVICE = ServiceName("counter")
Call = Callable[..., Awaitable[CompleteResponse]]


def make_attempt(url: str) -> Attempt:
    place = Place(
        run=RUN,
        upstream=UPSTREAM,
        expected_first_token_s=0.0,
        expected_cached_pieces=0,
        prefill_tokens=0,
    )
    request = PlacementRequest(
        run=RUN, workspace=WORKSPACE, service=SERVICE, weight_version=None
    )
    identity = RunIdentity(UPSTREAM, SERVICE, WORKSPACE, WeightVersion(""), 1)
    return Attempt(RUN, identity, place, request, url)


@pytest.fixture
async def async_call() -> AsyncIterator[Call]:
    """Call an upstream that sends a response as given and closes in order."""
    client = UpstreamClient()
    servers = []

    async def async_respond(
        headers: bytes, body: bytes, status: bytes = b"200 OK"
    ) -> CompleteResponse:
        async def async_script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            head = b"HTTP/1.1 " + status + b"\r\nConnection: close\r\n"
            identity = f"{HEADER_RUN_ID}: {RUN}\r\n{HEADER_WORKSPACE}: {WORKSPACE}\r\n"
            writer.write(head + identity.encode() + headers + b"\r\n" + body)
            writer.close()

        server = await asyncio.start_server(async_script, "127.0.0.1", 0)
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        attempt = make_attempt(f"http://127.0.0.1:{port}")
        call = UpstreamRequest("GET", f"{attempt.url}/x")
        return await client.async_call_once(attempt, call, 5.0)

    yield async_respond
    await client.async_close()
    for server in servers:
        server.close()


# Guards against a response that broke off and is stored and sent as a complete one.
@pytest.mark.parametrize(
    ("headers", "body"),
    [
        (b"Content-Type: application/json\r\n", b'{"total": 12, "items": ["a"'),
        (b"Content-Type: application/json\r\n", b"12"),
        (b"Content-Type: text/plain\r\n", b"half of the te"),
        (b"", b""),
    ],
)
async def test_response_without_a_visible_end_is_broken(
    async_call: Call, headers: bytes, body: bytes
) -> None:
    with pytest.raises(UpstreamBrokenError, match="neither a length nor chunks"):
        await async_call(headers, body)


# Guards against the loss of complete responses from upstreams that send no length.
@pytest.mark.parametrize("body", [b'{"total": 12}', b"[1, 2]\n", b'"text"'])
async def test_whole_document_is_complete_without_a_length(
    async_call: Call, body: bytes
) -> None:
    response = await async_call(b"Content-Type: application/json\r\n", body)
    assert response.body == body


@pytest.mark.parametrize(
    ("headers", "body", "expected"),
    [
        (b"Content-Length: 4\r\n", b"text", b"text"),
        (b"Transfer-Encoding: chunked\r\n", b"4\r\ntext\r\n0\r\n\r\n", b"text"),
    ],
)
async def test_framed_response_needs_no_other_end(
    async_call: Call, headers: bytes, body: bytes, expected: bytes
) -> None:
    assert (await async_call(headers, body)).body == expected


# Guards against an answer to a caller with a status that is none of HTTP.
@pytest.mark.parametrize("status", [b"000 X", b"099 X", b"101 X", b"600 X", b"999 X"])
async def test_response_with_an_unknown_status_is_broken(
    async_call: Call, status: bytes
) -> None:
    with pytest.raises(UpstreamBrokenError, match=status[:3].decode()):
        await async_call(b"Content-Length: 4\r\n", b"text", status)
