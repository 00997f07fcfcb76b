"""Ports that are chosen before the processes that listen on them start."""

import asyncio
import errno
import random
import socket
from collections.abc import Iterable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from types import SimpleNamespace
from typing import Any, Self

import pytest
from bench.fleet import Fleet, FleetPlan
from bench.processes import (
    HOST,
    MAX_PORT_DRAWS,
    ChildProcess,
    ProcessError,
    ProcessGroup,
    ports_outside,
    reserve_ports,
)

from tests.process.platform_fleet import HOSTS, Platform

INTERNAL_PORTS = 6


class FakeSocket:
    """Socket of a `FakeKernel`; it has one address and never listens."""

    def __init__(self, kernel: "FakeKernel", kind: socket.SocketKind) -> None:
        self._kernel = kernel
        self._kind = kind
        self._address: tuple[str, int] | None = None

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def bind(self, address: tuple[str, int]) -> None:
        host, port = address
        port = port or self._kernel.choose_port(self._kind, host)
        self._kernel.bind(self._kind, host, port)
        self._address = (host, port)

    def getsockname(self) -> tuple[str, int]:
        assert self._address is not None
        return self._address

    def setsockopt(self, level: int, option: int, value: int) -> None:
        assert (level, option, value) == (socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)

    def close(self) -> None:
        if self._address is not None:
            self._kernel.bound.discard((self._kind, *self._address))


class FakeKernel:
    """Kernel whose choices of ports, like those of `random`, are scripted."""

    def __init__(self, choices: Iterable[int]) -> None:
        self.choices = iter(choices)
        self.bound: set[tuple[socket.SocketKind, str, int]] = set()

    def bind(self, kind: socket.SocketKind, host: str, port: int) -> None:
        if (kind, host, port) in self.bound:
            raise OSError(errno.EADDRINUSE, "Address already in use")
        self.bound.add((kind, host, port))

    def choose_port(self, kind: socket.SocketKind, host: str) -> int:
        return next(
            port for port in self.choices if (kind, host, port) not in self.bound
        )

    def make_socket(
        self,
        family: int = socket.AF_INET,
        type: socket.SocketKind = socket.SOCK_STREAM,
    ) -> FakeSocket:
        return FakeSocket(self, type)

    @contextmanager
    def installed(self) -> Iterator[None]:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(socket, "socket", self.make_socket)
            patch.setattr(random, "randrange", lambda *_: next(self.choices))
            yield


class RecordingGroup(ProcessGroup):
    """Group that records the options of its processes and starts none."""

    def __enter__(self) -> Self:
        self.options: list[dict[str, Any]] = []
        return super().__enter__()

    def start_standin(self, role: str, **options: object) -> ChildProcess:
        return self._record(options)

    def start_entry(
        self, instance: str, failure_domain: str, **settings: object
    ) -> ChildProcess:
        return self._record(settings)

    def _record(self, options: dict[str, Any]) -> ChildProcess:
        self.options.append(options)
        return SimpleNamespace(  # type: ignore[return-value]
            url=f"http://{HOST}", port=options.get("port"), is_running=False
        )


def is_reserved(host: str, port: int) -> bool:
    with socket.socket() as other:
        try:
            other.bind((host, port))
        except OSError as error:
            return error.errno == errno.EADDRINUSE
    return False


# Guards against processes that can't listen because two addresses share a port.
@pytest.mark.parametrize(
    "choices",
    [
        pytest.param((20000, 20000, 20010, 20020, 20030), id="same port twice"),
        pytest.param((20003, 20010, 20020, 20000, 20030), id="inside internal range"),
    ],
)
async def test_ports_of_a_platform_do_not_overlap(
    tmp_path: Path, choices: tuple[int, ...]
) -> None:
    with FakeKernel(choices).installed():
        platform = Platform(tmp_path)
    await platform.async_stop()
    ports = dict(platform.ports)
    internal = ports.pop("internal")
    ports_used = [*ports.values(), *range(internal, internal + INTERNAL_PORTS)]
    assert sorted(ports_used) == sorted(set(ports_used))


