"""Measure the cost that an entry adds to a request: ``python -m bench.entry``.

Latency is measured with direct requests and requests through the entry in turn, in
one run, so that other load on the machine affects both.
"""

import asyncio
import json
import sys
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Final

import aiohttp
import numpy as np
import psutil

from bench.callers import Caller, completion_body
from bench.fleet import KEYS, MODEL, Fleet, FleetPlan
from bench.processes import ChildProcess, ProcessGroup

RESULT_PATH: Final = Path("docs/data/entry_cost.json")
COMMAND: Final = "python -m bench.entry"
MEASURED_PAIRS: Final = 300
WARM_UP_PAIRS: Final = 20
STREAMS: Final = 26
TOKENS_PER_STREAM: Final = 1000
DECODE_TOKENS_PER_S: Final = 100.0
IDLE_S: Final = 5.0
MAX_ADDED_FIRST_TOKEN_S: Final = 0.005
MAX_CPU_PER_TOKEN_S: Final = 40e-6
MICROSECONDS_PER_S: Final = 1e6
MILLISECONDS_PER_S: Final = 1e3


@dataclass(frozen=True, slots=True)
class EntryCost:
    """Result of one run.

    Parameters
    ----------
    added_first_token_p95_s : float
        95th percentile of the time to first token through the entry, minus that of
        direct requests, in seconds.
    cpu_per_token_s : float
        CPU time of the entry per token without its idle CPU use, in seconds.
    floor_cpu_per_token_s : float
        CPU time per token of a plain aiohttp pass-through in the same run, in seconds;
        its idle CPU use is not subtracted.
    """

    command: str
    direct_first_token_p50_s: float
    direct_first_token_p95_s: float
    entry_first_token_p50_s: float
    entry_first_token_p95_s: float
    added_first_token_p95_s: float
    ratio_first_token_p95: float
    tokens: int
    tokens_per_s: float
    cpu_per_token_s: float
    floor_cpu_per_token_s: float
    idle_cpu_share: float
    idle_rss_bytes: int
    busy_rss_bytes: int


async def async_direct_first_token_s(
    session: aiohttp.ClientSession, url: str, number: int
) -> float:
    """Return the time to the first byte of a direct stream, in seconds."""
    body = completion_body(MODEL, f"direct {number}", 2)
    headers = {
        "X-Banyan-Run-Id": f"direct-{number}",
        "X-Banyan-Workspace": "direct",
        "X-Banyan-Weight-Version": "v1",
    }
    return await _async_first_byte_s(
        session, f"{url}/v1/chat/completions", headers, body
    )


async def async_entry_first_token_s(
    session: aiohttp.ClientSession, url: str, number: int
) -> float:
    """Return the time to the first byte through the entry, in seconds."""
    body = completion_body(MODEL, f"entry {number}", 2)
    headers = {"Authorization": f"Bearer {KEYS[0]}"}
    return await _async_first_byte_s(
        session, f"{url}/v1/chat/completions", headers, body
    )


async def _async_first_byte_s(
    session: aiohttp.ClientSession, url: str, headers: dict[str, str], body: bytes
) -> float:
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    async with session.post(url, headers=headers, data=body) as response:
        response.raise_for_status()
        await response.content.readany()
        first_s = loop.time() - started_at_s
        await response.read()
    return first_s


