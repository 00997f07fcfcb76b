"""Client of the platform's table service."""

import asyncio
from collections.abc import Sequence
from typing import TypeVar

import msgspec

from banyanswitch.components.table_service.const import MAX_TRANSACTION_WRITES
from banyanswitch.components.table_service.http_client import PlatformClient
from banyanswitch.components.table_service.models import (
    FailedKeysAnswer,
    GetRequest,
    ItemsAnswer,
    PlatformAnswer,
    QueryRequest,
    RevisionsAnswer,
    TransactRequest,
)
from banyanswitch.components.table_service.write_budget import WriteBudget
from banyanswitch.exceptions import (
    ConditionFailedError,
    PlatformError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    WriteBudgetExceededError,
)
from banyanswitch.interfaces import Item, Write, WriteClass

AnswerT = TypeVar("AnswerT")

STATUS_OK = 200
STATUS_CONFLICT = 409


class HttpTableStore:
    """Table service over HTTP; implements ``TableStore``.

    Parameters
    ----------
    client : PlatformClient
        Makes the calls.
    budget : WriteBudget
        Bounds the writes of this instance.
    """

    def __init__(self, client: PlatformClient, budget: WriteBudget) -> None:
        self._client = client
        self._budget = budget

    async def async_get(self, keys: Sequence[str]) -> tuple[Item, ...]:
        """Return the items that exist, read consistently."""
        if not keys:
            return ()
        body = msgspec.json.encode(GetRequest(list(keys)))
        answer = await self._client.async_read("POST", "/table/get", body)
        return _items(answer)

    async def async_query(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> tuple[Item, ...]:
        """Return items whose key starts with ``prefix``, in the order of keys."""
        body = msgspec.json.encode(QueryRequest(prefix, after, limit))
        answer = await self._client.async_read("POST", "/table/query", body)
        return _items(answer)

    async def async_transact(
        self, writes: Sequence[Write], write_class: WriteClass
    ) -> tuple[int, ...]:
        """Apply all writes or none, and return the new revisions."""
        if not writes:
            return ()
        if len(writes) > MAX_TRANSACTION_WRITES:
            raise PlatformError(f"{len(writes)} writes exceed one transaction")
        now_s = asyncio.get_running_loop().time()
        self._budget.admit(write_class, len(writes), now_s)
        body = msgspec.json.encode(TransactRequest(list(writes)))
        try:
            answer = await self._client.async_write("POST", "/table/transact", body)
        except WriteBudgetExceededError:
            self._budget.on_refused(asyncio.get_running_loop().time())
            raise
        if answer.status == STATUS_CONFLICT:
            failed_keys = _decode_write_answer(answer, FailedKeysAnswer).failed_keys
            raise ConditionFailedError(failed_keys)
        if answer.status != STATUS_OK:
            raise PlatformError(f"transaction refused with status {answer.status}")
        return tuple(_decode_write_answer(answer, RevisionsAnswer).revisions)


def _items(answer: PlatformAnswer) -> tuple[Item, ...]:
    if answer.status != STATUS_OK:
        raise PlatformError(f"read refused with status {answer.status}")
    try:
        return tuple(msgspec.json.decode(answer.body, type=ItemsAnswer).items)
    except msgspec.DecodeError as error:
        raise PlatformUnavailableError(f"unreadable answer: {error}") from error


def _decode_write_answer(answer: PlatformAnswer, answer_type: type[AnswerT]) -> AnswerT:
    try:
        return msgspec.json.decode(answer.body, type=answer_type)
    except msgspec.DecodeError as error:
        raise PlatformOutcomeUnknownError(f"unreadable answer: {error}") from error
