"""Documents that callers send."""

from typing import Any

import msgspec


class CompletionBody(msgspec.Struct, frozen=True):
    """Fields of a completion request that the product reads.

    The body is forwarded as it came; other fields are the upstream's matter.
    """

    model: str
    messages: list[msgspec.Raw] | None = None
    prompt: msgspec.Raw | None = None
    max_tokens: int | None = None
    stream: bool = False


class PieceText(msgspec.Struct, frozen=True):
    """Message fields that make up the prompt."""

    role: str
    content: Any