async def async_measure(fleet: Fleet, pass_through: ChildProcess) -> EntryCost:
    """Measure latency in pairs of requests, then CPU time under load."""
    entry = fleet.entries[0]
    engine = fleet.engines[0]
    process = psutil.Process(entry.process.pid)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        direct: list[float] = []
        via_entry: list[float] = []
        for number in range(-WARM_UP_PAIRS, MEASURED_PAIRS):
            direct_s = await async_direct_first_token_s(session, engine.url, number)
            via_entry_s = await async_entry_first_token_s(session, entry.url, number)
            if number >= 0:
                direct.append(direct_s)
                via_entry.append(via_entry_s)
        idle_share, idle_rss_bytes = await _async_idle(process)
        caller = Caller(session, KEYS[0])
        cpu_s, elapsed_s = await _async_load(caller, entry.url, process)
        pass_through_process = psutil.Process(pass_through.process.pid)
        pass_through_cpu_s, _ = await _async_load(
            caller, pass_through.url, pass_through_process
        )
    tokens = STREAMS * TOKENS_PER_STREAM
    direct_p50_s, direct_p95_s = np.percentile(direct, [50, 95])
    entry_p50_s, entry_p95_s = np.percentile(via_entry, [50, 95])
    return EntryCost(
        command=COMMAND,
        direct_first_token_p50_s=float(direct_p50_s),
        direct_first_token_p95_s=float(direct_p95_s),
        entry_first_token_p50_s=float(entry_p50_s),
        entry_first_token_p95_s=float(entry_p95_s),
        added_first_token_p95_s=float(entry_p95_s - direct_p95_s),
        ratio_first_token_p95=float(entry_p95_s / direct_p95_s),
        tokens=tokens,
        tokens_per_s=tokens / elapsed_s,
        cpu_per_token_s=(cpu_s - idle_share * elapsed_s) / tokens,
        floor_cpu_per_token_s=pass_through_cpu_s / tokens,
        idle_cpu_share=idle_share,
        idle_rss_bytes=idle_rss_bytes,
        busy_rss_bytes=process.memory_info().rss,
    )


async def _async_idle(process: psutil.Process) -> tuple[float, int]:
    before_s = _cpu_s(process)
    await asyncio.sleep(IDLE_S)
    return (_cpu_s(process) - before_s) / IDLE_S, process.memory_info().rss


async def _async_load(
    caller: Caller, url: str, process: psutil.Process
) -> tuple[float, float]:
    loop = asyncio.get_running_loop()
    before_s = _cpu_s(process)
    started_at_s = loop.time()
    responses = await asyncio.gather(
        *(
            caller.async_stream(
                url, completion_body(MODEL, f"load {number}", TOKENS_PER_STREAM)
            )
            for number in range(STREAMS)
        )
    )
    elapsed_s = loop.time() - started_at_s
    for response in responses:
        response.check(TOKENS_PER_STREAM)
    return _cpu_s(process) - before_s, elapsed_s


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def print_cost(cost: EntryCost) -> bool:
    """Print the result with its targets and return whether they are met."""
    added_ms = cost.added_first_token_p95_s * MILLISECONDS_PER_S
    cpu_us = cost.cpu_per_token_s * MICROSECONDS_PER_S
    is_latency_met = cost.added_first_token_p95_s <= MAX_ADDED_FIRST_TOKEN_S
    is_cpu_met = cost.cpu_per_token_s <= MAX_CPU_PER_TOKEN_S
    print(f"added to first token, 95 of 100: {added_ms:.2f} ms (target 5 ms)")
    print(f"first token ratio to direct:     {cost.ratio_first_token_p95:.2f}")
    print(f"processor time a token:          {cpu_us:.1f} us (target 40 us)")
    pass_through_us = cost.floor_cpu_per_token_s * MICROSECONDS_PER_S
    print(f"the same of a pass-through:      {pass_through_us:.1f} us")
    print(f"tokens a second:                 {cost.tokens_per_s:.0f}")
    print(f"idle processor share:            {cost.idle_cpu_share:.4f} of a core")
    print(
        f"resident memory idle, busy:      {cost.idle_rss_bytes / 2**20:.1f}, ", end=""
    )
    print(f"{cost.busy_rss_bytes / 2**20:.1f} MiB")
    return is_latency_met and is_cpu_met


def main() -> int:
    """Run the measurement, write the result file and return 1 if a target is missed."""
    plan = FleetPlan(
        entries=1,
        engines=1,
        engine_options={
            "prefill_tokens_per_s": 1_000_000.0,
            "decode_tokens_per_s": DECODE_TOKENS_PER_S,
            "slots": 64,
        },
        upstream_slots=64,
    )
    with ProcessGroup() as group:
        fleet = Fleet(group, plan)
        fleet.apply()
        fleet.start_entries()
        pass_through = group.start(
            "pass-through", "bench.entry.pass_through", [fleet.engines[0].url]
        )
        cost = asyncio.run(async_measure(fleet, pass_through))
    RESULT_PATH.write_text(json.dumps(asdict(cost), indent=2) + "\n")
    return 0 if print_cost(cost) else 1


if __name__ == "__main__":
    sys.exit(main())
