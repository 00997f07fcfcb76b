"""Stand-in for the platform's table service and object store."""

from base64 import b64decode, b64encode
from bisect import bisect_right, insort
from typing import Final

import msgspec
from aiohttp import web

from banyanswitch_standins.app import StandIn, async_decode, build_json_response
from banyanswitch_standins.rates import TokenBucket

MAX_WRITES: Final = 100
MAX_ITEM_BYTES: Final = 256 * 1024
MAX_QUERY_ITEMS: Final = 1000
RETRY_AFTER_S: Final = 1


class GetRequest(msgspec.Struct):
    """Body of ``POST /table/get``."""

    keys: list[str]


class QueryRequest(msgspec.Struct):
    """Body of ``POST /table/query``."""

    prefix: str
    after: str = ""
    limit: int = MAX_QUERY_ITEMS


class WriteRequest(msgspec.Struct):
    """One write of a transaction.

    Parameters
    ----------
    value : str or None
        Value in base64; ``None`` deletes the item.
    expected_revision : int or None
        Revision that the item must have, 0 if it must not exist; ``None`` sets no
        condition.
    """

    key: str
    value: str | None
    expected_revision: int | None = None


class TransactRequest(msgspec.Struct):
    """Body of ``POST /table/transact``."""

    writes: list[WriteRequest]


class StoredItem(msgspec.Struct):
    """Item of the table; a deleted item is retained without a value.

    A deletion increments the revision like a write, so revisions do not repeat when
    the key is written again.
    """

    revision: int
    value: bytes | None


class TableStandIn(StandIn):
    """Transactional table with a revision per item, and an object store.

    Parameters
    ----------
    writes_per_s : float
        Items written per second above which writes get 429; 0 means no limit.
    reads_per_s : float
        Items read per second above which reads get 429; 0 means no limit.
    """

    def __init__(self, *, writes_per_s: float = 0.0, reads_per_s: float = 0.0) -> None:
        super().__init__()
        self.objects: dict[str, bytes] = {}
        self._items: dict[str, StoredItem] = {}
        self._keys: list[str] = []
        self._writes = TokenBucket(writes_per_s)
        self._reads = TokenBucket(reads_per_s)

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of the table and of the object store."""
        router.add_post("/table/get", self._handle_get)
        router.add_post("/table/query", self._handle_query)
        router.add_post("/table/transact", self._handle_transact)
        router.add_get("/objects", self._handle_list_objects)
        router.add_put("/objects/{name:.+}", self._handle_put_object)
        router.add_get("/objects/{name:.+}", self._handle_get_object)
        router.add_delete("/objects/{name:.+}", self._handle_delete_object)

    async def _handle_get(self, request: web.Request) -> web.Response:
        body = await async_decode(request, GetRequest)
        if not self._consume_reads(len(body.keys)):
            return _throttled()
        return build_json_response({"items": self._encode_items(body.keys)})

    async def _handle_query(self, request: web.Request) -> web.Response:
        body = await async_decode(request, QueryRequest)
        keys = self._matching_keys(body)
        if not self._consume_reads(max(1, len(keys))):
            return _throttled()
        return build_json_response({"items": self._encode_items(keys)})

    async def _handle_transact(self, request: web.Request) -> web.Response:
        body = await async_decode(request, TransactRequest)
        values = [_decode_value(write) for write in body.writes]
        if len(values) > MAX_WRITES or any(_is_too_large(v) for v in values):
            return build_json_response({"code": "too_large"}, status=413)
        if len({write.key for write in body.writes}) != len(values):
            return build_json_response({"code": "repeated_key"}, status=400)
        if not self._writes.try_take(len(values)):
            self.faults.counters["throttled_writes"] += len(values)
            return _throttled()
        self.faults.counters["writes"] += len(values)
        failed = [
            write.key for write in body.writes if not self._meets_condition(write)
        ]
        if failed:
            return build_json_response({"failed_keys": failed}, status=409)
        revisions = [
            self._store(write.key, value)
            for write, value in zip(body.writes, values, strict=True)
        ]
        return build_json_response({"revisions": revisions})

    def _consume_reads(self, amount: int) -> bool:
        is_admitted = self._reads.try_take(amount)
        name = "reads" if is_admitted else "throttled_reads"
        self.faults.counters[name] += amount
        return is_admitted

    def _matching_keys(self, query: QueryRequest) -> list[str]:
        start = bisect_right(self._keys, query.after)
        if query.after < query.prefix:
            # A key equal to the prefix matches, so the range includes it.
            start = bisect_right(self._keys, query.prefix)
            start -= int(start > 0 and self._keys[start - 1] == query.prefix)
        limit = min(query.limit, MAX_QUERY_ITEMS)
        keys: list[str] = []
        for key in self._keys[start:]:
            if not key.startswith(query.prefix) or len(keys) == limit:
                break
            keys.append(key)
        return keys

    def _encode_items(self, keys: list[str]) -> list[dict[str, object]]:
        encoded: list[dict[str, object]] = []
        for key in keys:
            item = self._items.get(key)
            if item is None or item.value is None:
                continue
            value = b64encode(item.value).decode()
            encoded.append({"key": key, "revision": item.revision, "value": value})
        return encoded

    def _meets_condition(self, write: WriteRequest) -> bool:
        if write.expected_revision is None:
            return True
        item = self._items.get(write.key)
        revision = 0 if item is None or item.value is None else item.revision
        return revision == write.expected_revision

    def _store(self, key: str, value: bytes | None) -> int:
        item = self._items.setdefault(key, StoredItem(0, None))
        was_present = item.value is not None
        item.revision += 1
        item.value = value
        if value is not None and not was_present:
            insort(self._keys, key)
        if value is None and was_present:
            self._keys.remove(key)
        return item.revision

    async def _handle_list_objects(self, request: web.Request) -> web.Response:
        prefix = request.query.get("prefix", "")
        names = sorted(name for name in self.objects if name.startswith(prefix))
        return build_json_response({"names": names})

    async def _handle_put_object(self, request: web.Request) -> web.Response:
        self.objects[request.match_info["name"]] = await request.read()
        return build_json_response({})

    async def _handle_get_object(self, request: web.Request) -> web.Response:
        content = self.objects.get(request.match_info["name"])
        if content is None:
            return build_json_response({"code": "not_found"}, status=404)
        return web.Response(body=content, content_type="application/octet-stream")

    async def _handle_delete_object(self, request: web.Request) -> web.Response:
        self.objects.pop(request.match_info["name"], None)
        return build_json_response({})


def _decode_value(write: WriteRequest) -> bytes | None:
    return None if write.value is None else b64decode(write.value)


def _is_too_large(value: bytes | None) -> bool:
    return value is not None and len(value) > MAX_ITEM_BYTES


def _throttled() -> web.Response:
    headers = {"Retry-After": str(RETRY_AFTER_S)}
    return build_json_response({"code": "throttled"}, status=429, headers=headers)
