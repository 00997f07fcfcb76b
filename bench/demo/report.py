"""Results of the demo steps and their rows in the printed table."""

from dataclasses import dataclass

NAME_WIDTH = 32


@dataclass(frozen=True, slots=True)
class StepResult:
    """Result of one step of the demo.

    Parameters
    ----------
    is_held : bool
        Whether the step passed.
    figures : str
        Measured figures of the step, or its error.
    """

    name: str
    is_held: bool
    figures: str


class ClaimFailedError(Exception):
    """A requirement of a demo step is not met."""


def require(is_true: bool, reason: str) -> None:
    """Fail the step if a requirement is not met.

    Raises
    ------
    ClaimFailedError
        If ``is_true`` is false.
    """
    if not is_true:
        raise ClaimFailedError(reason)


def format_line(result: StepResult) -> str:
    """Return the table row of a step."""
    verdict = "ok" if result.is_held else "FAILED"
    return f"{result.name:<{NAME_WIDTH}} {verdict:<7} {result.figures}"
