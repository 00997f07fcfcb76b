"""Stand-ins for the cases of the second review, with the standard library only.

They follow PROTOCOL.md: the platform's store, runners, clients, and the settings file
of each machine. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "h.example"
KEY = "key-1"
SERVICE = "counter-app"
MODEL = "m0"
CAPACITY_TOKENS = 74_294
"""Memory of a model runner of the deployment."""
MODEL_SERVICE = "appraise-llm"


class Record:
    """Text file that a case writes what was sent, answered and run into."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began_s = time.monotonic()

    def line(self, text):
        self._file.write(f"{time.monotonic() - self._began_s:9.4f}  {text}\n")
        self._file.flush()


async def async_read_message(reader):
    """Return the first line, headers (lower case) and body of an HTTP message.

    The body has a length or chunks; ``None`` stands for a closed connection.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    break
                body += data[:-2]
        elif int(headers.get("content-length", "0")):
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def encode(first_line, headers, body=b""):
    """Return an HTTP message with a length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Store:
    """The platform's metadata store: rows, transactions and a feed."""

    def __init__(self):
        self.rows = {}
        self.history = []
        self.version = 0
        self._changed = asyncio.Event()
        self.address = ""

    async def async_start(self):
        server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        """Write a row as the operator or a runner does; ``None`` removes it."""
        self.version += 1
        name = (table, "", key)
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (value, self.version)
        self.history.append((self.version, name, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _async_serve(self, reader, writer):
        try:
            while (message := await async_read_message(reader)) is not None:
                method, target, _ = message[0].split(" ")
                status, document = await self._async_answer(method, target, message[2])
                body = json.dumps(document).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(encode(f"HTTP/1.1 {status} OK", headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _async_answer(self, method, target, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        await asyncio.sleep(0.004)
        if parts.path == "/-/rows-get":
            return 200, self._get(query)
        if parts.path == "/-/rows-feed":
            return await self._async_feed(query)
        if parts.path == "/-/rows-tx" and method == "POST":
            return self._transact(json.loads(body))
        return 404, {}

    def _get(self, query):
        first, end = query.get("from", ""), query.get("to")
        rows = [
            self._document(name, *row)
            for name, row in sorted(self.rows.items())
            if name[0] == query["table"]
            and name[1] == query.get("part", "")
            and name[2] >= first
            and (end is None or name[2] < end)
        ]
        limit = int(query.get("limit", "500"))
        page = rows[:limit]
        return {
            "rows": page,
            "hasMore": len(rows) > limit,
            "ver": self.version,
            "nowMs": self._now_ms(),
        }

    async def _async_feed(self, query):
        after, table = int(query["after"]), query["table"]
        ends_at_s = time.monotonic() + int(query.get("waitMs", "0")) / 1000.0
        while not (rows := self._changes(table, after)):
            left_s = ends_at_s - time.monotonic()
            if left_s <= 0.0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        return 200, {"rows": rows, "ver": self.version, "nowMs": self._now_ms()}

    def _changes(self, table, after):
        return [
            self._document(name, value, version)
            for version, name, value in self.history
            if name[0] == table and version > after
        ]

    def _transact(self, document):
        for condition in document.get("expectedRevision", []):
            row = self.rows.get(_name(condition))
            if (row[1] if row else 0) != condition["ver"]:
                return 412, {"rows": []}
        self.version += 1
        for entry in document.get("put", []):
            value = base64.b64decode(entry["value"])
            self.rows[_name(entry)] = (value, self.version)
            self.history.append((self.version, _name(entry), value))
        for entry in document.get("remove", []):
            self.rows.pop(_name(entry), None)
            self.history.append((self.version, _name(entry), None))
        self._changed.set()
        self._changed = asyncio.Event()
        return 200, {"ver": self.version, "nowMs": self._now_ms()}

    def _document(self, name, value, version):
        document = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
        if value is None:
            return {**document, "removed": True}
        return {**document, "value": base64.b64encode(value).decode()}

    @staticmethod
    def _now_ms():
        return int(time.monotonic() * 1000.0)


def _name(entry):
    return entry["table"], entry.get("part", ""), entry["key"]


class KvStore(Store):
    """A managed store of KV cache; it reports parts when they are complete."""

    def __init__(self, capacity_tokens, bandwidth_mbps, first_ms):
        super().__init__()
        self.capacity_tokens = capacity_tokens
        self.bandwidth_mbps = bandwidth_mbps
        self.first_ms = first_ms
        self.epoch = 77120
        self.held = {}
        self.events = []

    def save(self, salt, part, tokens):
        """Keep a part, unless there is no room for it; it is lost then."""
        if (salt, part) in self.held:
            return
        if sum(self.held.values()) + tokens > self.capacity_tokens:
            return
        self.held[salt, part] = tokens
        self.events.append([len(self.events) + 1, "+", salt, part, tokens, MODEL])
        self._changed.set()
        self._changed = asyncio.Event()

    def service(self, name):
        """Return the store's entry among the services of a configuration."""
        return {
            "name": name,
            "kvStoreAddress": self.address,
            "zone": "z1",
            "kvCapacityTokens": self.capacity_tokens,
            "bandwidthMbps": self.bandwidth_mbps,
            "first_ms": self.first_ms,
            "maxConcurrency": 32,
            "managed": True,
            "maxConnections": 96,
        }

    async def _async_answer(self, method, target, body):
        path, _, query = target.partition("?")
        common = {"bootEpoch": self.epoch, "next": len(self.events)}
        if path == "/-/kv-list":
            held = [[salt, part, n, MODEL] for (salt, part), n in self.held.items()]
            return 200, {**common, "held": held}
        if path != "/-/kv-events":
            return 404, {}
        since = int(query.partition("since=")[2])
        if len(self.events) <= since:
            try:
                await asyncio.wait_for(self._changed.wait(), 0.9)
            except TimeoutError:
                pass
        return 200, {
            "bootEpoch": self.epoch,
            "next": len(self.events),
            "lost": False,
            "events": self.events[since:],
            "clock_ms": self._now_ms(),
        }


class Runner:
    """A runner of the transaction service; it works on a request for ``work_s``."""

    def __init__(self, name, record, work_s=0.02, service=SERVICE):
        self.name = name
        self.service = service
        self.record = record
        self.work_s = work_s
        self.ran = []
        self.finished = []
        self.cut = []
        self.address = ""

    def work_of(self, attempt):
        """Return the time that the runner works on a request, in seconds."""
        return self.work_s

    async def async_start(self):
        server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def entry(self, state="ready", sequence=1):
        """Return the runner's entry in the store."""
        document = {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 64,
            "state": state,
            "sequence": sequence,
            "coldRemainingMs": 0,
            "models": [],
            "born": int(time.time() * 1000) - 60_000,
        }
        return json.dumps(document).encode()

    async def _async_serve(self, reader, writer):
        try:
            while (message := await async_read_message(reader)) is not None:
                if not await self.async_answer(message, reader, writer):
                    break
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def async_answer(self, message, reader, writer):
        """Answer one request; return whether the connection stays open."""
        first_line, headers, body = message
        if first_line.split(" ")[1] == "/-/report":
            document = {"stage": "both", "models": [], "busy": False, "sequence": 0}
            data = json.dumps(document).encode()
            writer.write(
                encode("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, data)
            )
            return True
        attempt = headers.get("attempt-id", "")
        own = {"Attempt-Id": attempt}
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(encode("HTTP/1.1 421 Misdirected", {**own, "Not-Run": "1"}))
            return True
        self.ran.append(attempt)
        self.record.line(
            f"{self.name} runs {attempt}, deadline {headers.get('deadline-ms')} ms"
        )
        work = asyncio.create_task(asyncio.sleep(self.work_of(attempt)))
        gone = asyncio.create_task(reader.read(1))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            self.cut.append(attempt)
            self.record.line(f"{self.name}: the sender closed, work on {attempt} ends")
            return False
        gone.cancel()
        await asyncio.gather(gone, return_exceptions=True)
        self.finished.append(attempt)
        answer = {**own, "Server-Stamp": f"stamp-{self.name}", "Server-Load": "1,0,64"}
        body = f"answer of {self.name} to {attempt}".encode()
        writer.write(encode("HTTP/1.1 200 OK", answer, body))
        await writer.drain()
        return True


class ModelRunner(Runner):
    """A model runner: prefills one prompt after the other and streams events.

    Parts are cached under the text of ``Cache-Salt``. Each part remembers the tenant
    whose request made it, and each use of a part is kept in ``uses``.
    """

    def __init__(self, name, record, *, tokens_per_ms=37.9, events=30, step_s=0.00463):
        super().__init__(name, record, service=MODEL_SERVICE)
        self.version = 1
        self.events = events
        self.step_s = step_s
        self.tokens_per_ms = tokens_per_ms
        self.cached = {}
        self.uses = []
        self.runners = {}
        self.stores = {}
        self.orders = []
        self.load_s = 1.1
        self.is_busy = False
        self._fencing_token = 0
        self._running = 0
        self._prefill = asyncio.Lock()

    def entry(self, state="ready", sequence=1):
        document = json.loads(super().entry(state, sequence))
        document["models"] = [{"name": MODEL, "version": self.version, "adapters": []}]
        return json.dumps(document).encode()

    async def async_answer(self, message, reader, writer):
        first_line, headers, body = message
        path = first_line.split(" ")[1]
        if path == "/-/report":
            models = [{"name": MODEL, "version": self.version, "adapters": []}]
            document = {
                "stage": "both",
                "models": models,
                "busy": self.is_busy,
                "sequence": len(self.orders),
            }
            kind = {"Content-Type": "application/json"}
            writer.write(encode("HTTP/1.1 200 OK", kind, json.dumps(document).encode()))
            return True
        if path == "/-/order":
            status = self._take_order(json.loads(body))
            writer.write(encode(f"HTTP/1.1 {status} Order", {}))
            return True
        attempt, tenant = headers.get("attempt-id", ""), headers.get("tenant", "")
        own = {"Attempt-Id": attempt}
        is_other = headers.get("expect-instance", self.name) != self.name
        version = headers.get("expect-version", str(self.version))
        if is_other or version != str(self.version):
            writer.write(encode("HTTP/1.1 421 Misdirected", {**own, "Not-Run": "1"}))
            return True
        usage = [int(part) for part in headers["token-usage"].split(",")]
        if sum(usage) > CAPACITY_TOKENS:
            writer.write(encode("HTTP/1.1 503 Full", {**own, "Not-Run": "1"}))
            return True
        if self.is_busy:
            writer.write(encode("HTTP/1.1 503 Loading", {**own, "Not-Run": "1"}))
            return True
        self._running += 1
        try:
            return await self._async_run(attempt, tenant, headers, writer)
        finally:
            self._running -= 1

    def _take_order(self, order):
        """Return the status of an order to load a version."""
        if order["fencingToken"] < self._fencing_token:
            return 412
        if self.is_busy or order["expectedRevision"] != len(self.orders):
            return 409
        self._fencing_token = order["fencingToken"]
        if order["version"] == self.version:
            return 200
        self.orders.append(order)
        self.is_busy = True
        self.record.line(
            f"{self.name} takes an order of {order['holder']}: load {order['version']}"
        )
        self._load = asyncio.create_task(self._async_load(order["version"]))
        return 202

    async def _async_load(self, version):
        while self._running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(self.load_s)
        self.version, self.is_busy = version, False
        self.cached.clear()
        self.record.line(f"{self.name} has version {version}")

    async def _async_run(self, attempt, tenant, headers, writer):
        own = {"Attempt-Id": attempt}
        self.ran.append(attempt)
        salt = headers.get("cache-salt", "")
        self.record.line(f"{self.name} gets {attempt} of tenant {tenant}, salt {salt}")
        async with self._prefill:
            missing = self._read_prompt(attempt, tenant, salt, headers)
            await asyncio.sleep(missing / self.tokens_per_ms / 1000.0)
        self._save(salt, headers)
        answer = {
            **own,
            "Server-Stamp": f"stamp-{self.name}",
            "Weight-Versions": str(self.version),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in answer.items())]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.step_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.finished.append(attempt)
        return True

    def _save(self, salt, headers):
        parts = [item.split(":") for item in headers["prompt-prefix"].split(",")]
        targets = headers.get("kv-save", "").split(",")
        for (part, tokens), target in zip(parts, targets, strict=False):
            if target in self.stores:
                self.stores[target].save(salt, part, int(tokens))

    def _read_prompt(self, attempt, tenant, salt, headers):
        """Cache the parts of a prompt; return the tokens that have to be prefilled."""
        parts = [item.split(":") for item in headers["prompt-prefix"].split(",")]
        sources = headers.get("kv-fetch", "").split(",")
        if len(sources) == 1:
            sources = sources * len(parts)
        missing, is_kept = 0, True
        for (part, tokens), source in zip(parts, sources, strict=False):
            key = (salt, part)
            maker = self.cached.get(key) if is_kept else None
            if maker is None and is_kept and source in self.runners:
                maker = self.runners[source].cached.get(key)
            if maker is None and is_kept and source in self.stores:
                maker = ("-", "-") if key in self.stores[source].held else None
            is_kept = maker is not None
            if is_kept:
                self.uses.append((attempt, tenant, part, maker))
                self.record.line(
                    f"{self.name}: {attempt} of tenant {tenant} uses part {part}, made "
                    f"by {maker[0]} of tenant {maker[1]}"
                )
            else:
                missing += int(tokens)
            self.cached[key] = maker or (attempt, tenant)
        return missing


def free_ports(count, hosts=("127.0.0.2", "127.0.0.3", "127.0.0.4")):
    """Return the first of so many ports in a row that are free on all hosts.

    They lie below the range from which the kernel takes ports of outgoing connections.
    """
    generator = random.Random()
    while True:
        first = generator.randrange(12_000, 30_000)
        try:
            for host in hosts:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((host, port))
        except OSError:
            continue
        return first


class Machine:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, folder, name, host, ports, seeds, store, *, memory_mb=300):
        self.name, self.host, self.store = name, host, store
        self.front = f"{host}:{ports}"
        self.ready = f"{host}:{ports + 1}"
        self.directory = f"{host}:{ports + 2}"
        self.control = f"{host}:{ports + 3}"
        self.internal = (ports + 4, ports + 12)
        self.seeds = seeds
        self.memory_mb = memory_mb
        self.folder = Path(folder)
        self.path = self.folder / f"{name}.toml"
        self.log = self.folder / f"{name}.log"
        self.process = None

    def write_settings(self):
        """Write the settings file, with the bounds of a small deployment."""
        seeds = json.dumps(self.seeds)
        self.path.write_text(
            f"""nodeName = "{self.name}"
role = "entry"
machineClass = "frontend"
serves = ["frontend","control_plane","directory"]
ip = "{self.host}"
zone = "z1"
region = "r1"
internalPortRange = [{self.internal[0]},{self.internal[1]}]
seedAddresses = {seeds}
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeatIntervalMs = 1200
[listen]
front = "{self.front}"
readyAddr = "{self.ready}"
control = "{self.control}"
directory = "{self.directory}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = {self.memory_mb}
fileDescriptors = 4100
bandwidthMbps = 1000.0
[bounds]
stableWindowMs = 3000
drainTimeoutMs = 2000
gracePeriodS = 8
lossSlackMs = 200
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 56
leaseMs = 3000
thawMs = 300
versionPropagationMs = 12000
versionAllMs = 17000
ttl_max_s = 5
[platform]
address = "{self.store}"
form = "table"
"""
        )

    async def async_start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split(" ")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["BANYANSWITCH_BOOT"] = str(self.path)
        environment["UV_USE_IO_URING"] = "0"
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def async_is_ready(self):
        """Return whether the machine says that it is ready."""
        try:
            answer = await async_call(self.ready, "GET /-/readiness", {}, limit_s=1.0)
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer[0] == 200

    async def async_wait_ready(self, limit_s=20.0):
        ends_at_s = time.monotonic() + limit_s
        while not await self.async_is_ready():
            if time.monotonic() > ends_at_s:
                raise RuntimeError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)

    async def async_stop(self):
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


def configuration(version=1, *, timeout_ms=10_000, kind="non_idempotent"):
    """Return a configuration with one route of the transaction service."""
    route = {
        "name": "payout-post",
        "host": HOST,
        "prefix": "/payout/",
        "kind": kind,
        "service": SERVICE,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 400,
        "priority": 1,
        "maxAttempts": 1 if kind == "non_idempotent" else 2,
    }
    document = {
        "version": version,
        "routes": [route],
        "services": [{"name": SERVICE, "maxConnections": 110}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "t1", "apiKeys": [KEY]}],
    }
    return json.dumps(document).encode()


def model_configuration(version, isolated=()):
    """Return a configuration with the long requests of the model runners.

    Tenant ``t1`` has the key ``key-1``, tenant ``t2`` the key ``key-2``.
    """
    route = {
        "name": "seller-history-grade",
        "host": HOST,
        "prefix": "/grade/",
        "kind": "streaming",
        "service": MODEL_SERVICE,
        "timeoutMs": 10000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "maxAttempts": 2,
        "sticky": True,
        "resumable": True,
        "gapAimMs": 600,
    }
    engine = {
        "slots": 64,
        "kvCapacityTokens": CAPACITY_TOKENS,
        "kvTokenBytes": 18432,
        "models": [{"name": MODEL}],
    }
    tenants = [
        {"name": name, "apiKeys": [key], "isolated": name in isolated}
        for name, key in (("t1", "key-1"), ("t2", "key-2"))
    ]
    document = {
        "version": version,
        "routes": [route],
        "services": [{"name": MODEL_SERVICE, "maxConnections": 370, "engine": engine}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": tenants,
    }
    return json.dumps(document).encode()


async def async_call(address, first, headers, body=b"", limit_s=15.0):
    """Send a request on a new connection; return status, headers and body.

    ``None`` stands for a connection that ended without a complete answer.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(encode(f"{first} HTTP/1.1", {"Host": HOST, **headers}, body))
            answer = await async_read_message(reader)
        finally:
            writer.close()
    if answer is None:
        return None
    return int(answer[0].split(" ")[1]), answer[1], answer[2]


def caller_headers(attempt, deadline_ms):
    """Return the headers of a client's request."""
    return {
        "Attempt-Id": attempt,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
    }


def make_folder():
    """Return a new temporary folder."""
    return tempfile.TemporaryDirectory(prefix="review-2-")
