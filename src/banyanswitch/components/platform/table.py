"""Table service over HTTP."""

import asyncio
from collections.abc import Sequence

import msgspec

from banyanswitch.components.platform.client import (
    STATUS_CONFLICT,
    PlatformAnswer,
    PlatformClient,
)
from banyanswitch.components.platform.const import (
    MAX_ITEM_BYTES,
    MAX_WRITES_PER_TRANSACTION,
    ROUTE_TABLE_GET,
    ROUTE_TABLE_QUERY,
    ROUTE_TABLE_TRANSACT,
)
from banyanswitch.components.platform.models import (
    GetRequest,
    ItemsAnswer,
    QueryRequest,
    TransactAnswer,
    TransactRequest,
)
from banyanswitch.components.platform.write_budget import WriteBudget
from banyanswitch.exceptions import (
    ConditionFailedError,
    PlatformError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from banyanswitch.interfaces import Item, Write, WriteClass


class HttpTableStore:
    """Table service with a budget of writes.

    Parameters
    ----------
    client : PlatformClient
        Connection to the table service.
    budget : WriteBudget
        Writes that this instance may make.
    """

    def __init__(self, client: PlatformClient, budget: WriteBudget) -> None:
        self._client = client
        self._budget = budget

    async def async_get(self, keys: Sequence[str]) -> tuple[Item, ...]:
        """Return the items that exist, read consistently."""
        return await self._async_read(ROUTE_TABLE_GET, GetRequest(tuple(keys)))

    async def async_query(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> tuple[Item, ...]:
        """Return items whose key starts with ``prefix``, in the order of keys."""
        return await self._async_read(
            ROUTE_TABLE_QUERY, QueryRequest(prefix, after, limit)
        )

    async def async_transact(
        self, writes: Sequence[Write], write_class: WriteClass
    ) -> tuple[int, ...]:
        """Apply all writes or none, and return the new revisions."""
        _check_size(writes)
        now_s = asyncio.get_running_loop().time()
        self._budget.take(len(writes), write_class, now_s)
        body = msgspec.json.encode(TransactRequest(tuple(writes)))
        response = await self._client.async_call(
            "POST", ROUTE_TABLE_TRANSACT, body=body, has_effect=True
        )
        answer = _decode_transact_answer(response)
        if response.status == STATUS_CONFLICT:
            raise ConditionFailedError(answer.failed_keys)
        if len(answer.revisions) != len(writes):
            raise PlatformOutcomeUnknownError("table answered without all revisions")
        return answer.revisions

    async def _async_read(
        self, route: str, request: GetRequest | QueryRequest
    ) -> tuple[Item, ...]:
        response = await self._client.async_call(
            "POST", route, body=msgspec.json.encode(request), has_effect=False
        )
        try:
            return msgspec.json.decode(response.body, type=ItemsAnswer).items
        except msgspec.MsgspecError as error:
            raise PlatformUnavailableError(
                f"answer to {route} cannot be read"
            ) from error


def _decode_transact_answer(response: PlatformAnswer) -> TransactAnswer:
    try:
        return msgspec.json.decode(response.body, type=TransactAnswer)
    except msgspec.MsgspecError as error:
        raise PlatformOutcomeUnknownError(
            "answer to a transaction cannot be read"
        ) from error


def _check_size(writes: Sequence[Write]) -> None:
    if not writes:
        raise PlatformError("a transaction needs at least one write")
    if len(writes) > MAX_WRITES_PER_TRANSACTION:
        raise PlatformError(f"a transaction of {len(writes)} writes is too large")
    for write in writes:
        if write.value is not None and len(write.value) > MAX_ITEM_BYTES:
            raise PlatformError(f"item {write.key} is too large")
