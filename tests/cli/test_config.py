"""Tests of output and exit status of each command of ``banyanswitch-config``."""

import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

import pytest

from banyanswitch.cli import config, platform_access
from banyanswitch.cli.platform_access import Platform, PlatformUrls
from banyanswitch.config import Configuration, Limits, render
from tests.config.test_validation import VALID, WORKSPACE
from tests.fakes.table import FakeTable, TableFault

Run = Callable[..., int]
CHANGED = replace(
    VALID, workspaces=(replace(WORKSPACE, limits=Limits(concurrent_requests=1)),)
)


@pytest.fixture
def table(monkeypatch: pytest.MonkeyPatch) -> FakeTable:
    table = FakeTable()

    @asynccontextmanager
    async def open_fake(urls: PlatformUrls) -> AsyncIterator[Platform]:
        yield Platform(table, table)

    monkeypatch.setattr(platform_access, "open_platform", open_fake)
    monkeypatch.setenv("BANYANSWITCH_TABLE_URL", "http://table")
    monkeypatch.setenv("BANYANSWITCH_OPERATOR", "lan")
    return table


@pytest.fixture
def run(table: FakeTable, monkeypatch: pytest.MonkeyPatch) -> Run:
    def run_command(*arguments: str) -> int:
        monkeypatch.setattr("sys.argv", ["banyanswitch-config", *arguments])
        try:
            config.main()
        except SystemExit as end:
            return int(end.code or 0)
        return 0

    return run_command


def write(path: Path, configuration: Configuration) -> str:
    path.write_text(render(configuration))
    return str(path)


def test_check_prints_findings(
    run: Run, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run("check", write(tmp_path / "a", VALID)) == 0
    wrong = tmp_path / "wrong"
    wrong.write_text('{"schema_version": 7, "colour": 1, "links": [{"store": 1}]}')
    assert run("check", str(wrong)) == 1
    error = capsys.readouterr().err
    assert "colour: is not a known field" in error
    assert "links[0]" in error
    assert run("check", str(wrong), "--json") == 1
    assert len(json.loads(capsys.readouterr().out)) == 2


def test_document_is_read_from_standard_input(
    run: Run, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    with open(write(tmp_path / "a", VALID)) as stream:
        monkeypatch.setattr("sys.stdin", stream)
        assert run("check", "-") == 0


def test_apply_diff_show_and_history(
    run: Run, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    first = write(tmp_path / "a", VALID)
    second = write(tmp_path / "b", CHANGED)
    assert run("diff", first) == 6
    assert run("apply", first) == 0
    assert run("diff", first) == 0
    assert run("diff", second) == 6
    assert "change  workspace/shop" in capsys.readouterr().out
    assert run("apply", second, "--operator=minh", "--json") == 0
    assert json.loads(capsys.readouterr().out)["revision"] == 2
    assert run("show") == 0
    assert capsys.readouterr().out == render(CHANGED)
    assert run("history", "--json") == 0
    lines = json.loads(capsys.readouterr().out)
    assert [(line["revision"], line["operator"]) for line in lines] == [
        (2, "minh"),
        (1, "lan"),
    ]


def test_conflict_names_the_accepted_change(
    run: Run, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run("apply", write(tmp_path / "a", VALID)) == 0
    status = run("apply", write(tmp_path / "b", CHANGED), "--expected-revision=0")
    assert status == 3
    assert "lan made revision 1 first" in capsys.readouterr().err


def test_platform_faults_have_exit_statuses(
    run: Run, table: FakeTable, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    document = write(tmp_path / "a", VALID)
    monkeypatch.setattr(
        "banyanswitch.components.configuration.acceptance.RETRY_INTERVAL_S", 0.0
    )
    table.write_faults = [TableFault.LOSE_REQUEST] * 5
    assert run("apply", document) == 4
    table.is_down = True
    assert run("apply", document) == 5
    assert run("show") == 5


def test_wrong_usage_exits_with_status_2(
    run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert run("check", "/does/not/exist") == 2
    monkeypatch.delenv("BANYANSWITCH_TABLE_URL")
    assert run("show") == 2
