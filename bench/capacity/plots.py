"""Plots of the measured points with their least-squares lines."""

import json
from pathlib import Path
from typing import Any

import matplotlib as mpl
import matplotlib.pyplot as plt
import numpy as np

from bench.capacity.slopes import DATA_FOLDER

mpl.use("Agg")

PLOT_FOLDER = Path(__file__).parents[2] / "docs" / "plots"

PLOTS = (
    ("membership", "instances", "instances", ("bytes_per_s", "churn_bytes_per_s")),
    (
        "upstream_load",
        "by_instances",
        "instances",
        ("bytes_per_s", "max_bytes_per_s"),
    ),
    (
        "upstream_load",
        "by_upstreams",
        "upstreams",
        ("bytes_per_s", "max_bytes_per_s"),
    ),
    ("upstream_load", "by_services_used", "services_used", ("bytes_per_s",)),
    ("routing", "points", "upstreams", ("processor_share",)),
    ("poll", "points", "polls_per_s", ("processor_share",)),
    ("addresses", "points", "instances", ("answer_s", "repeated_answer_s")),
    ("entry", "points", "entries", ("processor_share", "max_processor_share")),
)


def load(name: str) -> dict[str, Any]:
    """Return the result file of one bench."""
    document: dict[str, Any] = json.loads(
        (DATA_FOLDER / f"capacity_{name}.json").read_text()
    )
    return document


def draw(name: str, series: str, against: str, quantities: tuple[str, ...]) -> None:
    """Plot quantities of one series, each with its least-squares line."""
    points = load(name)["series"][series]
    x = np.array([point[against] for point in points], dtype=float)
    figure, axes = plt.subplots(figsize=(6, 3.6))
    for quantity in quantities:
        y = np.array([point[quantity] for point in points], dtype=float)
        slope, intercept = np.polyfit(x, y, 1)
        line = axes.plot(x, y, "o", label=f"{quantity}, {slope:.3g} a step")[0]
        axes.plot(x, intercept + slope * x, "-", color=line.get_color())
    axes.set_xlabel(against)
    axes.set_ylim(bottom=0)
    axes.legend()
    axes.grid(visible=True, alpha=0.3)
    figure.tight_layout()
    figure.savefig(PLOT_FOLDER / f"capacity_{name}_{series}.png", dpi=110)
    plt.close(figure)


def main() -> None:
    """Draw all plots."""
    PLOT_FOLDER.mkdir(parents=True, exist_ok=True)
    for name, series, against, quantities in PLOTS:
        draw(name, series, against, quantities)


if __name__ == "__main__":
    main()
