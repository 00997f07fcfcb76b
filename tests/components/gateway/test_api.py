"""Test the contract of each endpoint of the HTTP API for callers."""

import asyncio
import json
from typing import Any

import aiohttp
import pytest

from banyanswitch.config.models import Limits
from banyanswitch_standins.engine.models import BATCH_RANK, INTERACTIVE_RANK

from .conftest import MAX_BODY_BYTES, Api

CHAT = "/v1/chat/completions"
MESSAGES = [{"role": "user", "content": "hello"}]


def _body(**changes: Any) -> str:
    """Return a request body with changed fields, without those set to ``()``."""
    fields = {"model": "model", "messages": MESSAGES, "max_tokens": 4} | changes
    return json.dumps({name: value for name, value in fields.items() if value != ()})


async def _async_problem(response: aiohttp.ClientResponse) -> dict[str, Any]:
    assert response.content_type == "application/problem+json"
    document: dict[str, Any] = json.loads(await response.read())
    assert document["status"] == response.status
    assert document["type"].endswith(document["code"])
    return document


async def _async_event_ids(response: aiohttp.ClientResponse) -> list[str]:
    text = (await response.read()).decode()
    return [line[4:] for line in text.splitlines() if line.startswith("id: ")]


async def test_complete_response(api: Api) -> None:
    async with api.session.post(CHAT, data=_body(), headers=api.headers()) as response:
        assert response.status == 200
        assert response.headers["X-Banyan-Run-Id"]
        document = await response.json()
    assert len(document["choices"][0]["message"]["content"].split()) == 4


async def test_streamed_response_and_its_resumption(api: Api) -> None:
    body = _body(stream=True)
    async with api.session.post(CHAT, data=body, headers=api.headers()) as response:
        assert response.content_type == "text/event-stream"
        ids = await _async_event_ids(response)
    assert [event_id.rpartition(":")[2] for event_id in ids] == [
        "0",
        "1",
        "2",
        "3",
        "4",
    ]
    headers = api.headers(**{"Last-Event-ID": ids[1]})
    async with api.session.get("/v1/streams", headers=headers) as response:
        assert await _async_event_ids(response) == ids[2:]
    async with api.session.post(CHAT, data=body, headers=headers) as response:
        assert await _async_event_ids(response) == ids[2:]


@pytest.mark.parametrize(
    ("workspace", "event_id", "status", "code"),
    [
        ("w1", "forged:0", 400, "invalid_resume_token"),
        ("w1", "", 400, "invalid_resume_token"),
        ("w1", "{run}:x", 400, "invalid_resume_token"),
        ("w1", "{run}:-1", 400, "invalid_resume_token"),
        ("w2", "{run}:0", 400, "invalid_resume_token"),
        ("w1", "{run}:900", 410, "run_gone"),
    ],
)
async def test_invalid_resume_tokens_are_refused(
    api: Api, workspace: str, event_id: str, status: int, code: str
) -> None:
    body = _body(stream=True)
    async with api.session.post(CHAT, data=body, headers=api.headers()) as response:
        run = response.headers["X-Banyan-Run-Id"]
        await response.read()
    headers = api.headers(workspace, **{"Last-Event-ID": event_id.format(run=run)})
    async with api.session.get("/v1/streams", headers=headers) as response:
        problem = await _async_problem(response)
    assert (problem["status"], problem["code"]) == (status, code)


@pytest.mark.parametrize(
    ("body", "status", "code", "place"),
    [
        ("{", 400, "not_json", None),
        ("[]", 400, "invalid_request", "body"),
        (_body(model=5), 400, "invalid_request", "body"),
        (_body(messages=()), 400, "invalid_request", "body"),
        (_body(messages=[{"content": "x"}]), 400, "invalid_request", "body"),
        (_body(max_tokens=0), 400, "invalid_request", "body"),
        (_body(model="other"), 404, "unknown_service", "model"),
        (_body(model="plain"), 404, "unknown_service", "model"),
        (
            _body(messages=[{"role": "user", "content": "x" * 5000}]),
            413,
            "prompt_too_long",
            "messages",
        ),
        ("x" * (MAX_BODY_BYTES + 1), 413, "body_too_large", None),
    ],
)
async def test_invalid_requests_are_refused_before_execution(
    api: Api, body: str, status: int, code: str, place: str | None
) -> None:
    async with api.session.post(CHAT, data=body, headers=api.headers()) as response:
        problem = await _async_problem(response)
    assert (problem["status"], problem["code"]) == (status, code)
    assert problem["run"] == "not_run"
    places = [finding["place"] for finding in problem.get("findings", [])]
    assert places == ([place] if place else [])


