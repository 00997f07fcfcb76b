"""Least-squares lines through measured points, and the result files."""

import json
import platform
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

import numpy as np

DATA_FOLDER = Path(__file__).parents[2] / "docs" / "data"


@dataclass(frozen=True, slots=True)
class Fit:
    """Least-squares line through measured points.

    Parameters
    ----------
    relative_residual : float
        Root mean square error of the line, divided by the mean absolute value of the
        points.
    smallest, largest : float
        Range of ``against`` in the measured points.
    """

    quantity: str
    against: str
    slope: float
    intercept: float
    relative_residual: float
    smallest: float
    largest: float

    def at(self, value: float) -> float:
        """Return the value of the line at ``value``."""
        return self.intercept + self.slope * value


def fit(quantity: str, against: str, x: Sequence[float], y: Sequence[float]) -> Fit:
    """Return the least-squares line of ``y`` against ``x``."""
    slope, intercept = np.polyfit(x, y, 1)
    distances = np.asarray(y) - (intercept + slope * np.asarray(x))
    scale = float(np.mean(np.abs(y))) or 1.0
    return Fit(
        quantity=quantity,
        against=against,
        slope=float(slope),
        intercept=float(intercept),
        relative_residual=float(np.sqrt(np.mean(distances**2))) / scale,
        smallest=float(min(x)),
        largest=float(max(x)),
    )


def fit_fields(
    points: Sequence[object], against: str, quantities: Sequence[str]
) -> list[Fit]:
    """Return one line per quantity; ``against`` and quantities name point fields."""
    x = [float(getattr(point, against)) for point in points]
    return [
        fit(name, against, x, [float(getattr(point, name)) for point in points])
        for name in quantities
    ]


def save(
    name: str,
    *,
    command: str,
    seed: int,
    series: dict[str, Sequence[object]],
    fits: Sequence[Fit],
) -> None:
    """Write points and fits to ``docs/data/capacity_<name>.json``; print the fits."""
    document = {
        "command": command,
        "seed": seed,
        "python": platform.python_version(),
        "series": {key: [asdict(p) for p in points] for key, points in series.items()},  # type: ignore[call-overload]
        "fits": [asdict(line) for line in fits],
    }
    path = DATA_FOLDER / f"capacity_{name}.json"
    path.write_text(json.dumps(document, indent=1) + "\n")
    for line in fits:
        print(
            f"{name}: {line.quantity} = {line.intercept:.4g} + {line.slope:.4g} * "
            f"{line.against} (residual {line.relative_residual:.1%})"
        )
