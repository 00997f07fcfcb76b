"""Callers of the entries: send requests, follow streams and check the answers."""

import asyncio
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from hashlib import sha256
from typing import Any, Final

import aiohttp

from banyanswitch_standins.engine.models import expected_token

HEADER_WEIGHT_VERSION: Final = "X-Banyan-Weight-Version"
HEADER_RUN_ID: Final = "X-Banyan-Run-Id"
EVENT_END: Final = b"\n\n"
FINISHED: Final = "[DONE]"


class StreamBrokenError(Exception):
    """A stream ended before its last event."""


class WrongResponseError(Exception):
    """An answer holds something that this caller must not get."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A problem document.

    Parameters
    ----------
    run : str
        Whether the request may have run.
    """

    status: int
    code: str
    run: str
    detail: str = ""


class RefusedError(Exception):
    """An entry answered with a problem document."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.status} {refusal.code} ({refusal.run})")
        self.refusal = refusal


@dataclass(slots=True)
class StreamedResponse:
    """What one caller has received of one stream.

    Parameters
    ----------
    last_event_id : str
        Identifier with which the stream can be resumed elsewhere.
    """

    body: bytes
    weight_version: str = ""
    last_event_id: str = ""
    tokens: list[str] = field(default_factory=list)
    is_done: bool = False
    first_token_s: float = 0.0

    def check(self, max_tokens: int) -> None:
        """Check that this is the whole answer to this request.

        Raises
        ------
        WrongResponseError
            If a token is missing, doubled, foreign or out of order.
        """
        digest = sha256(self.body).hexdigest()
        wanted = [
            expected_token(self.weight_version, digest, offset)
            for offset in range(max_tokens)
        ]
        if not self.is_done or self.tokens != wanted:
            raise WrongResponseError(
                f"{len(self.tokens)} tokens for {max_tokens}, "
                f"version {self.weight_version!r}, done {self.is_done}"
            )


@dataclass(frozen=True, slots=True)
class AddressResponse:
    """Entries that a caller may use.

    Parameters
    ----------
    ttl_s : float
        Time for which the answer may be kept, in seconds.
    """

    urls: tuple[str, ...]
    ttl_s: float


@dataclass(frozen=True, slots=True)
class Caller:
    """One caller with the key of its workspace."""

    session: aiohttp.ClientSession
    key: str

    @property
    def headers(self) -> dict[str, str]:
        """Headers of every request."""
        return {
            "Authorization": f"Bearer {self.key}",
            "Content-Type": "application/json",
        }

    async def async_addresses(self, url: str) -> AddressResponse:
        """Ask an entry which addresses to use, the preferred one first."""
        async with self.session.get(
            f"{url}/v1/addresses", headers=self.headers
        ) as response:
            await async_raise_refusal(response)
            document = await response.json()
        urls = tuple(address["url"] for address in document["addresses"])
        return AddressResponse(urls, document["ttl_s"])

    async def async_follow(
        self, url: str, answer: StreamedResponse
    ) -> AsyncIterator[str]:
        """Start or resume a stream and yield its tokens as they arrive.

        Raises
        ------
        RefusedError
            If the entry refused.
        StreamBrokenError
            If the stream ended early; it can be resumed with the same answer.
        """
        started_at_s = asyncio.get_running_loop().time()
        headers = self.headers
        if answer.last_event_id:
            headers["Last-Event-ID"] = answer.last_event_id
        try:
            async with self.session.post(
                f"{url}/v1/chat/completions", data=answer.body, headers=headers
            ) as response:
                await async_raise_refusal(response)
                _pin_version(answer, response)
                async for event in _async_events(response):
                    token = _take_event(answer, event)
                    if token is None:
                        return
                    if len(answer.tokens) == 1:
                        now_s = asyncio.get_running_loop().time()
                        answer.first_token_s = now_s - started_at_s
                    yield token
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            raise StreamBrokenError(repr(error)) from error
        raise StreamBrokenError("the stream ended without its last event")

    async def async_stream(self, url: str, body: bytes) -> StreamedResponse:
        """Return a whole streamed answer from one entry."""
        answer = StreamedResponse(body)
        async for _token in self.async_follow(url, answer):
            pass
        return answer

    async def async_call(
        self, url: str, path: str, body: bytes, idempotency_key: str | None = None
    ) -> dict[str, Any]:
        """Call a plain service and return the JSON of its answer."""
        headers = self.headers
        if idempotency_key is not None:
            headers["Idempotency-Key"] = idempotency_key
        async with self.session.post(
            f"{url}/v1/services/{path}", data=body, headers=headers
        ) as response:
            await async_raise_refusal(response)
            document: dict[str, Any] = await response.json()
            return document


def completion_body(
    model: str, prompt: str, max_tokens: int, *, is_stream: bool = True
) -> bytes:
    """Return the body of a chat completion."""
    content = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": is_stream,
    }
    return json.dumps(content).encode()


async def async_raise_refusal(response: aiohttp.ClientResponse) -> None:
    """Raise the problem document of an answer, if it is one."""
    if response.status < 400:
        return
    raise RefusedError(_refusal(response.status, await response.read()))


def _refusal(status: int, body: bytes) -> Refusal:
    try:
        document = json.loads(body)
    except ValueError:
        return Refusal(status, "not_a_problem_document", "unknown")
    return Refusal(
        status,
        str(document.get("code", "")),
        str(document.get("run", "unknown")),
        str(document.get("detail", "")),
    )


def _pin_version(answer: StreamedResponse, response: aiohttp.ClientResponse) -> None:
    version = response.headers.get(HEADER_WEIGHT_VERSION, "")
    if answer.weight_version and answer.weight_version != version:
        raise WrongResponseError("the weight version changed within an answer")
    answer.weight_version = version


async def _async_events(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    rest = b""
    async for part in response.content.iter_any():
        events = (rest + part).split(EVENT_END)
        rest = events.pop()
        for event in events:
            yield event


def _take_event(answer: StreamedResponse, event: bytes) -> str | None:
    lines = dict(line.split(": ", 1) for line in event.decode().split("\n"))
    if lines.get("event") == "error":
        raise StreamBrokenError(lines["data"])
    offset = int(lines["id"].rpartition(":")[2])
    if offset != len(answer.tokens):
        raise WrongResponseError(f"offset {offset} after {len(answer.tokens)} tokens")
    answer.last_event_id = lines["id"]
    if lines["data"] == FINISHED:
        answer.is_done = True
        return None
    token: str = json.loads(lines["data"])["choices"][0]["delta"]["content"]
    answer.tokens.append(token)
    return token
