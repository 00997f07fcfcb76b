"""Callers that keep an entry busy and note every answer."""

import asyncio
from dataclasses import dataclass, field
from typing import Final

import aiohttp

from bench.callers import (
    Caller,
    RefusedError,
    StreamBrokenError,
    WrongAnswerError,
    completion_body,
)
from bench.fleet import MODEL

TOKENS: Final = 8
ADDRESS_TTL_S: Final = 2.0


@dataclass(slots=True)
class LoadReport:
    """Answers of all callers."""

    answered: int = 0
    failures: list[str] = field(default_factory=list)


async def async_keep_calling(
    caller: Caller, url: str, index: int, stop: asyncio.Event, report: LoadReport
) -> None:
    """Send requests one after another; ask for addresses when they run out."""
    loop = asyncio.get_running_loop()
    asked_at_s = loop.time()
    number = 0
    while not stop.is_set():
        number += 1
        body = completion_body(MODEL, f"caller {index} request {number}", TOKENS)
        try:
            if loop.time() - asked_at_s > ADDRESS_TTL_S:
                url = (await caller.async_addresses(url))[0]
                asked_at_s = loop.time()
            answer = await caller.async_stream(url, body)
            answer.check(TOKENS)
        except (
            RefusedError,
            StreamBrokenError,
            WrongAnswerError,
            aiohttp.ClientError,
        ) as error:
            report.failures.append(f"caller {index} at {url}: {error!r}")
            return
        report.answered += 1
