"""Results of orders to the engine stand-in, and a run in progress during a load."""

import asyncio
import contextlib
import hashlib
import itertools
import json
import time
from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp.test_utils import TestClient, TestServer

from banyanswitch.components.http1.library_limits import LimitedConnector
from banyanswitch.components.weights.models import LoadOrder, OrderResult
from banyanswitch.components.weights.order_sender import HttpOrderSender
from banyanswitch.identifiers import InstanceId, UpstreamId, WeightVersion
from banyanswitch_standins.engine import EngineStandIn
from banyanswitch_standins.engine.models import expected_token
from tests.fakes.endless import interim_responses

TIMEOUT_S = 0.5
TOKENS = 40
NEW = WeightVersion("v2")


@pytest.fixture
async def engine() -> AsyncIterator[TestClient]:
    stand_in = EngineStandIn(load_s=0.05, decode_tokens_per_s=100.0)
    client = TestClient(TestServer(stand_in.build_application()))
    await client.start_server()
    yield client
    await client.close()


@pytest.fixture
async def sender() -> AsyncIterator[HttpOrderSender]:
    async with aiohttp.ClientSession() as session:
        yield HttpOrderSender(session, InstanceId("i1"))


def order_of(token: int, lifetime_s: float = 60.0) -> LoadOrder:
    return LoadOrder(UpstreamId("u0"), NEW, token, time.time() + lifetime_s)


@pytest.mark.parametrize(
    ("token", "lifetime_s", "expected"),
    [
        (5, 60.0, OrderResult.ACCEPTED),
        (6, 60.0, OrderResult.ACCEPTED),
        (4, 60.0, OrderResult.STALE_FENCING_TOKEN),
        (5, -1.0, OrderResult.EXPIRED),
    ],
)
async def test_result_of_an_order_after_token_five(
    *,
    engine: TestClient,
    sender: HttpOrderSender,
    token: int,
    lifetime_s: float,
    expected: OrderResult,
) -> None:
    url = str(engine.make_url(""))
    await sender.async_send(url, order_of(5), TIMEOUT_S)
    result = await sender.async_send(url, order_of(token, lifetime_s), TIMEOUT_S)
    assert result is expected


@pytest.mark.parametrize("kind", ["lose_answer", "refuse", "delay"])
async def test_lost_answer_leaves_the_outcome_unknown(
    engine: TestClient, sender: HttpOrderSender, kind: str
) -> None:
    fault = {"route": "/engine/orders", "kind": kind, "times": 1, "delay_s": 60.0}
    await engine.post("/faults", json=fault)
    url = str(engine.make_url(""))
    result = await sender.async_send(url, order_of(1), TIMEOUT_S)
    assert result is OrderResult.OUTCOME_UNKNOWN


async def test_order_to_a_stopped_upstream_is_not_sent(
    engine: TestClient, sender: HttpOrderSender
) -> None:
    url = str(engine.make_url(""))
    await engine.server.close()
    result = await sender.async_send(url, order_of(1), TIMEOUT_S)
    assert result is OrderResult.NOT_SENT


async def test_run_keeps_its_version_during_a_load(
    engine: TestClient, sender: HttpOrderSender
) -> None:
    body = json.dumps(
        {"model": "model", "messages": [], "max_tokens": TOKENS, "stream": True}
    )
    headers = {
        "X-Banyan-Run-Id": "r1",
        "X-Banyan-Workspace": "w1",
        "X-Banyan-Weight-Version": "v1",
    }
    run = await engine.post("/v1/completions", data=body, headers=headers)
    first = (await run.content.readline()).decode()
    result = await sender.async_send(str(engine.make_url("")), order_of(1), TIMEOUT_S)
    while True:
        load = await (await engine.get("/engine/load")).json()
        if load["weight_version"] == NEW:
            break
        await asyncio.sleep(0.01)
    rest = (await run.read()).decode()
    refused = await engine.post("/v1/completions", data=body, headers=headers)
    assert result is OrderResult.ACCEPTED
    assert run.headers["X-Banyan-Weight-Version"] == "v1"
    assert "[DONE]" in rest
    digest = hashlib.sha256(body.encode()).hexdigest()
    tokens = [expected_token("v1", digest, offset) for offset in range(TOKENS)]
    assert [token for token in tokens if token not in first + rest] == []
    assert refused.status == 409


# Guards against an error of the HTTP library that stops the sending of orders.
async def test_outcome_is_unknown_after_interim_responses_without_end() -> None:
    async def async_script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            for part in itertools.islice(interim_responses(), 1000):
                writer.write(part)
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(async_script, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    async with aiohttp.ClientSession(connector=LimitedConnector()) as session:
        limited_sender = HttpOrderSender(session, InstanceId("i1"))
        result = await limited_sender.async_send(url, order_of(5), TIMEOUT_S)
    assert result is OrderResult.OUTCOME_UNKNOWN
    server.close()
