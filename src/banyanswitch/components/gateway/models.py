"""Request bodies sent by callers."""

from typing import Any

import msgspec


class CompletionBody(msgspec.Struct, frozen=True):
    """Fields of a completion request that the gateway validates or uses.

    The body is forwarded unchanged. The upstream interprets the other fields.
    """

    model: str
    messages: list[msgspec.Raw] | None = None
    prompt: msgspec.Raw | None = None
    max_tokens: int | None = None
    stream: bool = False


class PromptMessage(msgspec.Struct, frozen=True):
    """Fields of a chat message that are part of the prompt."""

    role: str
    content: Any
