"""Stand-ins of model runners and of the managed stores of their KV cache.

Transfers between them are made inside this process: they take the time that their bytes
need on the links, twice as long between zones, one after another at the store.
"""

import asyncio
import json
import time
from collections import OrderedDict
from urllib.parse import parse_qs, urlsplit

import http_server

TOKEN_BYTES = 35_136
PREFILL_TOKENS_PER_S = 62_400
FIRST_S = 0.006
BLOCK_TOKENS = 16
RUNNERS_ZONE = "zone-1"


def clock_ms():
    """Return the runners' clock."""
    return int(time.monotonic() * 1000)


class KvStore:
    """Managed store: drops nothing on its own and doesn't know who reads from it.

    Attributes
    ----------
    freed_fetches : list of tuple
        Fetches that were used though their part was freed before they had ended.
    """

    def __init__(self, name, record, *, zone, bandwidth_mbps, capacity_tokens):
        self.name = name
        self.zone = zone
        self.bandwidth_mbps = bandwidth_mbps
        self.capacity_tokens = capacity_tokens
        self.freed_fetches = []
        self.fetch_count = 0
        self._record = record
        self._epoch = int(time.time() * 1000)
        self._parts = {}
        self._reserved = {}
        self._events = []
        self._changed = asyncio.Event()
        self._link = asyncio.Lock()
        self._reading = {}

    async def async_start(self):
        """Listen on a free port and return the address."""
        self._server = await http_server.async_serve(self._async_handle, "127.0.0.1")
        self.address = http_server.address(self._server)
        return self.address

    def entry(self):
        """Return the service of the configuration that names the store."""
        return {
            "name": self.name,
            "kvStoreAddress": self.address,
            "zone": self.zone,
            "kvCapacityTokens": self.capacity_tokens,
            "bandwidthMbps": self.bandwidth_mbps,
            "maxConcurrency": 12,
            "managed": True,
            "first_ms": FIRST_S * 1000,
        }

    def held(self):
        """Return the number of parts that are whole here, by salt."""
        counts = {}
        for salt, _ in self._parts:
            counts[salt] = counts.get(salt, 0) + 1
        return counts

    async def async_save(self, salt, part, tokens, model):
        """Save a part; its space is reserved at once, or it is lost."""
        key = (salt, part)
        if key in self._parts or key in self._reserved:
            return
        used = sum(self._reserved.values()) + sum(t for t, _ in self._parts.values())
        if used + tokens > self.capacity_tokens:
            return
        self._reserved[key] = tokens
        await self._async_transfer(tokens)
        if self._reserved.pop(key, None) is None:
            return
        self._parts[key] = (tokens, model)
        self._add_event("+", key, tokens, model)

    async def async_fetch(self, salt, part, until_ms, request):
        """Read a part; return whether its memory is used.

        A fetch that hasn't ended by ``until_ms`` is thrown away.
        """
        key = (salt, part)
        if key not in self._parts:
            await asyncio.sleep(0.001)
            return False
        tokens, _ = self._parts[key]
        self.fetch_count += 1
        fetch = {"request": request, "freed_at_ms": None}
        async with self._link:
            if key not in self._parts:
                return False
            self._reading.setdefault(key, []).append(fetch)
            began_ms = clock_ms()
            await asyncio.sleep(FIRST_S + self._transfer_s(tokens))
            ended_ms = clock_ms()
            self._reading[key].remove(fetch)
        if until_ms is not None and ended_ms > until_ms:
            return False
        if fetch["freed_at_ms"] is not None:
            text = (
                f"request {request} used part {part} of {salt} from {self.name}, "
                f"read from {began_ms} to {ended_ms} ms, freed at "
                f"{fetch['freed_at_ms']} ms"
            )
            self._record.note(text)
            self.freed_fetches.append((request, salt, part))
        return True

    async def _async_transfer(self, tokens):
        async with self._link:
            await asyncio.sleep(FIRST_S + self._transfer_s(tokens))

    def _transfer_s(self, tokens):
        factor = 1 if self.zone == RUNNERS_ZONE else 2
        return factor * tokens * TOKEN_BYTES * 8 / (self.bandwidth_mbps * 1e6)

    def _add_event(self, sign, key, tokens, model):
        number = len(self._events) + 1
        self._events.append([number, sign, *key, tokens, model])
        self._changed.set()
        self._changed = asyncio.Event()

    def _free(self, parts):
        now_ms = clock_ms()
        for salt, part in parts:
            key = (salt, part)
            tokens, model = self._parts.pop(key, (0, ""))
            self._reserved.pop(key, None)
            for fetch in self._reading.get(key, ()):
                fetch["freed_at_ms"] = now_ms
            if tokens:
                self._add_event("-", key, 0, model)

    async def _async_handle(self, request):
        url = urlsplit(request.target)
        status, document = 200, {"bootEpoch": self._epoch, "clock_ms": clock_ms()}
        if url.path == "/-/kv-list":
            document["next"] = len(self._events)
            document["held"] = [
                [*key, tokens, model] for key, (tokens, model) in self._parts.items()
            ]
        elif url.path == "/-/kv-events":
            since = int(parse_qs(url.query)["since"][0])
            wait_s = min(1000, int(request.headers.get("wait-ms", 0))) / 1000
            if since >= len(self._events) and wait_s:
                try:
                    await asyncio.wait_for(self._changed.wait(), wait_s)
                except TimeoutError:
                    pass
            document["events"] = self._events[since:]
            document["next"] = len(self._events)
            document["lost"] = False
            document["clock_ms"] = clock_ms()
        elif url.path == "/-/kv-free":
            body = json.loads(request.body)
            if body.get("bootEpoch", self._epoch) != self._epoch:
                status = 409
            else:
                salts = sorted({salt for salt, _ in body["parts"]})
                count = len(body["parts"])
                self._record.note(f"store {self.name} frees {count} parts of {salts}")
                self._free(body["parts"])
        else:
            status = 404
        headers = [("Content-Type", "application/json")]
        body = json.dumps(document).encode()
        request.writer.write(http_server.response(status, headers, body))


