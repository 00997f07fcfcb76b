"""Run the demo: ``python -m bench.demo``; exit status 0 if all steps pass."""

import asyncio
import sys
import time
from typing import Final

import aiohttp

from bench.callers import Caller
from bench.demo.report import StepResult, format_line
from bench.demo.steps import STEPS, DemoState, Step
from bench.fleet import KEYS, Fleet, FleetPlan
from bench.processes import ProcessGroup

PLAN: Final = FleetPlan(
    engine_options={
        "prefill_tokens_per_s": 40_000.0,
        "decode_tokens_per_s": 50.0,
        "load_s": 0.5,
    },
    entry_settings={"address_ttl_s": 2.0, "lease_s": 3.0},
)


def main() -> int:
    """Start the fleet, run the steps and print one row per step."""
    started_at_s = time.monotonic()
    with ProcessGroup() as group:
        fleet = Fleet(group, PLAN)
        fleet.apply()
        fleet.start_entries()
        started = StepResult(
            "processes",
            True,
            f"{len(group.children)} started, ready after "
            f"{time.monotonic() - started_at_s:.1f} s",
        )
        print(format_line(started), flush=True)
        results = asyncio.run(_async_run_steps(fleet))
        if not all(result.has_passed for result in results):
            for entry in fleet.entries:
                print(f"-- {entry.name}\n{entry.log_tail()}", file=sys.stderr)
    has_passed = all(result.has_passed for result in results)
    elapsed_s = time.monotonic() - started_at_s
    print(
        format_line(
            StepResult("demo", has_passed, f"{elapsed_s:.1f} s, all processes ended")
        )
    )
    return 0 if has_passed else 1


async def _async_run_steps(fleet: Fleet) -> list[StepResult]:
    results: list[StepResult] = []
    async with aiohttp.ClientSession() as session:
        state = DemoState(fleet, Caller(session, KEYS[0]))
        for name, step in STEPS:
            result = await _async_run_step(name, step, state)
            print(format_line(result), flush=True)
            results.append(result)
    return results


async def _async_run_step(name: str, step: Step, state: DemoState) -> StepResult:
    try:
        return StepResult(name, True, await step(state))
    except Exception as error:  # any failure of a step becomes a row
        return StepResult(name, False, f"{type(error).__name__}: {error}")


if __name__ == "__main__":
    sys.exit(main())
