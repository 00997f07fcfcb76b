"""Request and response bodies of the table service."""

from dataclasses import dataclass

import msgspec

from banyanswitch.interfaces import Item, Write


@dataclass(frozen=True, slots=True)
class PlatformResponse:
    """Response to one HTTP request to the platform."""

    status: int
    body: bytes
    retry_after_s: float | None


class GetRequest(msgspec.Struct, frozen=True):
    """Body of a read by keys."""

    keys: list[str]


class QueryRequest(msgspec.Struct, frozen=True):
    """Body of a read by prefix."""

    prefix: str
    after: str
    limit: int


class TransactRequest(msgspec.Struct, frozen=True):
    """Body of a transaction; values are encoded as base64."""

    writes: list[Write]


class ItemsResponse(msgspec.Struct, frozen=True):
    """Response to a read."""

    items: list[Item]


class RevisionsResponse(msgspec.Struct, frozen=True):
    """Response to a transaction that was applied."""

    revisions: list[int]


class ConflictResponse(msgspec.Struct, frozen=True):
    """Response to a transaction whose conditions failed (status 409)."""

    failed_keys: list[str]
