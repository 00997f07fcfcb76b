"""Callers that send requests continuously and record the results."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import Final

import aiohttp

from bench.callers import (
    Caller,
    RefusedError,
    StreamBrokenError,
    WrongResponseError,
    completion_body,
)
from bench.fleet import MODEL

RESPONSE_TOKENS: Final = 8
RETRY_DELAY_S: Final = 0.2
NOT_RUN: Final = "not_run"


@dataclass(slots=True)
class LoadReport:
    """Results of the requests of all callers.

    Parameters
    ----------
    refused : Counter of str
        Number of requests that were refused as not run, by problem code.
    failures : list of str
        Errors of requests with a broken stream or a wrong response, and of refused
        requests that may have run.
    """

    answered: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    failures: list[str] = field(default_factory=list)


async def async_keep_calling(
    caller: Caller, url: str, index: int, stop: asyncio.Event, report: LoadReport
) -> None:
    """Send requests one after another until stopped or until one fails.

    A request that is refused as not run is counted, and the next one is sent after
    `RETRY_DELAY_S`. The address of the entry is queried again when its time to live
    has passed.
    """
    loop = asyncio.get_running_loop()
    valid_until_s = 0.0
    number = 0
    while not stop.is_set():
        number += 1
        body = completion_body(
            MODEL, f"caller {index} request {number}", RESPONSE_TOKENS
        )
        try:
            if loop.time() >= valid_until_s:
                requested_at_s = loop.time()
                addresses = await caller.async_addresses(url)
                valid_until_s = requested_at_s + addresses.ttl_s
                url = addresses.urls[index % len(addresses.urls)]
            response = await caller.async_stream(url, body)
            response.check(RESPONSE_TOKENS)
        except RefusedError as error:
            if error.refusal.run != NOT_RUN:
                report.failures.append(f"caller {index} at {url}: {error!r}")
                return
            report.refused[error.refusal.code] += 1
            await asyncio.sleep(RETRY_DELAY_S)
            continue
        except (StreamBrokenError, WrongResponseError, aiohttp.ClientError) as error:
            report.failures.append(f"caller {index} at {url}: {error!r}")
            return
        report.answered += 1