# Guards against ports that were free on the first host only, or only for streams.
@pytest.mark.parametrize(
    "kind",
    [
        pytest.param(socket.SOCK_STREAM, id="stream"),
        pytest.param(socket.SOCK_DGRAM, id="datagram"),
    ],
)
@pytest.mark.parametrize("host", HOSTS)
async def test_ports_of_a_platform_are_free_on_every_host(
    tmp_path: Path, host: str, kind: socket.SocketKind
) -> None:
    kernel = FakeKernel((20000, 20010, 20020, 20030, 20040))
    kernel.bind(kind, host, 20000)
    with kernel.installed():
        platform = Platform(tmp_path)
    await platform.async_stop()
    assert 20000 not in platform.ports.values()


# Guards against another process that takes a port before its own process listens.
async def test_ports_of_a_platform_stay_reserved(tmp_path: Path) -> None:
    platform = Platform(tmp_path)
    try:
        for host in HOSTS:
            for port in platform.ports.values():
                assert is_reserved(host, port)
    finally:
        await platform.async_stop()


# Guards against entries that can't listen because two of them share a port.
def test_ports_of_entries_do_not_overlap() -> None:
    choices = (20000, 20000, 20001, 20000, 20001, 20002, 20003)
    with RecordingGroup() as group:
        fleet = Fleet(group, FleetPlan(engines=0))
        with FakeKernel(choices).installed():
            entries = [fleet.start_entry() for _ in range(2)]
    assert len(entries) == 2
    ports_used = [
        options[name]
        for options in group.options[-2:]
        for name in ("port", "peer_port")
    ]
    assert sorted(ports_used) == sorted(set(ports_used))


# Guards against a port that is taken between the end of a process and its restart.
def test_ports_of_restartable_processes_stay_reserved() -> None:
    with RecordingGroup() as group:
        fleet = Fleet(group, FleetPlan(engines=2))
        fleet.start_entry()
        for process in (*fleet.engines, *fleet.entries):
            assert is_reserved(HOST, process.port)


# Guards against test runs on one machine that take each other's ports.
def test_reserved_port_is_not_reserved_again(monkeypatch: pytest.MonkeyPatch) -> None:
    with ExitStack() as reservations:
        (port,) = reserve_ports(HOSTS, (1,), reservations)
        monkeypatch.setattr(random, "randrange", lambda *_: port)
        with pytest.raises(ProcessError):
            reserve_ports(HOSTS, (1,), reservations)


async def test_process_can_listen_on_reserved_port() -> None:
    loop = asyncio.get_running_loop()
    with ExitStack() as reservations:
        (port,) = reserve_ports(HOSTS, (1,), reservations)
        for host in HOSTS:
            server = await loop.create_server(asyncio.Protocol, host, port)
            transport, _ = await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, (host, port)
            )
            transport.close()
            server.close()
            await server.wait_closed()


def test_released_ports_are_free() -> None:
    with ExitStack() as reservations:
        (port,) = reserve_ports(HOSTS, (1,), reservations)
    assert not any(is_reserved(host, port) for host in HOSTS)


def test_reservation_fails_without_free_ports() -> None:
    kernel = FakeKernel([20000] * MAX_PORT_DRAWS)
    kernel.bind(socket.SOCK_STREAM, HOST, 20000)
    with ExitStack() as reservations, kernel.installed():
        with pytest.raises(ProcessError, match="no 1 consecutive free ports"):
            reserve_ports((HOST,), (1,), reservations)
        assert kernel.bound == {(socket.SOCK_STREAM, HOST, 20000)}


@pytest.mark.parametrize(
    ("ephemeral_range", "ports"),
    [
        ("32768\t60999\n", range(12_000, 32_768)),
        ("1024\t40000\n", range(40_001, 65_536)),
        ("1024\t65535\n", range(12_000, 65_536)),
    ],
)
def test_ports_are_outside_the_ephemeral_range(
    ephemeral_range: str, ports: range
) -> None:
    assert ports_outside(ephemeral_range) == ports
