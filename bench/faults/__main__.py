"""Command line of the fault run: ``python -m bench.faults``.

The exit status is 0 only if no condition was violated and no fault action failed.
"""

import asyncio
import json
import random
import sys
import time
from dataclasses import asdict
from pathlib import Path
from typing import Final

import aiohttp
import fire

from bench.callers import Caller
from bench.faults.ledger import (
    Ledger,
    RequestOutcome,
    count_unknown_by_execution,
    find_violations,
)
from bench.faults.load import CallerContext, async_call_until_done
from bench.faults.schedule import FaultRun, async_run_faults
from bench.fleet import KEYS, Fleet, FleetPlan
from bench.processes import ProcessGroup

DEFAULT_REQUESTS: Final = 20_000
DEFAULT_SEED: Final = 20_261_203
CALLERS: Final = 48
SOCKET_READ_TIMEOUT_S: Final = 8.0
RUN_TIMEOUT_S: Final = 900.0
DATA_PATH: Final = Path(__file__).parents[2] / "docs" / "data" / "faults.json"

PLAN: Final = FleetPlan(
    entries=4,
    engines=4,
    piece_tokens=16,
    engine_options={
        "prefill_tokens_per_s": 1_000_000.0,
        "decode_tokens_per_s": 400.0,
        "load_s": 0.3,
        "slots": 32,
        "cache_pieces": 400,
        "block_bytes": 2048,
        "keep_runs_s": 20.0,
    },
    plain_options={"work_s": 0.02},
    entry_settings={
        "address_ttl_s": 1.0,
        "lease_s": 3.0,
        "claim_s": 5.0,
        "platform_timeout_s": 1.0,
        "table_writes_per_s": 800.0,
        "log_level": "warning",
    },
)


def main(
    requests: int = DEFAULT_REQUESTS,
    seed: int = DEFAULT_SEED,
    output: str = str(DATA_PATH),
) -> None:
    """Send requests to a fleet while faults of all classes are injected.

    Parameters
    ----------
    requests : int
        Minimum number of requests to send.
    seed : int
        Seed of the requests and of the order of the faults.
    output : str
        File to which the result is written as JSON.
    """
    started_at_s = time.monotonic()
    with ProcessGroup() as group:
        fleet = Fleet(group, PLAN)
        fleet.apply()
        fleet.start_entries()
        run = FaultRun(fleet, random.Random(seed))
        ledger = asyncio.run(_async_run(run, requests, seed))
        report = _report(ledger, run)
    elapsed_s = round(time.monotonic() - started_at_s, 1)
    report |= {"seed": seed, "elapsed_s": elapsed_s}
    Path(output).write_text(json.dumps(report, indent=2) + "\n")
    print(json.dumps(report, indent=2))
    sys.exit(0 if report["is_held"] else 1)


async def _async_run(run: FaultRun, requests: int, seed: int) -> Ledger:
    ledger = Ledger()
    timeout = aiohttp.ClientTimeout(
        total=None, sock_connect=1.0, sock_read=SOCKET_READ_TIMEOUT_S
    )
    connector = aiohttp.TCPConnector(limit=0)
    urls = [entry.url for entry in run.fleet.entries]
    async with (
        aiohttp.ClientSession(timeout=timeout, connector=connector) as session,
        asyncio.timeout(RUN_TIMEOUT_S),
    ):
        callers = [Caller(session, key) for key in KEYS]
        faults = asyncio.create_task(async_run_faults(run, ledger, requests))
        context = CallerContext(callers, urls, ledger, requests, faults.done)
        await asyncio.gather(
            *(async_call_until_done(context, seed + i) for i in range(CALLERS))
        )
        await faults
    return ledger


def _report(ledger: Ledger, run: FaultRun) -> dict[str, object]:
    executions = run.fleet.executions()
    foreign_cache_uses = run.engine_counter("foreign_hits")
    violations = find_violations(ledger, executions, foreign_cache_uses)
    store = run.fleet.store.get("/stats")
    return {
        "is_held": violations.count == 0 and not run.failures,
        "offered": ledger.offered,
        "answered": ledger.total(RequestOutcome.ANSWERED),
        "refused": ledger.total(RequestOutcome.REFUSED),
        "unknown": ledger.total(RequestOutcome.UNKNOWN),
        "unknown_by_execution": count_unknown_by_execution(ledger, executions),
        "violations": asdict(violations),
        "endings": dict(sorted(ledger.outcome_counts.items())),
        "resumed_streams": ledger.resumed_streams,
        "cached_pieces_used": run.engine_counter("cached_pieces"),
        "blocks_written": store.get("requests PUT /blocks/{name}", 0),
        "blocks_read": store.get("requests GET /blocks/{name}", 0),
        "refused_tries_by_code": dict(sorted(ledger.refusals.items())),
        "faults_caused": dict(sorted(run.fault_counts.items())),
        "harness_failures": run.failures,
        "examples": ledger.examples,
    }


if __name__ == "__main__":
    fire.Fire(main)
