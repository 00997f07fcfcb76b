"""Plots of the results under ``docs/data``."""

import json
from pathlib import Path
from typing import Any

import matplotlib as mpl
import matplotlib.pyplot as plt

DOCS_DIRECTORY = Path(__file__).resolve().parents[2] / "docs"
POLICIES = ("random", "least load", "prefix hash", "ours", "clairvoyant")

mpl.use("Agg")


def draw() -> None:
    """Draw all plots."""
    for name in ("kim_phat", "yushan"):
        path = DOCS_DIRECTORY / "data" / f"decisions_{name}.json"
        if path.exists():
            _draw_scenarios(name, json.loads(path.read_text(encoding="utf-8")))
    path = DOCS_DIRECTORY / "data" / "decisions_trade.json"
    if path.exists():
        _draw_tradeoff(json.loads(path.read_text(encoding="utf-8")))


def _draw_scenarios(name: str, document: dict[str, Any]) -> None:
    results = document["results"]
    scenarios = list(dict.fromkeys(result["scenario"] for result in results))
    figure, axes = plt.subplots(2, 1, figsize=(9, 7), sharex=True)
    width = 0.8 / len(POLICIES)
    for index, policy in enumerate(POLICIES):
        chosen = [result for result in results if result["policy"] == policy]
        metrics = [result["window"] or result["whole"] for result in chosen]
        positions = [position + index * width for position in range(len(chosen))]
        shares = [item["recomputed_share"] for item in metrics]
        times = [max(0.01, item["short"]["p95_s"]) for item in metrics]
        axes[0].bar(positions, shares, width, label=policy)
        axes[1].bar(positions, times, width, label=policy)
    axes[0].set_ylabel("recomputed share of returning work")
    axes[0].legend(fontsize="small")
    axes[1].set_ylabel("short first token, 95 of 100, s")
    axes[1].set_yscale("log")
    axes[1].axhline(0.54, color="black", linewidth=0.8)
    axes[1].set_xticks(
        [position + 0.4 for position in range(len(scenarios))], scenarios
    )
    axes[1].tick_params(axis="x", labelsize="small")
    _save(figure, f"decisions_{name}.png")


def _draw_tradeoff(document: dict[str, Any]) -> None:
    figure, axes = plt.subplots(1, 2, figsize=(10, 4))
    for name in dict.fromkeys(point["deployment"] for point in document["points"]):
        points = [item for item in document["points"] if item["deployment"] == name]
        links = [point["link_share"] for point in points]
        shares = [point["recomputed_share"] for point in points]
        times = [point["returning_p95_s"] for point in points]
        axes[0].plot(links, shares, marker="o", label=name)
        axes[1].plot(links, times, marker="o", label=name)
        for point in points:
            weight = f"{point['reuse']['link_weight']:g}"
            position = (point["link_share"], point["recomputed_share"])
            axes[0].annotate(weight, position, fontsize="small")
    axes[0].set_ylabel("recomputed share of returning work")
    axes[1].set_ylabel("returning first token, 95 of 100, s")
    for axis in axes:
        axis.set_xlabel("mean use of the links")
        axis.legend(fontsize="small")
    _save(figure, "decisions_trade.png")


def _save(figure: Any, name: str) -> None:
    target = DOCS_DIRECTORY / "plots"
    target.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(target / name, dpi=110)
    plt.close(figure)
