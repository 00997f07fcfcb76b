"""Clients of the entries that send requests, read streams and check responses."""

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
EVENT_SEPARATOR: Final = b"\n\n"
DONE_DATA: Final = "[DONE]"


class StreamBrokenError(Exception):
    """A stream failed: connection error, error event, or end before its last event."""


class WrongResponseError(Exception):
    """A response is incomplete or contains unexpected content."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Content of a problem document.

    Parameters
    ----------
    code : str
        Machine-readable reason.
    run : str
        Whether the request may have run: ``not_run``, ``partial`` or ``unknown``.
    """

    status: int
    code: str
    run: str
    detail: str = ""


class RefusedError(Exception):
    """An entry responded with a problem document."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.status} {refusal.code} ({refusal.run})")
        self.refusal = refusal


@dataclass(slots=True)
class StreamedResponse:
    """Part of a streamed response that a caller has received.

    Parameters
    ----------
    last_event_id : str
        Identifier of the last event, with which any entry can resume the stream.
    first_token_s : float
        Time from the start of the request to its first token, in seconds.
    """

    body: bytes
    weight_version: str = ""
    last_event_id: str = ""
    tokens: list[str] = field(default_factory=list)
    is_done: bool = False
    first_token_s: float = 0.0

    def check(self, max_tokens: int) -> None:
        """Check that this is the complete response to its request.

        Raises
        ------
        WrongResponseError
            If a token is missing, duplicated, foreign or out of order, or the last
            event has not been received.
        """
        digest = sha256(self.body).hexdigest()
        expected_tokens = [
            expected_token(self.weight_version, digest, offset)
            for offset in range(max_tokens)
        ]
        if not self.is_done or self.tokens != expected_tokens:
            raise WrongResponseError(
                f"response does not match: {len(self.tokens)} of {max_tokens} tokens, "
                f"version {self.weight_version!r}, last event received: {self.is_done}"
            )


@dataclass(frozen=True, slots=True)
class AddressResponse:
    """Entry addresses for one caller.

    Parameters
    ----------
    ttl_s : float
        Time for which the response may be cached, in seconds.
    """

    urls: tuple[str, ...]
    ttl_s: float


@dataclass(frozen=True, slots=True)
class Caller:
    """Client with the API key of its workspace."""

    session: aiohttp.ClientSession
    key: str

    @property
    def headers(self) -> dict[str, str]:
        """Headers that every request carries."""
        return {
            "Authorization": f"Bearer {self.key}",
            "Content-Type": "application/json",
        }

    async def async_addresses(self, url: str) -> AddressResponse:
        """Query an entry for the addresses to use, the preferred one first.

        Raises
        ------
        RefusedError
            If the entry refused.
        """
        async with self.session.get(
            f"{url}/v1/addresses", headers=self.headers
        ) as response:
            await async_raise_refusal(response)
            document = await response.json()
        urls = tuple(address["url"] for address in document["addresses"])
        return AddressResponse(urls, document["ttl_s"])

    async def async_follow(
        self, url: str, streamed: StreamedResponse
    ) -> AsyncIterator[str]:
        """Start or resume a stream and yield its tokens as they arrive.

        Raises
        ------
        RefusedError
            If the entry refused.
        StreamBrokenError
            If the stream ended early or the connection failed. Another call with the
            same object resumes the stream after the last event received, or starts it
            again if there was none.
        WrongResponseError
            If the weight version changed or an offset is out of order.
        """
        started_at_s = asyncio.get_running_loop().time()
        headers = self.headers
        if streamed.last_event_id:
            headers["Last-Event-ID"] = streamed.last_event_id
        try:
            async with self.session.post(
                f"{url}/v1/chat/completions", data=streamed.body, headers=headers
            ) as response:
                await async_raise_refusal(response)
                _check_weight_version(streamed, response)
                async for event in _async_events(response):
                    token = _apply_event(streamed, event)
                    if token is None:
                        return
                    if len(streamed.tokens) == 1:
                        now_s = asyncio.get_running_loop().time()
                        streamed.first_token_s = now_s - started_at_s
                    yield token
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            raise StreamBrokenError(repr(error)) from error
        raise StreamBrokenError("the stream ended without its last event")

    async def async_stream(self, url: str, body: bytes) -> StreamedResponse:
        """Send a request to one entry and return its complete streamed response."""
        streamed = StreamedResponse(body)
        async for _token in self.async_follow(url, streamed):
            pass
        return streamed

    async def async_call(
        self, url: str, path: str, body: bytes, idempotency_key: str | None = None
    ) -> dict[str, Any]:
        """Call a plain service and return the JSON document of its response.

        Raises
        ------
        RefusedError
            If the entry refused.
        """
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
    """Return the body of a chat completion request."""
    content = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": is_stream,
    }
    return json.dumps(content).encode()


async def async_raise_refusal(response: aiohttp.ClientResponse) -> None:
    """Raise the refusal if the response has an error status.

    Raises
    ------
    RefusedError
        If the status is 400 or above.
    """
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


def _check_weight_version(
    streamed: StreamedResponse, response: aiohttp.ClientResponse
) -> None:
    version = response.headers.get(HEADER_WEIGHT_VERSION, "")
    if streamed.weight_version and streamed.weight_version != version:
        raise WrongResponseError("the weight version changed within a response")
    streamed.weight_version = version


async def _async_events(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    rest = b""
    async for part in response.content.iter_any():
        events = (rest + part).split(EVENT_SEPARATOR)
        rest = events.pop()
        for event in events:
            yield event


def _apply_event(streamed: StreamedResponse, event: bytes) -> str | None:
    lines = dict(line.split(": ", 1) for line in event.decode().split("\n"))
    if lines.get("event") == "error":
        raise StreamBrokenError(lines["data"])
    offset = int(lines["id"].rpartition(":")[2])
    if offset != len(streamed.tokens):
        raise WrongResponseError(
            f"received offset {offset} after {len(streamed.tokens)} tokens"
        )
    streamed.last_event_id = lines["id"]
    if lines["data"] == DONE_DATA:
        streamed.is_done = True
        return None
    token: str = json.loads(lines["data"])["choices"][0]["delta"]["content"]
    streamed.tokens.append(token)
    return token
