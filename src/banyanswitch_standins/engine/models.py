"""Options and request bodies of the stand-in engine, and its expected tokens."""

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
    """Speed, capacity and behaviour of one engine.

    Parameters
    ----------
    upstream : str
        Name of the upstream in load reports.
    service : str
        Service whose weights are loaded.
    version : str
        Weight version at start.
    slots : int
        Maximum number of concurrent runs.
    max_queued : int
        Number of queued requests at which new requests get 429.
    prefill_tokens_per_s, decode_tokens_per_s : float
        Rate of prefill, for all runs together, and of decoding, for each run.
    cache_pieces : int
        Capacity of the prefix cache in pieces.
    piece_tokens : int
        Prompt tokens in one piece.
    block_bytes : int
        Size of the KV cache of one piece in transfers, in bytes.
    weights_url : str
        URL of the weight store; if empty, nothing is downloaded.
    load_s : float
        Time to load weights after their download, in seconds.
    checks_fencing : bool
        Whether orders with a lower fencing token than an earlier order are refused.
    load_lag_s, event_lag_s : float
        Age of load reports and of cache events, in seconds.
    keep_runs_s : float
        Time for which a completed run can be read, in seconds. A run that is
        cancelled, also by the timer of ``orphan_s``, is removed at once.
    orphan_s : float
        Time after which a run that no stream reads any more is cancelled, in seconds.
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
    """Fields of a completion request that the engine uses."""

    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False


class Order(msgspec.Struct):
    """Body of ``POST /engine/orders``.

    A ``load_weights`` order without a version names the version that is loaded.
    """

    kind: Literal["load_weights", "set_leaving"]
    fencing_token: int
    expires_at_unix_s: float
    version: str | None = None
    is_leaving: bool = False


class ExportRequest(msgspec.Struct):
    """Body of ``POST /engine/kv/export``.

    A block is stored under ``block_prefix`` followed by the key of its piece.
    """

    keys: list[str]
    store_url: str
    manifest: str
    block_prefix: str = ""


class BlockReference(msgspec.Struct, frozen=True):
    """Block in a KV store that holds the KV cache of one piece.

    ``key`` names the piece and ``block`` the block; the digest is the SHA-256 of its
    content in hexadecimal.
    """

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
    """Completion request, decoded from its headers and body.

    Parameters
    ----------
    rank : int
        Order of admission; lower ranks are admitted first.
    pieces : tuple of str
        Keys of the prompt's pieces, in order.
    body_digest : str
        SHA-256 of the body, in hexadecimal; the generated tokens depend on it.
    """

    run_id: str
    workspace: str
    weight_version: str
    cache_salt: str
    rank: int
    pieces: tuple[str, ...]
    prompt_tokens: int
    body_digest: str
    max_tokens: int
    is_stream: bool
    is_chat: bool


async def async_parse_request(request: web.Request) -> RunRequest:
    """Decode a completion request.

    Raises
    ------
    msgspec.DecodeError
        If the body is not JSON or does not match ``CompletionRequest``.
    ValueError
        If ``X-Banyan-Prompt-Tokens`` is not an integer.
    """
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
        body_digest=digest,
        max_tokens=body.max_tokens,
        is_stream=body.stream,
        is_chat=request.path.endswith("/chat/completions"),
    )


def expected_token(version: str, body_digest: str, offset: int) -> str:
    """Return the token that an engine generates at an offset of a completion."""
    source = f"{version}|{body_digest}|{offset}".encode()
    return f"t{sha256(source).hexdigest()[:8]} "


def expected_text(version: str, body_digest: str, max_tokens: int) -> str:
    """Return the text of the whole completion that an engine generates."""
    tokens = (expected_token(version, body_digest, i) for i in range(max_tokens))
    return "".join(tokens)
