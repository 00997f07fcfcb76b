"""Client of the platform's table service."""

import asyncio
from collections.abc import Sequence
from typing import TypeVar

import msgspec

from banyanswitch.components.table_service.const import MAX_TRANSACTION_WRITES
from banyanswitch.components.table_service.http_client import PlatformClient
from banyanswitch.components.table_service.models import (
    ConflictResponse,
    GetRequest,
    ItemsResponse,
    PlatformResponse,
    QueryRequest,
    RevisionsResponse,
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

ResponseT = TypeVar("ResponseT")

STATUS_OK = 200
STATUS_CONFLICT = 409


class HttpTableStore:
    """Table service over HTTP; implements ``TableStore``.

    Parameters
    ----------
    client : PlatformClient
        HTTP client of the service.
    budget : WriteBudget
        Limit on the writes of this instance.
    """

    def __init__(self, client: PlatformClient, budget: WriteBudget) -> None:
        self._client = client
        self._budget = budget

    async def async_get(self, keys: Sequence[str]) -> tuple[Item, ...]:
        """Return the items that exist, read consistently.

        Raises
        ------
        PlatformUnavailableError
            If the service can't be read or its response can't be decoded.
        PlatformError
            If the service refuses the request.
        """
        if not keys:
            return ()
        body = msgspec.json.encode(GetRequest(list(keys)))
        response = await self._client.async_read("POST", "/table/get", body)
        return _items(response)

    async def async_query(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> tuple[Item, ...]:
        """Return items whose key starts with ``prefix``, in the order of keys.

        Only keys greater than ``after`` are returned.

        Raises
        ------
        PlatformUnavailableError
            If the service can't be read or its response can't be decoded.
        PlatformError
            If the service refuses the request.
        """
        body = msgspec.json.encode(QueryRequest(prefix, after, limit))
        response = await self._client.async_read("POST", "/table/query", body)
        return _items(response)

    async def async_transact(
        self, writes: Sequence[Write], write_class: WriteClass
    ) -> tuple[int, ...]:
        """Apply all writes or none, and return the new revisions.

        Raises
        ------
        WriteBudgetExceededError
            If the write budget is exhausted or the service throttles the write.
        ConditionFailedError
            If an item has another revision than expected; nothing was written.
        PlatformUnavailableError
            If the service did not accept the request; nothing was written.
        PlatformOutcomeUnknownError
            If no clear response came; the writes may have been applied.
        PlatformError
            If there are too many writes, or the service refuses the request.
        """
        if not writes:
            return ()
        if len(writes) > MAX_TRANSACTION_WRITES:
            raise PlatformError(f"{len(writes)} writes exceed one transaction")
        now_s = asyncio.get_running_loop().time()
        self._budget.admit(write_class, len(writes), now_s)
        body = msgspec.json.encode(TransactRequest(list(writes)))
        try:
            response = await self._client.async_write("POST", "/table/transact", body)
        except WriteBudgetExceededError:
            self._budget.on_throttled(asyncio.get_running_loop().time())
            raise
        if response.status == STATUS_CONFLICT:
            failed_keys = _decode_write_response(response, ConflictResponse).failed_keys
            raise ConditionFailedError(failed_keys)
        if response.status != STATUS_OK:
            raise PlatformError(f"transaction refused with status {response.status}")
        return tuple(_decode_write_response(response, RevisionsResponse).revisions)


def _items(response: PlatformResponse) -> tuple[Item, ...]:
    if response.status != STATUS_OK:
        raise PlatformError(f"read refused with status {response.status}")
    try:
        return tuple(msgspec.json.decode(response.body, type=ItemsResponse).items)
    except msgspec.DecodeError as error:
        raise PlatformUnavailableError(f"unreadable answer: {error}") from error


def _decode_write_response(
    response: PlatformResponse, response_type: type[ResponseT]
) -> ResponseT:
    try:
        return msgspec.json.decode(response.body, type=response_type)
    except msgspec.DecodeError as error:
        raise PlatformOutcomeUnknownError(f"unreadable answer: {error}") from error
