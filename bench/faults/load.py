"""Load of a fault run: callers that retry requests and resume streams."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from hashlib import sha256
from typing import Final

import aiohttp

from bench.callers import (
    Caller,
    RefusedError,
    StreamBrokenError,
    StreamedResponse,
    WrongResponseError,
    completion_body,
)
from bench.faults.ledger import Ledger, PlainRecord, RequestOutcome
from bench.fleet import MODEL, PLAIN

PLAIN_SHARE: Final = 0.12
MIN_TOKENS: Final = 3
MAX_TOKENS: Final = 12
LONG_SHARE: Final = 0.02
LONG_TOKENS: Final = 600
PROMPTS: Final = 200
PROMPT_BYTES: Final = 400
MAX_ATTEMPTS: Final = 12
RETRY_DELAY_S: Final = 0.25
NOT_RUN: Final = "not_run"
# Codes of refusals after which the stream is started again instead of resumed.
LOST_RUN_CODES: Final = frozenset({"run_gone", "run_lost"})
TRANSPORT_ERRORS: Final = (aiohttp.ClientError, TimeoutError, ConnectionError)


@dataclass(frozen=True, slots=True)
class CallerContext:
    """State shared by the callers of a run.

    Parameters
    ----------
    total : int
        Minimum number of requests to send.
    are_faults_done : callable
        Returns whether the last fault action has finished.
    """

    callers: Sequence[Caller]
    urls: Sequence[str]
    ledger: Ledger
    total: int
    are_faults_done: Callable[[], bool]


async def async_call_until_done(context: CallerContext, seed: int) -> None:
    """Send requests until the total is reached and the last fault has finished."""
    generator = random.Random(seed)
    while context.ledger.offered < context.total or not context.are_faults_done():
        context.ledger.offered += 1
        number = context.ledger.offered
        caller = generator.choice(context.callers)
        if generator.random() < PLAIN_SHARE:
            await _async_plain(context, caller, generator, number)
        else:
            await _async_stream(context, caller, generator, number)


async def _async_stream(
    context: CallerContext, caller: Caller, generator: random.Random, number: int
) -> None:
    ledger = context.ledger
    tokens = generator.randint(MIN_TOKENS, MAX_TOKENS)
    if generator.random() < LONG_SHARE:
        tokens = LONG_TOKENS
    prompt = f"history {generator.randrange(PROMPTS)} " * (PROMPT_BYTES // 12)
    body = completion_body(MODEL, f"{prompt} request {number}", tokens)
    try:
        outcome = await _async_stream_with_retries(
            context, caller, generator, body, tokens
        )
    except WrongResponseError as error:
        ledger.record_outcome(
            "stream", RequestOutcome.WRONG, f"request {number}: {error}"
        )
        return
    ledger.record_outcome("stream", outcome, f"request {number}")


async def _async_stream_with_retries(
    context: CallerContext,
    caller: Caller,
    generator: random.Random,
    body: bytes,
    tokens: int,
) -> RequestOutcome:
    streamed = StreamedResponse(body)
    outcome = RequestOutcome.LOST
    for _ in range(MAX_ATTEMPTS):
        if streamed.last_event_id:
            context.ledger.resumed_streams += 1
        try:
            async for _token in caller.async_follow(
                generator.choice(context.urls), streamed
            ):
                pass
            streamed.check(tokens)
            return RequestOutcome.ANSWERED
        except RefusedError as error:
            context.ledger.refusals[error.refusal.code] += 1
            outcome = RequestOutcome.REFUSED
            if error.refusal.run != NOT_RUN:
                outcome = RequestOutcome.UNKNOWN
            if error.refusal.code in LOST_RUN_CODES:
                streamed = StreamedResponse(body)
        except StreamBrokenError as error:
            outcome = RequestOutcome.LOST
            if "run_lost" in str(error):
                context.ledger.refusals["run_lost"] += 1
                streamed = StreamedResponse(body)
        await asyncio.sleep(RETRY_DELAY_S)
    return outcome


async def _async_plain(
    context: CallerContext, caller: Caller, generator: random.Random, number: int
) -> None:
    body = f"purchase {number}".encode()
    outcome = RequestOutcome.LOST
    may_have_run = False
    for _ in range(MAX_ATTEMPTS):
        url = generator.choice(context.urls)
        try:
            document = await caller.async_call(
                url, f"{PLAIN}/purchases", body, f"key-{number}"
            )
            outcome = _classify_response(document, body)
            break
        except RefusedError as error:
            context.ledger.refusals[error.refusal.code] += 1
            is_not_run = error.refusal.run == NOT_RUN
            may_have_run = may_have_run or not is_not_run
            outcome = RequestOutcome.UNKNOWN if may_have_run else RequestOutcome.REFUSED
            if error.refusal.code == "outcome_unknown":
                break
        except TRANSPORT_ERRORS:
            may_have_run = True
            outcome = RequestOutcome.UNKNOWN
        await asyncio.sleep(RETRY_DELAY_S)
    digest = sha256(body).hexdigest()
    context.ledger.plain.append(PlainRecord(digest, outcome, may_have_run))
    context.ledger.record_outcome("plain", outcome, f"request {number}")


def _classify_response(document: dict[str, object], body: bytes) -> RequestOutcome:
    is_own = document.get("body_digest") == sha256(body).hexdigest()
    is_first = document.get("execution") == 1
    return RequestOutcome.ANSWERED if is_own and is_first else RequestOutcome.WRONG
