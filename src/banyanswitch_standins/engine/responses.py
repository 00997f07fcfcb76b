"""Completion responses and event streams of the stand-in engine."""

from collections.abc import Iterator
from typing import Final

import msgspec
from aiohttp import web

from banyanswitch_standins.app import build_json_response
from banyanswitch_standins.engine.models import RunRequest
from banyanswitch_standins.engine.runs import Run
from banyanswitch_standins.faults import (
    REQUEST_FAULTS,
    Fault,
    FaultKind,
    close_connection,
)

FINISHED: Final = "[DONE]"


def encode_event(run: Run, offset: int) -> bytes:
    """Return the server-sent event of the token at ``offset``, or the final event."""
    run_id = run.request.run_id
    if offset < len(run.tokens):
        data = _encode_chunk(run.request, run.tokens[offset])
    else:
        data = FINISHED
    return f"id: {run_id}:{offset}\ndata: {data}\n\n".encode()


def completion_response(run: Run, headers: dict[str, str]) -> web.Response:
    """Return the completion of a run as one JSON document."""
    text = "".join(run.tokens)
    message: dict[str, object] = {"text": text}
    if run.request.is_chat:
        message = {"message": {"role": "assistant", "content": text}}
    choice = {"index": 0, "finish_reason": "stop", **message}
    usage = {
        "prompt_tokens": run.request.prompt_tokens,
        "completion_tokens": len(run.tokens),
    }
    content = {
        "id": run.request.run_id,
        "object": "chat.completion" if run.request.is_chat else "text_completion",
        "choices": [choice],
        "usage": usage,
    }
    return build_json_response(content, headers=headers)


async def async_send_events(
    request: web.Request, response: web.StreamResponse, run: Run, first: int
) -> None:
    """Send the events of a run from the offset ``first`` to the final event.

    The connection is aborted if the run ends before its last token, or by a ``CUT``
    fault.
    """
    faults = request[REQUEST_FAULTS]
    for sent, offset in enumerate(_event_offsets(faults, run, first)):
        await run.async_wait(offset)
        is_cut_short = run.is_ended and len(run.tokens) < run.request.max_tokens
        if is_cut_short and offset >= len(run.tokens):
            close_connection(request)
            return
        for event in _apply_faults(faults, run, sent, offset):
            if event is None:
                close_connection(request)
                return
            await response.write(event)


def _event_offsets(faults: list[Fault], run: Run, first: int) -> list[int]:
    offsets = list(range(first, run.request.max_tokens + 1))
    for fault in faults:
        index = fault.after_events
        if fault.kind is FaultKind.REORDER and index + 1 < len(offsets):
            offsets[index : index + 2] = reversed(offsets[index : index + 2])
    return offsets


def _apply_faults(
    faults: list[Fault], run: Run, sent: int, offset: int
) -> Iterator[bytes | None]:
    """Yield the bytes to send for one event; ``None`` aborts the connection."""
    kinds = {fault.kind for fault in faults if fault.after_events == sent}
    if FaultKind.CUT in kinds:
        yield None
        return
    event = encode_event(run, offset)
    if FaultKind.CROSS in kinds:
        run_id = run.request.run_id.encode()
        yield event.replace(run_id, b"other-" + run_id)
    if FaultKind.DUPLICATE in kinds:
        yield event
    yield event


def _encode_chunk(request: RunRequest, token: str) -> str:
    choice: dict[str, object] = {"index": 0, "text": token}
    if request.is_chat:
        choice = {"index": 0, "delta": {"content": token}}
    content = {
        "id": request.run_id,
        "object": "chat.completion.chunk" if request.is_chat else "text_completion",
        "choices": [choice],
    }
    return msgspec.json.encode(content).decode()
