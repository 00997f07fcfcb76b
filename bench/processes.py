"""Processes on loopback for demo, benchmarks, process tests and fault runs."""

import errno
import json
import os
import random
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Mapping, Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field
from functools import cached_property
from itertools import product
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self

LISTEN_TIMEOUT_S: Final = 20.0
STOP_TIMEOUT_S: Final = 20.0
POLL_INTERVAL_S: Final = 0.05
HTTP_TIMEOUT_S: Final = 5.0
HOST: Final = "127.0.0.1"
FIRST_PORT: Final = 12_000
LAST_PORT: Final = 65_535
MIN_PORTS: Final = 1_000
MAX_PORT_DRAWS: Final = 1_000
EPHEMERAL_RANGE_PATH: Final = Path("/proc/sys/net/ipv4/ip_local_port_range")
PEER_KEY: Final = "loopback-peer-key-0123456789"
STANDIN_MODULE: Final = "banyanswitch_standins.cli"
ENTRY_MODULE: Final = "banyanswitch.cli.entry"
CONFIG_MODULE: Final = "banyanswitch.cli.config"


class ProcessError(Exception):
    """A process failed to start, respond or exit as expected."""


@dataclass(eq=False)
class ChildProcess:
    """Process started by a `ProcessGroup`.

    Parameters
    ----------
    log_path : Path
        File that receives the standard error of the process.
    """

    name: str
    process: subprocess.Popen[bytes]
    log_path: Path

    @cached_property
    def port(self) -> int:
        """Port on which the process listens.

        Waits for the line in which the process prints its port.

        Raises
        ------
        ProcessError
            If the process exits, or prints nothing within `LISTEN_TIMEOUT_S`.
        """
        output = self.process.stdout
        if output is None:
            raise ProcessError(f"standard output of {self.name} is not a pipe")
        is_readable, _, _ = select.select([output], [], [], LISTEN_TIMEOUT_S)
        line = output.readline() if is_readable else b""
        if not line:
            raise ProcessError(
                f"{self.name} did not print its port:\n{self.log_tail()}"
            )
        return int(json.loads(line)["port"])

    @property
    def url(self) -> str:
        """Base URL of the process."""
        return f"http://{HOST}:{self.port}"

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited."""
        return self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process only, if it is running."""
        if self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and reap it."""
        self.signal(signal.SIGKILL)
        self.process.wait(STOP_TIMEOUT_S)

    def wait_ended(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until the process exits and return its status.

        Raises
        ------
        ProcessError
            If it does not exit in time.
        """
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            raise ProcessError(
                f"{self.name} did not exit within {timeout_s} s"
            ) from error

    def post(self, path: str, content: object) -> Any:
        """Send a JSON document to the process and return the response."""
        return request_json("POST", self.url + path, content)

    def get(self, path: str) -> Any:
        """Fetch a JSON document from the process."""
        return request_json("GET", self.url + path)

    def delete(self, path: str) -> Any:
        """Send a DELETE request to the process."""
        return request_json("DELETE", self.url + path)

    def add_fault(self, route: str, kind: str, **options: object) -> None:
        """Add a scripted fault to a stand-in."""
        self.post("/faults", {"route": route, "kind": kind, **options})

    def clear_faults(self) -> None:
        """Remove all scripted faults from a stand-in."""
        self.delete("/faults")

    def counter(self, name: str) -> int:
        """Return a counter of a stand-in, 0 if it has none by that name."""
        return int(self.get("/stats").get(name, 0))

    def log_tail(self, lines: int = 20) -> str:
        """Return the last lines of the standard error."""
        content = self.log_path.read_text(errors="replace")
        return "\n".join(content.splitlines()[-lines:])


@dataclass(eq=False)
class ProcessGroup:
    """Context manager that kills its processes on exit, each by its process ID."""

    children: list[ChildProcess] = field(default_factory=list)

    def __enter__(self) -> Self:
        self._directory = tempfile.TemporaryDirectory(prefix="banyanswitch-")
        self._ports = ExitStack()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for child in self.children:
            child.signal(signal.SIGCONT)
            child.signal(signal.SIGKILL)
        for child in self.children:
            child.process.wait(STOP_TIMEOUT_S)
        self._ports.close()
        self._directory.cleanup()

    def reserve_ports(self, count: int) -> list[int]:
        """Reserve ports on `HOST` until the group exits."""
        return reserve_ports((HOST,), (1,) * count, self._ports)

    def start(
        self,
        name: str,
        module: str,
        arguments: Sequence[str],
        environment: Mapping[str, str] | None = None,
    ) -> ChildProcess:
        """Start a Python module without waiting until it listens."""
        log_path = Path(self._directory.name) / f"{len(self.children)}-{name}.log"
        with log_path.open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=log,
                env={**os.environ, **(environment or {})},
            )
        child = ChildProcess(name, process, log_path)
        self.children.append(child)
        return child

    def start_standin(self, role: str, **options: object) -> ChildProcess:
        """Start a stand-in with its options as command-line flags."""
        arguments = [role, *_flags(options)]
        name = str(options.get("upstream", role))
        return self.start(name, STANDIN_MODULE, arguments)

    def start_entry(
        self, instance: str, failure_domain: str, **settings: object
    ) -> ChildProcess:
        """Start an entry with its settings as command-line flags."""
        options = {
            "instance": instance,
            "failure_domain": failure_domain,
            "peer_key": PEER_KEY,
            **settings,
        }
        return self.start(instance, ENTRY_MODULE, _flags(options))


