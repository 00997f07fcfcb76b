"""Starts the project's processes on loopback, as the deploy file says."""

import asyncio
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import http_server

ROOT = Path(__file__).resolve().parents[2]
ROLE = "entry"
PORTS = {"front": 1, "ready": 1, "directory": 1, "control": 1, "internal": 16}
START_TIMEOUT_S = 25.0


class Record:
    """Writes what happened to ``record.txt``, with the time since the start."""

    def __init__(self, path):
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._began_s

    def note(self, text):
        line = f"{self.now_s():8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()


def _reserve(host, count):
    """Return the first of ``count`` free ports in a row."""
    for _ in range(200):
        with socket.socket() as probe:
            probe.bind((host, 0))
            first = probe.getsockname()[1]
        try:
            found = []
            for port in range(first, first + count):
                if port > 65535:
                    raise OSError("no ports left")
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    found.append(socket.socket(type=kind))
                    found[-1].bind((host, port))
            return first
        except OSError:
            continue
        finally:
            for each in found:
                each.close()
    raise OSError(f"no free ports at {host}")


class Fleet:
    """Processes of a small deployment; ports are the same on all machines.

    Parameters
    ----------
    hosts : list of str
        Loopback address of each machine.
    store_address : str
        Address of the platform's store.
    bounds : dict
        Bounds that differ from those in ``SETTINGS``.
    """

    def __init__(self, hosts, store_address, record, zones=None, **bounds):
        self.hosts = hosts
        self._zones = zones or {host: "zone-1" for host in hosts}
        self._store_address = store_address
        self._record = record
        self._bounds = bounds
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = {}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = deploy["roles"][ROLE]["run"].split()
        span = sum(PORTS.values())
        first = _reserve(hosts[0], span)
        self.ports = {}
        for name, count in PORTS.items():
            self.ports[name] = first
            first += count

    async def async_start(self):
        """Start all processes and wait until they are ready."""
        for host in self.hosts:
            await self.async_start_process(host)
        await asyncio.gather(*(self.async_wait_ready(host) for host in self.hosts))

    async def async_start_process(self, host):
        path = self._folder / f"{host}.toml"
        path.write_text(self._settings(host))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BANYANSWITCH_BOOT": str(path),
            "UV_USE_IO_URING": "0",
        }
        log = (self._folder / f"{host}.log").open("ab")
        process = await asyncio.create_subprocess_exec(
            *self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.processes[host] = process
        self._record.note(f"process {host} started")

    async def async_wait_ready(self, host):
        ends_at_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < ends_at_s:
            if await self.async_is_ready(host):
                self._record.note(f"process {host} is ready")
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{host} is not ready")

    async def async_is_ready(self, host):
        try:
            status, _, _ = await http_server.async_call(
                host, self.ports["ready"], "GET", "/-/readiness", [("Host", host)]
            )
        except (OSError, asyncio.IncompleteReadError):
            return False
        return status == 200

    def signal(self, host, number):
        self._record.note(f"process {host} gets {signal.Signals(number).name}")
        self.processes[host].send_signal(number)

    def log(self, host):
        """Return what a process has logged."""
        return (self._folder / f"{host}.log").read_text(errors="replace")

    async def async_stop(self):
        """Kill the processes that still run."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()

    def _settings(self, host):
        bounds = {
            "stableWindowMs": 3000,
            "drainTimeoutMs": 2000,
            "gracePeriodS": 8,
            "lossSlackMs": 200,
            "configApplyMs": 2000,
            "rollbackSlackMs": 250,
            "maxExtensionMs": 5000,
            "retryBudgetRatio": 0.2,
            "budgetWindowS": 10,
            "budgetSlack": 56,
            "requireFencing": True,
            "leaseMs": 3000,
            "thawMs": 300,
            "versionPropagationMs": 12000,
            "versionAllMs": 17000,
            "ttl_max_s": 5,
            **self._bounds,
        }
        lines = [
            f"{name} = {str(value).lower() if isinstance(value, bool) else value}"
            for name, value in bounds.items()
        ]
        ports, internal = self.ports, self.ports["internal"]
        seeds = ",".join(f'"{seed}:{ports["control"]}"' for seed in self.hosts[:3])
        return "\n".join(
            [
                f'nodeName = "frontend-{host}"',
                'role = "entry"',
                'machineClass = "frontend"',
                'serves = ["frontend","control_plane","directory"]',
                f'ip = "{host}"',
                f'zone = "{self._zones[host]}"',
                'region = "region-1"',
                f"internalPortRange = [{internal},{internal + PORTS['internal'] - 1}]",
                f"seedAddresses = [{seeds}]",
                "bootstrap = true",
                "heartbeatIntervalMs = 1200",
                "[listen]",
                f'front = "{host}:{ports["front"]}"',
                f'readyAddr = "{host}:{ports["ready"]}"',
                f'control = "{host}:{ports["control"]}"',
                f'directory = "{host}:{ports["directory"]}"',
                "[limits]",
                "memoryMb = 300",
                "fileDescriptors = 4100",
                "[bounds]",
                *lines,
                "[platform]",
                f'address = "{self._store_address}"',
                "",
            ]
        )


def run(async_case, folder):
    """Run a case and exit: 1 if the rule broke, 0 if it held, 2 if it couldn't run."""
    record = Record(Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"trouble: {has_trouble}")
    try:
        is_broken = asyncio.run(async_case(record, has_trouble))
    except Exception as error:  # noqa: BLE001
        record.note(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    record.note("the rule was broken" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
