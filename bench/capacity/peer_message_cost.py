"""Cost of a message of the real peer transport on loopback, per side.

Run ``python -m bench.capacity.peer_message_cost``. The receiver runs in a
separate process, so that the CPU time of each side can be measured.
"""

import asyncio
import os
import subprocess
import sys
import time
from dataclasses import dataclass

import psutil
import uvloop

from banyanswitch.components.peers.transport import NngPeerTransport
from banyanswitch.helpers.signing import SigningKeys
from banyanswitch.identifiers import InstanceId
from bench.capacity.slopes import fit_fields, save

# The deployment forbids io_uring, so uvloop must not use it here either.
os.environ["UV_USE_IO_URING"] = "0"

SEED = 0
KEYS = SigningKeys(b"capacity-key-0123456789")
RATES_PER_S = (25, 50, 100, 200, 400)
SIZES_BYTES = (64, 512, 2048, 8192)
PEERS = (1, 4, 16, 64)
SIZE_BYTES = 256
RATE_PER_S = 100
RUN_S = 4.0


@dataclass(frozen=True, slots=True)
class Payload:
    """Message with a payload of a given size."""

    content: bytes


@dataclass(frozen=True, slots=True)
class MessagePoint:
    """Cost of messages at one rate and size.

    Parameters
    ----------
    sender_s, receiver_s : float
        CPU time of each side per message, in seconds.
    wire_bytes : float
        Bytes on loopback per message in both directions, including headers and the
        traffic of other processes.
    """

    rate_per_s: int
    size_bytes: int
    sent_per_s: float
    sender_s: float
    receiver_s: float
    wire_bytes: float


@dataclass(frozen=True, slots=True)
class ConnectionPoint:
    """Growth of resident memory by connections to ``peers`` peers.

    Both ends of the connections are in the measured process.
    """

    peers: int
    resident_bytes: float


def make_transport(name: str) -> NngPeerTransport:
    """Return a transport that listens on a free port."""
    return NngPeerTransport(
        instance=InstanceId(name),
        incarnation=time.time_ns(),
        listen_address="tcp://127.0.0.1:0",
        advertised_address=None,
        keys=KEYS,
    )


async def async_receive() -> None:
    """Receive messages until stdin ends.

    Prints the address first, then the CPU time for each line read from stdin.
    """
    transport = make_transport("receiver")
    transport.subscribe(Payload, lambda _: None)
    await transport.async_start()
    print(transport.address, flush=True)
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while await reader.readline():
        print(time.process_time(), flush=True)
    await transport.async_stop()


class Receiver:
    """Child process that receives the messages."""

    def __init__(self) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", "bench.capacity.peer_message_cost", "receive"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.address = self._read()

    def processor_s(self) -> float:
        """Return the CPU time of the process, in seconds."""
        if self._process.stdin is None:
            raise RuntimeError("receiver process has no stdin pipe")
        self._process.stdin.write("\n")
        self._process.stdin.flush()
        return float(self._read())

    def stop(self) -> None:
        """Stop the process."""
        if self._process.stdin is not None:
            self._process.stdin.close()
        self._process.wait(10)

    def _read(self) -> str:
        if self._process.stdout is None:
            raise RuntimeError("receiver process has no stdout pipe")
        return self._process.stdout.readline().strip()


async def async_measure(
    receiver: Receiver, rate_per_s: int, size_bytes: int
) -> MessagePoint:
    """Measure sending at a constant rate."""
    transport = make_transport("sender")
    await transport.async_start()
    message = Payload(b"x" * size_bytes)
    await transport.async_send(receiver.address, message)
    await asyncio.sleep(0.3)
    loop = asyncio.get_running_loop()
    receiver_s = receiver.processor_s()
    wire_bytes = loopback_bytes()
    sender_s = time.process_time()
    start_s = loop.time()
    sent = 0
    while loop.time() - start_s < RUN_S:
        await transport.async_send(receiver.address, message)
        sent += 1
        await asyncio.sleep(max(0.0, start_s + sent / rate_per_s - loop.time()))
    elapsed_s = loop.time() - start_s
    sender_s = time.process_time() - sender_s
    wire_bytes = loopback_bytes() - wire_bytes
    receiver_s = receiver.processor_s() - receiver_s
    await transport.async_stop()
    return MessagePoint(
        rate_per_s=rate_per_s,
        size_bytes=size_bytes,
        sent_per_s=sent / elapsed_s,
        sender_s=sender_s / sent,
        receiver_s=receiver_s / sent,
        wire_bytes=wire_bytes / sent,
    )


def loopback_bytes() -> int:
    """Return the bytes sent over loopback by all processes."""
    return psutil.net_io_counters(pernic=True)["lo"].bytes_sent


async def async_connect(count: int) -> ConnectionPoint:
    """Measure the memory that connections to ``count`` peers add to this process.

    The peers are in this process too, so both ends of the connections count.
    """
    others = [make_transport(f"peer-{number}") for number in range(count)]
    for other in others:
        other.subscribe(Payload, lambda _: None)
        await other.async_start()
    transport = make_transport("sender")
    await transport.async_start()
    before = psutil.Process().memory_info().rss
    for _ in range(4):
        for other in others:
            await transport.async_send(other.address, Payload(b"x" * SIZE_BYTES))
        await asyncio.sleep(0.2)
    resident = psutil.Process().memory_info().rss - before
    for other in (*others, transport):
        await other.async_stop()
    return ConnectionPoint(count, resident)


def main() -> None:
    """Measure all points and write the result file."""
    receiver = Receiver()
    by_rate = [
        uvloop.run(async_measure(receiver, rate, SIZE_BYTES)) for rate in RATES_PER_S
    ]
    by_size = [
        uvloop.run(async_measure(receiver, RATE_PER_S, size)) for size in SIZES_BYTES
    ]
    receiver.stop()
    connections = [uvloop.run(async_connect(count)) for count in PEERS]
    for point in (*by_rate, *by_size, *connections):
        print(point)
    save(
        "peer_message",
        command="python -m bench.capacity.peer_message_cost",
        seed=SEED,
        series={
            "by_rate": by_rate,
            "by_size": by_size,
            "connections": connections,
        },
        fits=[
            *fit_fields(by_rate, "rate_per_s", ("sender_s", "receiver_s")),
            *fit_fields(by_size, "size_bytes", ("sender_s", "receiver_s")),
            *fit_fields(connections, "peers", ("resident_bytes",)),
        ],
    )


if __name__ == "__main__":
    if sys.argv[1:] == ["receive"]:
        uvloop.run(async_receive())
    else:
        main()