def run_config(*arguments: str, document: str = "") -> subprocess.CompletedProcess[str]:
    """Run ``banyanswitch-config`` with a document on its standard input."""
    return subprocess.run(
        [sys.executable, "-m", CONFIG_MODULE, *arguments],
        input=document,
        capture_output=True,
        text=True,
        timeout=LISTEN_TIMEOUT_S,
        check=False,
    )


def request_json(method: str, url: str, content: object | None = None) -> Any:
    """Send one HTTP request and return the JSON document of the response."""
    body = None if content is None else json.dumps(content).encode()
    request = urllib.request.Request(url, data=body, method=method)
    request.add_header("Content-Type", "application/json")
    with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S) as response:
        return json.loads(response.read() or b"null")


def is_ready(entry: ChildProcess) -> bool:
    """Return whether the readiness check of an entry succeeds."""
    try:
        entry.get("/health/ready")
    except (OSError, urllib.error.URLError):
        return False
    return True


def wait_until(
    condition: Callable[[], bool], description: str, timeout_s: float = LISTEN_TIMEOUT_S
) -> float:
    """Poll a condition until it holds.

    Parameters
    ----------
    description : str
        Names the condition in the error.

    Returns
    -------
    waited_s : float
        Time until the condition held, in seconds.

    Raises
    ------
    ProcessError
        If the condition does not hold within the time limit.
    """
    started_at_s = time.monotonic()
    while not condition():
        if time.monotonic() - started_at_s > timeout_s:
            raise ProcessError(
                f"timed out after {timeout_s} s waiting until {description}"
            )
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started_at_s


def reserve_ports(
    hosts: Sequence[str], sizes: Sequence[int], reservations: ExitStack
) -> list[int]:
    """Reserve disjoint ranges of ports that are free on every host.

    A socket stays bound to each port on each host until ``reservations`` closes. No
    other reservation and no socket that lets the kernel choose its port gets the port
    meanwhile. A process can listen on it, because the reserving sockets don't listen
    and listeners set ``SO_REUSEADDR``. For datagrams a port is only checked, because
    datagram listeners don't set that option.

    Parameters
    ----------
    hosts : sequence of str
        Addresses on which processes will listen.
    sizes : sequence of int
        Number of consecutive ports in each range.
    reservations : ExitStack
        Releases the ports when it closes.

    Returns
    -------
    first_ports : list of int
        First port of each range.

    Raises
    ------
    ProcessError
        If `MAX_PORT_DRAWS` draws give no free range.
    OSError
        If a host isn't an address of this machine.
    """
    ports = ports_outside(EPHEMERAL_RANGE_PATH.read_text())
    return [_reserve_range(hosts, size, ports, reservations) for size in sizes]


def ports_outside(ephemeral_range: str) -> range:
    """Return the ports to reserve from, given the kernel's ephemeral range.

    Outgoing connections take their ports from the ephemeral range. If too few ports
    are outside it, all ports are returned.

    Parameters
    ----------
    ephemeral_range : str
        Lowest and highest port of the range, as the kernel prints them.
    """
    lowest, highest = map(int, ephemeral_range.split())
    below = range(FIRST_PORT, lowest)
    above = range(max(FIRST_PORT, highest + 1), LAST_PORT + 1)
    ports = max(below, above, key=len)
    return ports if len(ports) >= MIN_PORTS else range(FIRST_PORT, LAST_PORT + 1)


def _reserve_range(
    hosts: Sequence[str], size: int, ports: range, reservations: ExitStack
) -> int:
    for _ in range(MAX_PORT_DRAWS):
        first = random.randrange(ports.start, ports.stop - size + 1)
        with ExitStack() as draw:
            try:
                for port, host in product(range(first, first + size), hosts):
                    _reserve_port(host, port, draw)
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                continue
            reservations.enter_context(draw.pop_all())
            return first
    raise ProcessError(f"no {size} consecutive free ports on {', '.join(hosts)}")


def _reserve_port(host: str, port: int, reservations: ExitStack) -> None:
    reserving = reservations.enter_context(socket.socket())
    reserving.bind((host, port))
    # Set after the bind, which would otherwise succeed on another reservation's port.
    reserving.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Checked after the bind, so that the check can't disturb a process that starts on
    # a reserved port.
    with socket.socket(type=socket.SOCK_DGRAM) as datagrams:
        datagrams.bind((host, port))


def _flags(options: Mapping[str, object]) -> list[str]:
    return [f"--{name}={value}" for name, value in options.items()]
