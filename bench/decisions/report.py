"""Runs of scenarios under the policies, with results written as JSON."""

import json
import sys
from collections.abc import Iterable
from dataclasses import asdict
from pathlib import Path

from bench.decisions import cost, tradeoff
from bench.decisions.deployments import DEPLOYMENTS, Deployment
from bench.decisions.runs import PolicyName, RunResult, run_scenario, scenarios

DATA_DIRECTORY = Path(__file__).resolve().parents[2] / "docs" / "data"


def run(
    *,
    deployment: str = "",
    scenario: str = "",
    policy: str = "",
    seed: int = 1,
    duration_s: float = 14_400.0,
    output: str = "",
) -> None:
    """Run the selected scenarios and print one line per scenario and policy.

    Parameters
    ----------
    deployment, scenario, policy : str
        Name to select; empty selects all.
    duration_s : float
        Simulated time of each run, in seconds.
    output : str
        Suffix of the JSON file under ``docs/data``; if empty, no file is written.
    """
    results: list[RunResult] = []
    for chosen in _named(DEPLOYMENTS, deployment):
        results += _run_deployment(chosen, scenario, policy, seed, duration_s)
    if not output:
        return
    document = {
        "command": " ".join(["python -m bench.decisions", *sys.argv[1:]]),
        "seed": seed,
        "duration_s": duration_s,
        "results": [asdict(result) for result in results],
    }
    _write(f"decisions_{output}.json", document)


def write_cost(seed: int = 1) -> None:
    """Measure the cost of placements and tracked prompts; write it as JSON."""
    prompts = cost.measure_prompts()
    document = {
        "command": "python -m bench.decisions cost",
        "seed": seed,
        "decisions": [asdict(item) for item in cost.measure_decisions(seed)],
        "prompts": [asdict(item) for item in prompts],
        "slope_bytes_per_prompt": cost.slope_bytes(prompts),
    }
    _write("decisions_cost.json", document)
    print(json.dumps(document, indent=1))


def write_trade(seed: int = 1) -> None:
    """Simulate settings of the link weight and write the results as JSON."""
    points = tradeoff.as_document(tradeoff.measure(seed))
    document = {
        "command": "python -m bench.decisions trade",
        "seed": seed,
        "duration_s": tradeoff.DURATION_S,
        "points": points,
    }
    _write("decisions_trade.json", document)
    print(json.dumps(points, indent=1))


def _run_deployment(
    deployment: Deployment, scenario: str, policy: str, seed: int, duration_s: float
) -> list[RunResult]:
    results = []
    for item in scenarios(duration_s):
        if scenario not in {"", item.name}:
            continue
        for name in PolicyName:
            if policy not in {"", name.value}:
                continue
            result = run_scenario(deployment, item, name, seed)
            results.append(result)
            print(_format_line(result), flush=True)
    return results


def _named(items: Iterable[Deployment], name: str) -> list[Deployment]:
    return [item for item in items if name in {"", item.name}]


def _format_line(result: RunResult) -> str:
    metrics = result.window or result.whole
    part = "window" if result.window else "whole"
    return (
        f"{result.deployment:12} {result.scenario:20} {result.policy:11} {part:6} "
        f"short p95 {metrics.short.p95_s:.3f} s, "
        f"long p50 {metrics.long.p50_s:.2f} p95 {metrics.long.p95_s:.2f} s, "
        f"recomputed {metrics.recomputed_share:.3f}, "
        f"refused {metrics.refused} ({metrics.refused_short} short, "
        f"{metrics.refused_after_wait} after a wait), "
        f"failed {metrics.failed}, goodput {metrics.goodput_share:.3f}, "
        f"links {result.links.mean_share:.3f}"
    )


def _write(name: str, document: object) -> None:
    DATA_DIRECTORY.mkdir(parents=True, exist_ok=True)
    path = DATA_DIRECTORY / name
    path.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")