@pytest.mark.parametrize(
    "headers", [{}, {"Authorization": "Basic x"}, {"Authorization": "Bearer wrong"}]
)
async def test_invalid_bearer_keys_are_refused(
    api: Api, headers: dict[str, str]
) -> None:
    for path in ("/v1/addresses", "/v1/models", "/v1/streams"):
        async with api.session.get(path, headers=headers) as response:
            problem = await _async_problem(response)
        assert problem["code"] == "unauthenticated"
        assert problem["findings"][0]["place"] == "Authorization"


async def test_oversize_header_is_refused(api: Api) -> None:
    headers = api.headers(**{"Last-Event-ID": "x" * 40_000})
    async with api.session.get("/v1/streams", headers=headers) as response:
        assert response.status == 400


async def test_invalid_priority_is_refused(api: Api) -> None:
    headers = api.headers(**{"X-Banyan-Priority": "urgent"})
    async with api.session.post(CHAT, data=_body(), headers=headers) as response:
        assert (await _async_problem(response))["code"] == "invalid_priority"


async def test_rate_limited_response_has_retry_after(api: Api) -> None:
    api.configuration.limits = Limits(requests_per_s=0.5, concurrent_requests=8)
    statuses = []
    for _ in range(2):
        async with api.session.post(
            CHAT, data=_body(), headers=api.headers()
        ) as response:
            statuses.append(response.status)
    assert statuses == [200, 429]
    assert int(response.headers["Retry-After"]) >= 1


async def test_calls_with_same_idempotency_key_run_once(api: Api) -> None:
    headers = api.headers(**{"Idempotency-Key": "k1"})
    path = "/v1/services/plain/payout"
    answers = []
    for _ in range(2):
        async with api.session.post(path, data="{}", headers=headers) as response:
            answers.append(await response.json())
    assert answers[0] == answers[1]
    assert answers[0]["execution"] == 1
    async with api.session.post(path, data="[]", headers=headers) as response:
        problem = await _async_problem(response)
    assert (problem["code"], problem["run"]) == ("idempotency_key_reused", "not_run")


@pytest.mark.parametrize("key", ["x" * 129, "a\tb"])
async def test_invalid_idempotency_keys_are_refused(api: Api, key: str) -> None:
    headers = api.headers(**{"Idempotency-Key": key})
    async with api.session.post(
        "/v1/services/plain/payout", data="{}", headers=headers
    ) as response:
        assert (await _async_problem(response))["code"] == "invalid_idempotency_key"


async def test_addresses_models_and_health(api: Api) -> None:
    async with api.session.get("/v1/addresses", headers=api.headers()) as response:
        assert await response.json() == {
            "addresses": [{"url": "http://i1", "failure_domain": "fd-1"}],
            "ttl_s": 5.0,
        }
    async with api.session.get("/v1/models", headers=api.headers()) as response:
        assert [item["id"] for item in (await response.json())["data"]] == ["model"]
    async with api.session.get("/health/ready") as response:
        assert (await response.json())["status"] == "ready"
    api.configuration.revision = 0
    async with api.session.get("/health/ready") as response:
        assert (await _async_problem(response))["code"] == "not_ready"
    async with api.session.get("/health/live") as response:
        assert response.status == 200


async def test_run_is_cancelled_when_its_caller_disconnects(api: Api) -> None:
    body = _body(max_tokens=30_000)
    task = asyncio.ensure_future(
        api.session.post(CHAT, data=body, headers=api.headers())
    )
    while not api.engine.scheduler.running:
        await asyncio.sleep(0.01)
    task.cancel()
    async with asyncio.timeout(10.0):
        while api.engine.scheduler.running or api.server.request_tracker.count:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    ("prompt_tokens", "header", "priority"),
    [
        (10, None, "interactive"),
        (900, None, "batch"),
        (900, "interactive", "interactive"),
        (10, "batch", "batch"),
    ],
)
async def test_long_prompts_have_batch_priority_by_default(
    api: Api, prompt_tokens: int, header: str | None, priority: str
) -> None:
    content = "x" * (4 * prompt_tokens)
    body = _body(messages=[{"role": "user", "content": content}])
    more = {"X-Banyan-Priority": header} if header else {}
    async with api.session.post(
        CHAT, data=body, headers=api.headers(**more)
    ) as response:
        run_id = response.headers["X-Banyan-Run-Id"]
        await response.read()
    run = api.engine.scheduler.find(run_id)
    assert run is not None
    ranks = {"interactive": INTERACTIVE_RANK, "batch": BATCH_RANK}
    assert run.request.rank == ranks[priority]
