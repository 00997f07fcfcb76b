"""Lines of the demo and the table that shows them."""

from dataclasses import dataclass

NAME_WIDTH = 32


@dataclass(frozen=True, slots=True)
class StepResult:
    """What one step of the demo showed.

    Parameters
    ----------
    is_held : bool
        Whether the step did what it has to.
    figures : str
        Figures of this run.
    """

    name: str
    is_held: bool
    figures: str


class ClaimFailedError(Exception):
    """A step of the demo did not do what it has to."""


def require(is_true: bool, reason: str) -> None:
    """Fail the step if a claim does not hold.

    Raises
    ------
    ClaimFailedError
        If it does not.
    """
    if not is_true:
        raise ClaimFailedError(reason)


def format_line(result: StepResult) -> str:
    """Return one row of the table."""
    verdict = "ok" if result.is_held else "FAILED"
    return f"{result.name:<{NAME_WIDTH}} {verdict:<7} {result.figures}"
