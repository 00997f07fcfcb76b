"""Messages of the table service and answers of the platform."""

from dataclasses import dataclass

import msgspec

from banyanswitch.interfaces import Item, Write


@dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """Answer to one HTTP call to the platform."""

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
    """Body of a transaction; contents travel as base64."""

    writes: list[Write]


class ItemsAnswer(msgspec.Struct, frozen=True):
    """Answer to a read."""

    items: list[Item]


class RevisionsAnswer(msgspec.Struct, frozen=True):
    """Answer to a transaction that was applied."""

    revisions: list[int]


class FailedKeysAnswer(msgspec.Struct, frozen=True):
    """Answer to a transaction whose conditions failed."""

    failed_keys: list[str]
