"""A machine is stopped while clients still connect to it, as their addresses allow."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
from fleet import (  # noqa: E402
    Machine,
    Record,
    Runner,
    Store,
    async_call,
    caller_headers,
    configuration,
    free_ports,
    make_folder,
)

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 8.0
"""``gracePeriodS`` of the deployment."""
EXCUSED_S = 3.0
"""Time after SIGTERM until which a request may be cut at the end of the grace period,
as the rule says."""
WORK_S = 5.0
"""Time that the runner works on a request, half of the route's ``timeoutMs``."""
SENT_AT_S = tuple(2.5 + 0.05 * number for number in range(10)) + tuple(
    3.004 + 0.003 * number for number in range(10)
)
"""Times after SIGTERM at which clients send their requests."""


async def async_payout(machine, record, number, began_s):
    """Send a request as a client does; return when it was sent and what it got."""
    await asyncio.sleep(began_s + SENT_AT_S[number] - time.monotonic())
    sent_s = time.monotonic() - began_s
    attempt = f"p{number}"
    record.line(f"client sends {attempt} {sent_s:.4f} s after the signal")
    try:
        answer = await async_call(
            machine.front, "POST /payout/x", caller_headers(attempt, 10000), b"{}"
        )
        got = answer[0] if answer else "cut"
    except OSError as error:
        got = f"no connection: {error!r}"
    record.line(f"client gets {got} for {attempt}, sent {sent_s:.4f} s after it")
    return attempt, sent_s, got


async def async_run(record, folder):
    store = Store()
    await store.async_start()
    runners = [Runner(f"i-{number}", record, work_s=WORK_S) for number in (1, 2, 3)]
    for runner in runners:
        await runner.async_start()
        store.put("servers", runner.name, runner.entry())
    store.put("op", "config", configuration())
    ports = free_ports(14)
    hosts = ("127.0.0.2", "127.0.0.3")
    seeds = [f"{host}:{ports + 3}" for host in hosts]
    machines = [
        Machine(folder, f"frontend-{number}", host, ports, seeds, store.address)
        for number, host in enumerate(hosts, start=1)
    ]
    try:
        for machine in machines:
            machine.write_settings()
            await machine.async_start()
        for machine in machines:
            await machine.async_wait_ready()
        # Longer than stableWindowMs, so that the machines are in touch.
        await asyncio.sleep(4.0)
        began_s = time.monotonic()
        if HAS_TROUBLE:
            machines[0].process.send_signal(signal.SIGTERM)
            record.line("frontend-1 gets SIGTERM")
        results = await asyncio.gather(
            *(
                async_payout(machines[0], record, number, began_s)
                for number in range(len(SENT_AT_S))
            )
        )
        ends_at_s = began_s + GRACE_S + 1.0
        await asyncio.sleep(max(0.0, ends_at_s - time.monotonic()))
    finally:
        for machine in machines:
            await machine.async_stop()
    passed_on = {attempt for runner in runners for attempt in runner.ran}
    lost = [
        (attempt, sent_s)
        for attempt, sent_s, got in results
        if got == "cut" and attempt in passed_on and sent_s > EXCUSED_S
    ]
    for attempt, sent_s in lost:
        record.line(
            f"LOST broken: {attempt}, sent {sent_s:.4f} s after SIGTERM, was cut"
        )
    record.line("broken" if lost else "held")
    return 1 if lost else 0


async def async_main():
    record = Record(HERE / "record.txt")
    with make_folder() as folder:
        try:
            return await async_run(record, folder)
        except (OSError, RuntimeError, TimeoutError) as error:
            record.line(f"the case couldn't run: {error!r}")
            return 2


if __name__ == "__main__":
    sys.exit(asyncio.run(async_main()))
