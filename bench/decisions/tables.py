"""Markdown tables of the results under ``docs/data``."""

import json
from pathlib import Path
from typing import Any

DATA_DIRECTORY = Path(__file__).resolve().parents[2] / "docs" / "data"
HEADER = (
    "| scenario | policy | short p50/p95/p99, s | long p50/p95/p99, s | recomputed "
    "| links | refused (after a wait) | failed | goodput |"
)


def write() -> None:
    """Print one table for each deployment with stored results."""
    for name in ("kim_phat", "yushan", "letter_scale"):
        path = DATA_DIRECTORY / f"decisions_{name}.json"
        if not path.exists():
            continue
        document = json.loads(path.read_text(encoding="utf-8"))
        print(f"\n`{document['command']}`, seed {document['seed']}\n")
        print(HEADER)
        print("|---" * 9 + "|")
        for result in document["results"]:
            print(_row(result))


def _row(result: dict[str, Any]) -> str:
    metrics = result["window"] or result["whole"]
    refused = f"{metrics['refused']} ({metrics['refused_after_wait']})"
    cells = (
        result["scenario"],
        result["policy"],
        _times(metrics["short"], digits=2),
        _times(metrics["long"], digits=1),
        f"{metrics['recomputed_share']:.3f}",
        f"{result['links']['mean_share']:.2f}",
        refused,
        str(metrics["failed"]),
        f"{metrics['goodput_share']:.3f}",
    )
    return "| " + " | ".join(cells) + " |"


def _times(latency: dict[str, float], *, digits: int) -> str:
    names = ("p50_s", "p95_s", "p99_s")
    return " / ".join(f"{latency[name]:.{digits}f}" for name in names)
