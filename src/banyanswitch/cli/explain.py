"""``banyanswitch-explain``: print the log lines that concern one request."""

import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import fire
import msgspec
from fire.decorators import SetParseFn

CONTEXT_WINDOW_S = 3.0
"""Time before and after a request's lines in which state events of its upstreams are
included."""

EXIT_NOT_FOUND = 1
UPSTREAM_STATE_EVENTS = frozenset(
    {
        "upstream_entry_missing",
        "upstream_gone",
        "upstream_joined",
        "upstream_leaving",
        "upstream_loading",
        "upstream_replaced",
        "upstream_weights",
    }
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log file."""

    source: str
    at_s: float
    fields: dict[str, Any]


def read_lines(path: Path) -> Iterator[LogLine]:
    """Yield the lines of a log file that can be decoded."""
    for text in path.read_text(errors="replace").splitlines():
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(text[start:], type=dict[str, Any])
        except msgspec.DecodeError:
            # A line may be incomplete, for example if its process ended while writing.
            continue
        at_s = fields.get("at_s")
        if isinstance(at_s, float | int):
            yield LogLine(path.name, float(at_s), fields)


def explain(request: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return a request's lines and the state events of its upstreams near them.

    Each instance has its own clock, so a state event is included only if the same
    file has a line of the request near it.
    """
    all_lines = list(lines)
    request_lines = [
        line for line in all_lines if line.fields.get("request") == request
    ]
    upstreams = {line.fields.get("upstream") for line in request_lines} - {None, ""}
    selected = list(request_lines)
    for line in all_lines:
        if line.fields.get("event") not in UPSTREAM_STATE_EVENTS:
            continue
        if line.fields.get("upstream") not in upstreams:
            continue
        if any(
            line.source == other.source
            and abs(line.at_s - other.at_s) <= CONTEXT_WINDOW_S
            for other in request_lines
        ):
            selected.append(line)
    return sorted(selected, key=lambda line: (line.source, line.at_s))


def run(request: str, *logs: str) -> None:
    """Print the log lines that concern a request.

    Parameters
    ----------
    request : str
        Identifier of the caller's attempt.
    *logs : str
        Log files, one per instance.
    """
    lines = [line for log in logs for line in read_lines(Path(log))]
    found = explain(str(request), lines)
    if not found:
        print(f"no line of {len(logs)} files names request {request}", file=sys.stderr)
        sys.exit(EXIT_NOT_FOUND)
    for line in found:
        fields = dict(line.fields)
        event = fields.pop("event", "")
        for name in ("at_s", "level", "request"):
            fields.pop(name, None)
        shown = " ".join(f"{key}={value}" for key, value in fields.items())
        print(f"{line.source} {line.at_s:.3f} {event} {shown}")


def main() -> None:
    """Run the command line."""
    fire.Fire(SetParseFn(str)(run), name="banyanswitch-explain")


if __name__ == "__main__":
    main()
