"""Streams of two software versions, as all machines and the store come back."""

import asyncio
import contextlib
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))
from kit import (  # noqa: E402
    Deployment,
    Engine,
    engine_configuration,
    prompt_headers,
    run,
)

STREAMS = 24
EVENTS = 60
DEADLINE_S = 10.0
COPY_AGE_S = 3.2
"""Age of the copy from which the store returns: "some seconds"."""
AWAY_S = 1.0
REWRITE_S = 1.2
"""Time after which the runner's entry is written again: one heartbeat."""
RESTART_S = 0.3
JOINED_FOR_S = 0.5
"""Time from the runner's first entry to the trouble, without the drill."""
OUTAGE_S = 4.5
POWER_OFF_S = 2.0
SENDS_RESUMES = os.environ.get("RESUMES") == "1"
HAS_DRILL = os.environ.get("VARIANT") != "lapse"


class Caller:
    """Client that takes its stream up again after a broken connection."""

    def __init__(self, deployment: Deployment, number: int) -> None:
        self._deployment = deployment
        self._number = number
        self.name = f"a{number:02d}"
        self.events: list[tuple[int, str]] = []

    @property
    def last(self) -> int:
        return self.events[-1][0] if self.events else 0

    @property
    def software(self) -> list[str]:
        """Software versions that wrote the events, in the order of their first one."""
        return list(dict.fromkeys(software for _, software in self.events))

    async def async_run(self) -> None:
        ends_at_s = time.monotonic() + DEADLINE_S
        tries = 0
        while time.monotonic() < ends_at_s and self.last < EVENTS:
            hosts = self._deployment.machines.hosts
            host = hosts[(self._number + tries) % len(hosts)]
            with contextlib.suppress(
                OSError, TimeoutError, asyncio.IncompleteReadError
            ):
                async with asyncio.timeout_at(
                    asyncio.get_running_loop().time() + DEADLINE_S
                ):
                    await self._async_try(host, tries)
            tries += 1
            await asyncio.sleep(0.05)

    async def _async_try(self, host: str, tries: int) -> None:
        attempt = f"{self.name}t{tries}" if tries else self.name
        headers = prompt_headers(attempt)
        if self.last:
            headers["Last-Event-Id"] = str(self.last)
            if SENDS_RESUMES:
                headers["Resumes"] = self.name
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, self._deployment.machines.ports), 1.0
        )
        try:
            lines = ["POST /grade/x HTTP/1.1", "Host: shop.example"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines += ["Content-Length: 4", "", "body"]
            writer.write("\r\n".join(lines).encode())
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ")[1])
            self._deployment.record.line(
                f"client {attempt} after event {self.last} gets {status} from {host}"
            )
            if status == 200:
                await self._async_read_events(reader)
        finally:
            writer.transport.abort()

    async def _async_read_events(self, reader: asyncio.StreamReader) -> None:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            content = await reader.readexactly(size)
            await reader.readexactly(2)
            for event in content.decode().split("\n\n"):
                if event:
                    number, software = event.split("\n")
                    self.events.append((int(number[4:]), software[6:]))


async def async_restart(deployment: Deployment, off_s: float) -> None:
    """Let all machines lose power for a time."""
    machines = deployment.machines
    for process in machines.processes.values():
        process.kill()
    for process in machines.processes.values():
        await process.wait()
    await asyncio.sleep(off_s)
    for host in machines.hosts:
        await machines.async_restart(host)


async def async_trouble(deployment: Deployment) -> None:
    """Let all machines lose power while the store is away."""
    store, record = deployment.store, deployment.record
    if HAS_DRILL:
        deployment.stop_beats("i-3")
        record.line("the store is away, and all machines lose power")
        store.is_down = True
        await async_restart(deployment, RESTART_S)
        await asyncio.sleep(AWAY_S - RESTART_S)
        store.return_from_copy()
        record.line("the store is back from its copy")
    else:
        for name in deployment.runners:
            deployment.stop_beats(name)
        record.line("the store is down, and all machines lose power")
        store.is_down = True
        await async_restart(deployment, POWER_OFF_S)
        await asyncio.sleep(OUTAGE_S - POWER_OFF_S)
        store.is_down = False
        for name in deployment.runners:
            store.put("servers", name, None)
        record.line("the store is back, and all entries have expired")
        for name in ("i-1", "i-2"):
            deployment.start_beats(name)
    await asyncio.sleep(REWRITE_S)
    deployment.start_beats("i-3")
    record.line("i-3 (v2) writes its entry again")


async def async_main(folder: Path, has_trouble: bool) -> int:
    runners = [
        lambda record, n=number: Engine(f"i-{n}", "llm", record, "v1")
        for number in (1, 2)
    ]
    deployment = Deployment(folder, 3, runners, engine_configuration())
    record = deployment.record
    try:
        await deployment.async_start()
        await asyncio.sleep(1.0)
        deployment.store.take_copy()
        record.line("copy of the store")
        await asyncio.sleep(0.3)
        await deployment.async_add(Engine("i-3", "llm", record, "v2"))
        record.line("i-3 (v2) joins")
        if HAS_DRILL:
            await asyncio.sleep(COPY_AGE_S - 0.3 - 0.8)
        callers = [Caller(deployment, number) for number in range(STREAMS)]
        tasks = [asyncio.create_task(caller.async_run()) for caller in callers]
        await asyncio.sleep(0.8 if HAS_DRILL else JOINED_FOR_S)
        if has_trouble:
            await async_trouble(deployment)
        await asyncio.gather(*tasks)
        for caller in callers:
            record.line(
                f"stream {caller.name}: {len(caller.events)} events by "
                f"{' then '.join(caller.software)}"
            )
        joined = [caller.name for caller in callers if len(caller.software) > 1]
        result = f"{len(joined)} of {STREAMS} streams joined from two versions"
        record.line(result)
        print(result)
        return 1 if joined else 0
    finally:
        await deployment.async_stop()


run(async_main, Path(__file__).resolve().parent)
