"""Stand-ins of the platform's store, of plain runners and of clients, on loopback.

Only the standard library is used. A machine is one process of the project, started with
the command of the deploy file. Each machine reaches the store and each runner through a
listener of its own, so that a script can cut single links.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import unquote_plus

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "shop.example"
KEY = "key-of-tenant-a"
TENANT = "tenant-a"
MODEL = "m0"
HEARTBEAT_S = 1.2
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainTimeoutMs": 2000,
    "gracePeriodS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxExtensionMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 56,
    "recoverS": 12,
    "transitMs": 120,
    "againS": 20,
    "requireFencing": "true",
    "leaseMs": 3000,
    "thawMs": 300,
    "versionPropagationMs": 12000,
    "versionAllMs": 17000,
    "ttl_max_s": 5,
}
Headers = dict[str, str]
Handler = Callable[["Call"], Awaitable[None]]


class Record:
    """Lines with a time, written to ``record.txt`` of a case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._began_s

    def line(self, text: str) -> None:
        self._file.write(f"{self.now_s():8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


class Call:
    """One request that a stand-in has received."""

    def __init__(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.writer = writer
        self.common: Headers = {}

    async def async_answer(
        self, status: int, headers: Headers, body: bytes = b""
    ) -> None:
        lines = [f"HTTP/1.1 {status} X"]
        headers = {**self.common, **headers}
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self.writer.write("\r\n".join(lines).encode() + body)
        await self.writer.drain()

    async def async_answer_json(self, status: int, document: object) -> None:
        body = json.dumps(document).encode()
        await self.async_answer(status, {"Content-Type": "application/json"}, body)


class Listener:
    """HTTP/1.1 server at one loopback port, which can be cut and healed."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0
        self._silent: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def async_open(self) -> None:
        self._server = await asyncio.start_server(
            self._async_serve, "127.0.0.1", self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def async_cut(self) -> None:
        """Refuse new connections and reset the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    def go_silent(self) -> None:
        """Let the open connections go silent for good; new ones work."""
        self._silent.update(self._writers)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
        self._writers.add(writer)
        try:
            while (call := await async_read_call(reader, writer)) is not None:
                if writer in self._silent:
                    await asyncio.sleep(3600.0)
                await self._async_handle(call, reader)
        except (
            OSError,
            asyncio.IncompleteReadError,
            ValueError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            if task is not None:
                self._tasks.discard(task)
            with contextlib.suppress(Exception):
                writer.close()

    async def _async_handle(self, call: Call, reader: asyncio.StreamReader) -> None:
        """Handle a call; drop it when its connection closes."""
        handling = asyncio.ensure_future(self._handler(call))
        while not handling.done():
            await asyncio.wait({handling}, timeout=0.01)
            if call.writer in self._silent:
                handling.cancel()
                await asyncio.gather(handling, return_exceptions=True)
                await asyncio.sleep(3600.0)
            if reader.at_eof() or call.writer.transport.is_closing():
                handling.cancel()
                await asyncio.gather(handling, return_exceptions=True)
                raise ConnectionResetError
        handling.result()


async def async_read_call(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Call | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Call(method, target, headers, body, writer)


class Store:
    """The platform's metadata store: tables with conditional writes and a feed."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self._history: list[tuple[int, str, str, bytes | None]] = []
        self._version = 0
        self._changed = asyncio.Event()
        self.is_down = False
        self.era = 1
        self._copy: tuple[dict, list, int] | None = None
        self.listeners: dict[str, Listener] = {}
        self.view: Callable[[str, str, str, bytes], bytes] = lambda _m, _t, _k, v: v
        self.on_write: Callable[[str, str, bytes | None], None] = lambda *_: None

    async def async_open(self, machine: str) -> str:
        async def async_handle(call: Call) -> None:
            await self._async_handle(machine, call)

        listener = Listener(async_handle)
        await listener.async_open()
        self.listeners[machine] = listener
        return listener.address

    def put(self, table: str, key: str, value: bytes | None) -> bool:
        """Write a row as the operator or a runner; return whether it was accepted."""
        if self.is_down:
            return False
        self._write(table, key, value)
        return True

    def put_json(self, table: str, key: str, document: object) -> bool:
        return self.put(table, key, json.dumps(document).encode())

    def _write(self, table: str, key: str, value: bytes | None) -> None:
        self._version += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (value, self._version)
        self._history.append((self._version, table, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def take_copy(self) -> None:
        self._copy = (dict(self.rows), list(self._history), self._version)

    def return_from_copy(self) -> None:
        """Be back, with the state of the copy."""
        if self._copy is None:
            raise RuntimeError("the store has no copy")
        rows, history, version = self._copy
        self.rows, self._history, self._version = dict(rows), list(history), version
        self.era += 1
        self.is_down = False

    async def _async_handle(self, machine: str, call: Call) -> None:
        call.common["Store-Era"] = str(self.era)
        if self.is_down:
            await call.async_answer(503, {})
            return
        path, _, query = call.target.partition("?")
        fields = dict(item.partition("=")[::2] for item in query.split("&") if item)
        fields = {name: unquote_plus(value) for name, value in fields.items()}
        await asyncio.sleep(0.004)
        if path == "/-/rows-tx":
            await self._async_transact(call)
        elif path == "/-/rows-get":
            await self._async_get(machine, call, fields)
        elif path == "/-/rows-feed":
            await self._async_feed(machine, call, fields)
        else:
            await call.async_answer(404, {})

    async def _async_transact(self, call: Call) -> None:
        document = json.loads(call.body)
        for condition in document.get("expectedRevision", []):
            known = self.rows.get((condition["table"], condition["key"]))
            if (known[1] if known else 0) != condition["ver"]:
                await call.async_answer_json(412, {"rows": []})
                return
        for row in document.get("put", []):
            self._write(row["table"], row["key"], base64.b64decode(row["value"]))
            self.on_write(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in document.get("remove", []):
            self._write(row["table"], row["key"], None)
        answer = {"ver": self._version, "nowMs": _now_ms()}
        await call.async_answer_json(200, answer)

    async def _async_get(self, machine: str, call: Call, fields: Headers) -> None:
        first, end = fields.get("from", ""), fields.get("to")
        rows = [
            self._row(machine, table, key, value, version)
            for (table, key), (value, version) in sorted(self.rows.items())
            if table == fields["table"] and key >= first and (not end or key < end)
        ]
        answer = {
            "rows": rows,
            "hasMore": False,
            "ver": self._version,
            "nowMs": _now_ms(),
        }
        await call.async_answer_json(200, answer)

    async def _async_feed(self, machine: str, call: Call, fields: Headers) -> None:
        after, table = int(fields["after"]), fields["table"]
        if after > self._version:
            await call.async_answer_json(410, {})
            return
        ends_at_s = time.monotonic() + int(fields.get("waitMs", "0")) / 1000.0
        while True:
            if self.is_down or call.common["Store-Era"] != str(self.era):
                call.writer.transport.abort()
                return
            rows = [
                self._row(machine, table, key, value, version)
                for version, changed, key, value in self._history
                if changed == table and version > after
            ]
            left_s = ends_at_s - time.monotonic()
            if rows or left_s <= 0.0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(left_s, 0.1)):
                    await self._changed.wait()
        answer = {"rows": rows, "ver": self._version, "nowMs": _now_ms()}
        await call.async_answer_json(200, answer)

    def _row(
        self, machine: str, table: str, key: str, value: bytes | None, version: int
    ) -> dict[str, object]:
        row: dict[str, object] = {"table": table, "part": "", "key": key}
        row["ver"] = version
        if value is None:
            row["removed"] = True
        else:
            seen = self.view(machine, table, key, value)
            row["value"] = base64.b64encode(seen).decode()
        return row


class Runner:
    """A plain runner, which answers each request after its work.

    It has one listener for each machine, at an address that only this machine knows.
    """

    def __init__(self, name: str, service: str, record: Record) -> None:
        self.name = name
        self.service = service
        self._record = record
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.first_beat_s = 0.0
        self.slots = 6
        self.work_s = 0.06
        self.is_leaving = False
        self.links: dict[str, Listener] = {}
        self.arrivals: list[tuple[float, str, str]] = []
        self.models: list[dict[str, object]] = []
        self.answer: Callable[[Runner, str, Call], Awaitable[None]] | None = None

    async def async_open(self, machine: str) -> None:
        async def async_handle(call: Call) -> None:
            await self._async_handle(machine, call)

        self.links[machine] = Listener(async_handle)
        await self.links[machine].async_open()

    def entry(self) -> dict[str, object]:
        return {
            "service": self.service,
            "address": "",
            "zone": "z1",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "sequence": self.sequence,
            "coldRemainingMs": 0,
            "models": self.models,
            "born": self.born_ms,
        }

    async def async_beat(self, store: Store) -> None:
        """Write the entry at each heartbeat until cancelled."""
        if self.sequence == 0:
            await asyncio.sleep(self.first_beat_s)
        while True:
            self.sequence += 1
            store.put_json("servers", self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def answer_headers(self, call: Call) -> Headers:
        headers = {
            "Attempt-Id": call.headers.get("attempt-id", ""),
            "Server-Stamp": f"stamp-{self.name}",
            "Server-Load": f"1,0,{self.slots}",
        }
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        return headers

    async def _async_handle(self, machine: str, call: Call) -> None:
        attempt = call.headers.get("attempt-id", "")
        if call.headers.get("expect-instance", self.name) != self.name:
            await call.async_answer(421, {"Instance-Id": self.name})
            return
        if attempt:
            self.arrivals.append((self._record.now_s(), machine, attempt))
            self._record.line(f"{self.name} gets {attempt} from {machine}")
        if self.answer is not None:
            await self.answer(self, machine, call)
            return
        await asyncio.sleep(self.work_s)
        body = f"answer of {self.name} to {attempt}".encode()
        await call.async_answer(200, self.answer_headers(call), body)


class Engine(Runner):
    """A model runner, which streams numbered events and takes orders of weights."""

    def __init__(
        self, name: str, service: str, record: Record, software: str = "v1"
    ) -> None:
        super().__init__(name, service, record)
        self.software = software
        self.weights = 1
        self.orders_accepted = 0
        self.highest_token = 0
        self.loading_until_s = 0.0
        self.load_s = 1.1
        self.slots = 64
        self.events = 40
        self.event_interval_s = 0.05
        self.delay_of_order: Callable[["Engine"], float | None] = lambda _engine: None
        self._tasks: set[asyncio.Task[None]] = set()

    def entry(self) -> dict[str, object]:
        models = [{"name": MODEL, "version": self.weights, "adapters": []}]
        return super().entry() | {"version": self.software, "models": models}

    @property
    def is_busy(self) -> bool:
        return time.monotonic() < self.loading_until_s

    async def _async_handle(self, machine: str, call: Call) -> None:
        if call.target == "/-/report":
            await call.async_answer_json(200, self._report())
            return
        if call.headers.get("expect-instance", self.name) != self.name:
            await call.async_answer(421, {"Instance-Id": self.name})
            return
        if call.target == "/-/order":
            await self._async_take_order(machine, call)
            return
        attempt = call.headers.get("attempt-id", "")
        if not attempt:
            await call.async_answer(400, {"Not-Run": "1"})
            return
        self._record.line(
            f"{self.name} ({self.software}, weights {self.weights}) gets {attempt} "
            f"from {machine}, weights {call.headers.get('expect-version')}, after "
            f"event {call.headers.get('last-event-id')}"
        )
        self.arrivals.append((self._record.now_s(), machine, attempt))
        expected = call.headers.get("expect-version")
        if expected is not None and int(expected) != self.weights:
            versions = {"Weight-Versions": str(self.weights), "Instance-Id": self.name}
            await call.async_answer(421, versions)
            return
        if self.is_busy:
            await call.async_answer(503, self.answer_headers(call) | {"Not-Run": "1"})
            return
        await self._async_stream(call)

    def _report(self) -> dict[str, object]:
        return {
            "stage": "both",
            "models": [{"name": MODEL, "version": self.weights, "adapters": []}],
            "busy": self.is_busy,
            "sequence": self.orders_accepted,
            "queuedRequests": 0,
            "runningRequests": 0,
            "kvUsedTokens": 0,
            "kvTotalTokens": 74294,
            "handles": 0,
        }

    async def _async_stream(self, call: Call) -> None:
        headers = self.answer_headers(call) | {
            "Content-Type": "text/event-stream",
            "Weight-Versions": str(self.weights),
            "Transfer-Encoding": "chunked",
        }
        lines = ["HTTP/1.1 200 X", *(f"{n}: {v}" for n, v in headers.items()), "", ""]
        call.writer.write("\r\n".join(lines).encode())
        first = int(call.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {self.software}\n\n".encode()
            call.writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await call.writer.drain()
            await asyncio.sleep(self.event_interval_s)
        call.writer.write(b"0\r\n\r\n")
        await call.writer.drain()

    async def _async_take_order(self, machine: str, call: Call) -> None:
        order = json.loads(call.body)
        text = (
            f"order of weights {order['version']} from {machine}, token "
            f"{order['fencingToken']}, revision {order.get('expectedRevision')}"
        )
        delay_s = self.delay_of_order(self)
        if delay_s is not None:
            self._record.line(
                f"{self.name} gets {text}: no answer, carried out {delay_s} s later"
            )
            task = asyncio.create_task(self._async_carry_out(order, text, delay_s))
            self._tasks.add(task)
            await asyncio.sleep(3600.0)
        status = self._accept(order)
        self._record.line(f"{self.name} answers {status} to {text}")
        await call.async_answer(status, {})

    async def _async_carry_out(
        self, order: dict[str, object], text: str, delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        self._record.line(f"{self.name} takes the late {text}: {self._accept(order)}")

    def _accept(self, order: dict[str, object]) -> int:
        if order["fencingToken"] < self.highest_token:
            return 412
        self.highest_token = order["fencingToken"]
        if order.get("expectedRevision", self.orders_accepted) != self.orders_accepted:
            return 409
        if self.is_busy:
            return 409
        if order["version"] == self.weights:
            return 200
        self.orders_accepted += 1
        self.loading_until_s = time.monotonic() + self.load_s
        loop = asyncio.get_running_loop()
        loop.call_later(self.load_s, self._load, order["version"], self.born_ms)
        return 202

    def _load(self, version: int, born_ms: int) -> None:
        if born_ms == self.born_ms:
            self.weights = version
            self._record.line(f"{self.name} has weights {version}")

    async def async_crash(self) -> None:
        """End, losing all that it held but its weights."""
        self._record.line(f"{self.name} crashes")
        for link in self.links.values():
            await link.async_cut()

    async def async_start_again(self) -> None:
        """Start under the same name and at the same address."""
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.orders_accepted = 0
        self.highest_token = 0
        self.loading_until_s = 0.0
        for link in self.links.values():
            await link.async_open()
        self._record.line(f"{self.name} starts again with weights {self.weights}")


class Machines:
    """The machines of a deployment: processes of the project."""

    def __init__(self, count: int, folder: Path, memory_mb: int = 300) -> None:
        self.hosts = [f"127.0.63.{number + 2}" for number in range(count)]
        self.ports = _free_ports(self.hosts, 10)
        self._folder = folder
        self._memory_mb = memory_mb
        self._stores: dict[str, str] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    async def async_start(self, host: str, store_address: str) -> None:
        self._stores[host] = store_address
        path = self._folder / f"{host}.toml"
        path.write_text(self._settings(host, store_address), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "BANYANSWITCH_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "UV_USE_IO_URING": "0",
        }
        self.processes[host] = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env=environment,
            stdout=(self._folder / f"{host}.log").open("ab"),
            stderr=asyncio.subprocess.STDOUT,
        )

    async def async_restart(self, host: str) -> None:
        await self.async_start(host, self._stores[host])

    async def async_wait_ready(self, host: str, timeout_s: float = 20.0) -> bool:
        ends_at_s = time.monotonic() + timeout_s
        while time.monotonic() < ends_at_s:
            status, _, _ = await async_request(
                host, self.ports + 1, "GET", "/-/readiness", {}, timeout_s=1.0
            )
            if status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def async_stop(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            await process.wait()

    def log(self, host: str) -> str:
        return (self._folder / f"{host}.log").read_text(encoding="utf-8")

    def _settings(self, host: str, store_address: str) -> str:
        seeds = ", ".join(f'"{seed}:{self.ports + 2}"' for seed in self.hosts[:3])
        bounds = "\n".join(f"{name} = {value}" for name, value in BOUNDS.items())
        return f"""
nodeName = "frontend-{host}"
role = "entry"
machineClass = "frontend"
serves = ["frontend","control_plane","directory"]
ip = "{host}"
zone = "z1"
region = "r1"
internalPortRange = [{self.ports + 4}, {self.ports + 9}]
seedAddresses = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeatIntervalMs = {int(HEARTBEAT_S * 1000)}
[zones]
z1 = "r1"
[listen]
front = "{host}:{self.ports}"
readyAddr = "{host}:{self.ports + 1}"
control = "{host}:{self.ports + 2}"
directory = "{host}:{self.ports + 3}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = {self._memory_mb}
fileDescriptors = 4100
bandwidthMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
{bounds}
[platform]
address = "{store_address}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 5.0
partitionWritesS = 200
rowBytes = 65536
across = false
historyS = 20
"""


async def async_request(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: Headers,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> tuple[int, Headers, bytes]:
    """Send one request on a connection of its own; status 0 means no whole answer."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST_NAME}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            return await async_read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.transport.abort()


async def async_read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, Headers, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    status = int(first.split(" ")[1])
    if headers.get("transfer-encoding") != "chunked":
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return status, headers, body
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return status, headers, body


def caller_headers(attempt: str, deadline_ms: int = 4000) -> Headers:
    return {
        "Attempt-Id": attempt,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
    }


def plain_configuration(version: int = 1, slots: int = 6) -> dict[str, object]:
    """Return a configuration like that of the counter service of a small site."""

    def route(name: str, kind: str, attempts: int) -> dict[str, object]:
        return {
            "name": name,
            "host": HOST_NAME,
            "prefix": f"/{name}/",
            "kind": kind,
            "timeoutMs": 2000,
            "targetLatencyMs": 300,
            "priority": 2,
            "service": "counter",
            "maxAttempts": attempts,
        }

    return {
        "version": version,
        "routes": [
            route("payout", "non_idempotent", 1),
            route("lookup", "idempotent", 2),
        ],
        "services": [{"name": "counter", "maxConnections": 110, "slots": slots}],
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def engine_configuration(version: int = 1) -> dict[str, object]:
    """Return a configuration like that of the model service of a small site."""
    engine = {
        "slots": 64,
        "kvCapacityTokens": 74294,
        "kvTokenBytes": 18432,
        "models": [{"name": MODEL}],
    }
    route = {
        "name": "grade",
        "host": HOST_NAME,
        "prefix": "/grade/",
        "kind": "streaming",
        "resumable": True,
        "sticky": True,
        "timeoutMs": 10000,
        "targetLatencyMs": 1000,
        "gapAimMs": 600,
        "priority": 1,
        "service": "llm",
        "maxAttempts": 2,
    }
    service = {"name": "llm", "maxConnections": 370, "engine": engine}
    return plain_configuration(version) | {"routes": [route], "services": [service]}


def prompt_headers(attempt: str, deadline_ms: int = 10000) -> Headers:
    return caller_headers(attempt, deadline_ms) | {
        "Model": MODEL,
        "Token-Usage": "300,40",
        "Prompt-Prefix": f"aa:200,{attempt}:100",
    }


class Deployment:
    """Store, plain runners and machines of one script."""

    def __init__(
        self,
        folder: Path,
        machines: int,
        runners: list[Callable[[Record], Runner]],
        configuration: dict[str, object],
    ) -> None:
        self._configuration = configuration
        self.record = Record(folder / "record.txt")
        self._scratch = tempfile.TemporaryDirectory()
        self.store = Store()
        self.store.view = self._view
        self.machines = Machines(machines, Path(self._scratch.name))
        made = [make(self.record) for make in runners]
        self.runners = {runner.name: runner for runner in made}
        self._beats: dict[str, asyncio.Task[None]] = {}

    async def async_start(self) -> None:
        """Start everything; the machines are ready afterwards.

        Raises
        ------
        RuntimeError
            If a machine doesn't become ready.
        """
        self.store.put_json("op", "config", self._configuration)
        for runner in self.runners.values():
            await self.async_add(runner)
        for host in self.machines.hosts:
            address = await self.store.async_open(host)
            await self.machines.async_start(host, address)
        for host in self.machines.hosts:
            if not await self.machines.async_wait_ready(host):
                raise RuntimeError(f"{host} is not ready")
        await asyncio.sleep(3.0)

    async def async_add(self, runner: Runner) -> None:
        """Start a runner, which registers itself."""
        self.runners[runner.name] = runner
        for host in self.machines.hosts:
            await runner.async_open(host)
        beat = asyncio.create_task(runner.async_beat(self.store))
        self._beats[runner.name] = beat

    def stop_beats(self, name: str) -> None:
        self._beats.pop(name).cancel()

    async def async_lose_store(self) -> None:
        """Let the store go down once all machines know all of its rows.

        A machine that lags would copy the rows of another one, with the addresses of
        the other one's links.
        """
        names = list(self._beats)
        for name in names:
            self.stop_beats(name)
        await asyncio.sleep(0.5)
        self.store.is_down = True
        for name in names:
            self.start_beats(name)

    def start_beats(self, name: str) -> None:
        beat = asyncio.create_task(self.runners[name].async_beat(self.store))
        self._beats[name] = beat

    async def async_stop(self) -> None:
        for beat in self._beats.values():
            beat.cancel()
        await self.machines.async_stop()
        self.record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for host in self.machines.hosts:
                Path(keep, f"{host}.log").write_text(self.machines.log(host))
        self._scratch.cleanup()

    async def async_call(
        self, host: str, target: str, attempt: str, method: str = "POST"
    ) -> tuple[int, Headers, bytes]:
        """Send a client's request to a machine, and record its answer."""
        self.record.line(f"client sends {attempt} {method} {target} to {host}")
        body = b"body" if method == "POST" else b""
        status, headers, content = await async_request(
            host, self.machines.ports, method, target, caller_headers(attempt), body
        )
        self.record.line(
            f"client gets {status} for {attempt} from {host}, stamp "
            f"{headers.get('server-stamp')}, leaving {headers.get('server-leaving')}, "
            f"not-run {headers.get('not-run')}"
        )
        return status, headers, content

    def _view(self, machine: str, table: str, key: str, value: bytes) -> bytes:
        """Return a row as a machine sees it: with the address of its own link."""
        runner = self.runners.get(key) if table == "servers" else None
        if runner is None or machine not in runner.links:
            return value
        document = json.loads(value)
        document["address"] = runner.links[machine].address
        return json.dumps(document).encode()


def run(
    main: Callable[[Path, bool], Awaitable[int]], folder: Path, limit_s: float = 110.0
) -> None:
    """Run a case and exit with its result: 0 held, 1 broken, 2 could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def async_run() -> int:
        async with asyncio.timeout(limit_s):
            return await main(folder, has_trouble)

    try:
        result = asyncio.run(async_run())
    except Exception as error:  # noqa: BLE001
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        result = 2
    sys.exit(result)


def _free_ports(hosts: list[str], count: int) -> int:
    """Return the first of some consecutive ports that are free at all hosts."""
    begin = random.randrange(14_000, 30_000)
    for first in range(begin, 32_000, count):
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    for port in range(first, first + count):
                        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                            tried = socket.socket(socket.AF_INET, kind)
                            stack.enter_context(tried)
                            tried.bind((host, port))
            except OSError:
                continue
            return first
    raise RuntimeError("no free ports")


def _now_ms() -> int:
    return int(time.monotonic() * 1000)
