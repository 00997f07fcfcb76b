"""Tests of output and exit status of each command of ``banyanswitch-audit``."""

import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from banyanswitch.cli import audit, config, platform_access
from banyanswitch.cli.platform_access import Platform, PlatformUrls
from banyanswitch.config import render
from tests.config.test_validation import VALID
from tests.fakes.table import FakeTable

Run = Callable[..., int]


@pytest.fixture
def table(monkeypatch: pytest.MonkeyPatch) -> FakeTable:
    table = FakeTable()

    @asynccontextmanager
    async def open_fake(urls: PlatformUrls) -> AsyncIterator[Platform]:
        yield Platform(table, table)

    monkeypatch.setattr(platform_access, "open_platform", open_fake)
    monkeypatch.setenv("BANYANSWITCH_TABLE_URL", "http://table")
    return table


@pytest.fixture
def run(table: FakeTable, monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> Run:
    def run_command(*arguments: str, main: Callable[[], None] = audit.main) -> int:
        monkeypatch.setattr("sys.argv", ["banyanswitch", *arguments])
        try:
            main()
        except SystemExit as end:
            return int(end.code or 0)
        return 0

    document = tmp_path / "document"
    document.write_text(render(VALID))
    run_command("apply", str(document), "--operator=lan", main=config.main)
    return run_command


def test_accepted_change_is_listed_and_shown(
    run: Run, capsys: pytest.CaptureFixture[str]
) -> None:
    capsys.readouterr()
    assert run("list", "--json") == 0
    found = json.loads(capsys.readouterr().out)
    assert [entry["record"]["actor"] for entry in found] == ["lan"]
    assert run("list", "--kind=configuration", "--actor=lan") == 0
    assert "revision 1" in capsys.readouterr().out
    assert run("show", found[0]["reference"]) == 0
    assert "actor      lan" in capsys.readouterr().out


@pytest.mark.parametrize(
    "arguments",
    [
        ("--kind=lease",),
        ("--actor=minh",),
        ("--until=2001-01-01",),
        ("--since=2999-01-01T00:00:00+00:00",),
    ],
)
def test_list_excludes_records_that_do_not_match(
    run: Run, arguments: tuple[str, ...], capsys: pytest.CaptureFixture[str]
) -> None:
    capsys.readouterr()
    since = () if arguments[0].startswith("--since") else ("--since=2000-01-01",)
    assert run("list", *since, *arguments) == 0
    assert capsys.readouterr().out == ""


def test_exit_statuses(run: Run, table: FakeTable) -> None:
    assert run("show", "none/0") == 1
    assert run("list", "--kind=colour") == 2
    assert run("list", "--since=yesterday") == 2
    table.is_down = True
    assert run("list") == 5
