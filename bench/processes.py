"""Processes on loopback for demo, benchmarks, process tests and fault runs."""

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
from dataclasses import dataclass, field
from functools import cached_property
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self

LISTEN_TIMEOUT_S: Final = 20.0
STOP_TIMEOUT_S: Final = 20.0
POLL_INTERVAL_S: Final = 0.05
HTTP_TIMEOUT_S: Final = 5.0
HOST: Final = "127.0.0.1"
FIRST_PORT: Final = 12_000
LAST_PORT: Final = 32_000
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
        self._directory.cleanup()

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


def free_port() -> int:
    """Return a port on which no process listens.

    The port is below the ephemeral range, so no outgoing connection can take it
    before the process listens. It is not reserved: another process can still listen
    on it first.
    """
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as listener:
            try:
                listener.bind((HOST, port))
            except OSError:
                continue
        return port


def _flags(options: Mapping[str, object]) -> list[str]:
    return [f"--{name}={value}" for name, value in options.items()]