class ModelRunner:
    """Runner of one model, with a cache of parts and orders to load weights.

    Attributes
    ----------
    uses : list of tuple
        Time, request, tenant, part and the tenant that made it, of each part that a
        request found in the cache.
    """

    def __init__(self, name, service, model, stores, record, *, load_s, cache_tokens):
        self.name = name
        self.service = service
        self.model = model
        self.version = 1
        self.run = []
        self._stores = stores
        self._record = record
        self._load_s = load_s
        self._cache_tokens = cache_tokens
        self.uses = []
        self._cache = OrderedDict()
        self._makers = {}
        self._sequence = 0
        self._token = 0
        self._is_busy = False
        self._runs = 0
        self._idle = asyncio.Event()
        self._saves = set()

    async def async_start(self):
        """Listen on a free port and return the address."""
        self._server = await http_server.async_serve(self._async_handle, "127.0.0.1")
        self.address = http_server.address(self._server)
        return self.address

    def registry_entry(self):
        """Return the row by which the runner registers itself."""
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": RUNNERS_ZONE,
                "version": "v1",
                "slots": 48,
                "state": "ready",
                "sequence": 1,
                "coldRemainingMs": 0,
                "models": models,
                "born": int(time.time() * 1000),
            }
        ).encode()

    async def _async_handle(self, request):
        path = urlsplit(request.target).path
        if path == "/-/report":
            self._answer_json(request, 200, self._report())
        elif path == "/-/order":
            self._answer_json(request, self._order(json.loads(request.body)), {})
        else:
            await self._async_serve(request)

    def _answer_json(self, request, status, document):
        headers = [("Content-Type", "application/json")]
        body = json.dumps(document).encode()
        request.writer.write(http_server.response(status, headers, body))

    def _report(self):
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        return {
            "stage": "both",
            "models": models,
            "busy": self._is_busy,
            "sequence": self._sequence,
            "queuedRequests": 0,
            "runningRequests": self._runs,
            "kvUsedTokens": 0,
            "kvTotalTokens": self._cache_tokens,
            "handles": 0,
            "clock_ms": clock_ms(),
        }

    def _order(self, order):
        if order["fencingToken"] < self._token:
            return 412
        self._token = order["fencingToken"]
        if order["version"] <= self.version:
            return 200
        if self._is_busy or order["expectedRevision"] != self._sequence:
            return 409
        self._sequence += 1
        self._is_busy = True
        self._loading = asyncio.create_task(self._async_load(order["version"]))
        return 202

    async def _async_load(self, version):
        while self._runs:
            self._idle.clear()
            await self._idle.wait()
        await asyncio.sleep(self._load_s)
        self._cache.clear()
        self.version = version
        self._is_busy = False
        self._record.note(f"runner {self.name} has version {version} of {self.model}")

    async def _async_serve(self, request):
        headers = request.headers
        attempt = headers.get("attempt-id", "")
        own = [("Attempt-Id", attempt), ("Weight-Versions", str(self.version))]
        expected = headers.get("expect-version", str(self.version))
        is_other = headers.get("expect-instance", self.name) != self.name
        if is_other or int(expected) != self.version:
            own.append(("Instance-Id", self.name))
            request.writer.write(http_server.response(421, own))
            return
        if self._is_busy:
            own.append(("Not-Run", "1"))
            request.writer.write(http_server.response(503, own))
            return
        self._runs += 1
        try:
            await self._async_read_prompt(headers, attempt)
            self.run.append(attempt)
            own.append(("Server-Stamp", f"stamp-{self.name}"))
            own.append(("Content-Type", "text/event-stream"))
            events = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
            request.writer.write(http_server.response(200, own, events))
        finally:
            self._runs -= 1
            if not self._runs:
                self._idle.set()

    async def _async_read_prompt(self, headers, attempt):
        salt = headers.get("cache-salt", "")
        tenant = headers.get("tenant", "")
        parts = [item.split(":") for item in headers["prompt-prefix"].split(",")]
        fetches = _addresses(headers.get("kv-fetch"), len(parts))
        saves = _addresses(headers.get("kv-save"), len(parts))
        until = headers.get("kv-until")
        until_ms = None if until is None else int(until)
        for (part, count), source, target in zip(parts, fetches, saves, strict=True):
            tokens = int(count)
            key = (salt, part)
            if key in self._cache:
                self._cache.move_to_end(key)
                maker = self._makers.get(key)
                self.uses.append((time.monotonic(), attempt, tenant, part, maker))
                continue
            store = self._stores.get(source)
            if store is None or not await store.async_fetch(
                salt, part, until_ms, attempt
            ):
                await asyncio.sleep(tokens / PREFILL_TOKENS_PER_S)
            self._keep(key, tokens)
            self._makers[key] = tenant
            if target in self._stores:
                save = self._stores[target].async_save(salt, part, tokens, self.model)
                task = asyncio.create_task(save)
                self._saves.add(task)
                task.add_done_callback(self._saves.discard)

    def _keep(self, key, tokens):
        self._cache[key] = tokens
        while sum(self._cache.values()) > self._cache_tokens:
            self._cache.popitem(last=False)


def _addresses(value, count):
    if value is None:
        return [""] * count
    found = [item.strip().partition("/")[0] for item in value.split(",")]
    return found if len(found) == count else found[:1] * count
