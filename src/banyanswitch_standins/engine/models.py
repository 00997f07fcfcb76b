"""Messages and options of the stand-in engine."""

from dataclasses import dataclass
from hashlib import sha256
from typing import Final, Literal

import msgspec
from aiohttp import web

DEFAULT_MAX_TOKENS: Final = 16
INTERACTIVE_RANK: Final = 0
BATCH_RANK: Final = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineOptions:
    """Speed, size and behaviour of one engine.

    Parameters
    ----------
    max_queued : int
        Waiting requests beyond which new ones get 429.
    cache_pieces : int
        Pieces that the prefix cache holds.
    piece_tokens : int
        Prompt tokens in one piece.
    block_bytes : int
        Size of the KV cache of one piece in transfers.
    weights_url : str
        Weight store to load from; empty loads without one.
    load_s : float
        Time to load weights once they have arrived, in seconds.
    load_lag_s, event_lag_s : float
        Age of load reports and of cache events, in seconds.
    keep_runs_s : float
        Time for which an ended run can be read again, in seconds.
    orphan_s : float
        Time for which a run without a reader goes on, in seconds.
    """

    upstream: str = "engine"
    service: str = "model"
    version: str = "v1"
    slots: int = 8
    max_queued: int = 256
    prefill_tokens_per_s: float = 8000.0
    decode_tokens_per_s: float = 50.0
    cache_pieces: int = 64
    piece_tokens: int = 4000
    block_bytes: int = 16 * 1024
    weights_url: str = ""
    load_s: float = 1.0
    checks_fencing: bool = True
    load_lag_s: float = 0.0
    event_lag_s: float = 0.0
    keep_runs_s: float = 120.0
    orphan_s: float = 30.0


class CompletionRequest(msgspec.Struct):
    """The fields of a completion request that the engine reads."""

    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False


class Order(msgspec.Struct):
    """Body of ``POST /engine/orders``."""

    kind: Literal["load_weights", "set_leaving"]
    fencing_token: int
    expires_at_unix_s: float
    version: str | None = None
    is_leaving: bool = False


class ExportRequest(msgspec.Struct):
    """Body of ``POST /engine/kv/export``; blocks are named prefix and key."""

    keys: list[str]
    store_url: str
    manifest: str
    block_prefix: str = ""


class BlockReference(msgspec.Struct, frozen=True):
    """A block in a store; the digest is SHA-256 in hexadecimal."""

    key: str
    block: str
    digest: str
    size_bytes: int


class ImportRequest(msgspec.Struct):
    """Body of ``POST /engine/kv/import``."""

    store_url: str
    weight_version: str
    cache_salt: str
    pieces: list[BlockReference]


class DropRequest(msgspec.Struct):
    """Body of ``POST /engine/cache/drop``."""

    keys: list[str]


@dataclass(frozen=True, slots=True)
class RunRequest:
    """One completion request as read from its headers and body."""

    run_id: str
    workspace: str
    weight_version: str
    cache_salt: str
    rank: int
    pieces: tuple[str, ...]
    prompt_tokens: int
    prompt_digest: str
    max_tokens: int
    is_stream: bool
    is_chat: bool


async def async_parse_request(request: web.Request) -> RunRequest:
    """Read a completion request."""
    content = await request.read()
    body = msgspec.json.decode(content, type=CompletionRequest)
    headers = request.headers
    pieces = headers.get("X-Banyan-Pieces", "")
    is_batch = headers.get("X-Banyan-Priority") == "batch"
    digest = sha256(content).hexdigest()
    return RunRequest(
        run_id=headers.get("X-Banyan-Run-Id", digest),
        workspace=headers.get("X-Banyan-Workspace", ""),
        weight_version=headers.get("X-Banyan-Weight-Version", ""),
        cache_salt=headers.get("X-Banyan-Cache-Salt", ""),
        rank=BATCH_RANK if is_batch else INTERACTIVE_RANK,
        pieces=tuple(piece for piece in pieces.split(",") if piece),
        prompt_tokens=int(headers.get("X-Banyan-Prompt-Tokens", "0")),
        prompt_digest=digest,
        max_tokens=body.max_tokens,
        is_stream=body.stream,
        is_chat=request.path.endswith("/chat/completions"),
    )


def expected_token(version: str, prompt_digest: str, offset: int) -> str:
    """Return the token that an engine generates at an offset of an answer."""
    source = f"{version}|{prompt_digest}|{offset}".encode()
    return f"t{sha256(source).hexdigest()[:8]} "


def expected_text(version: str, prompt_digest: str, max_tokens: int) -> str:
    """Return the whole answer that an engine generates."""
    tokens = (expected_token(version, prompt_digest, i) for i in range(max_tokens))
    return "".join(tokens)
