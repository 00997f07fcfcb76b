"""Tests of ``banyanswitch-explain``, which prints the log lines of one request."""

import json
from pathlib import Path

import pytest

from banyanswitch.cli.explain import explain, read_lines, run


def write_log(path: Path, *lines: dict[str, object]) -> Path:
    path.write_text("\n".join(json.dumps(line) for line in lines) + '\n{"cut')
    return path


def test_explain_includes_state_events_of_the_upstream(tmp_path: Path) -> None:
    log = write_log(
        tmp_path / "a.log",
        {"at_s": 1.0, "event": "upstream_loading", "upstream": "u1"},
        {"at_s": 2.0, "event": "request_placed", "request": "r", "upstream": "u1"},
        {"at_s": 2.1, "event": "request_placed", "request": "q", "upstream": "u1"},
        {"at_s": 2.5, "event": "upstream_gone", "upstream": "u2"},
        {"at_s": 3.0, "event": "request_refused", "request": "r", "upstream": "u1"},
        {"at_s": 90.0, "event": "upstream_gone", "upstream": "u1"},
    )
    found = explain("r", read_lines(log))
    events = [line.fields["event"] for line in found]
    assert events == ["upstream_loading", "request_placed", "request_refused"]


def test_explain_excludes_state_events_of_other_instances(tmp_path: Path) -> None:
    first = write_log(
        tmp_path / "a.log",
        {"at_s": 2.0, "event": "request_placed", "request": "r", "upstream": "u1"},
    )
    second = write_log(
        tmp_path / "b.log",
        {"at_s": 2.0, "event": "upstream_gone", "upstream": "u1"},
    )
    found = explain("r", [*read_lines(first), *read_lines(second)])
    assert len(found) == 1


def test_unknown_request_exits_with_an_error(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = write_log(tmp_path / "a.log")
    with pytest.raises(SystemExit) as caught:
        run("r", str(log))
    assert caught.value.code == 1
    assert "no line of 1 files" in capsys.readouterr().err


def test_run_prints_the_lines(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = write_log(
        tmp_path / "a.log",
        {"at_s": 2.0, "level": "info", "event": "request_served", "request": "r"},
    )
    run("r", str(log))
    assert capsys.readouterr().out == "a.log 2.000 request_served \n"
