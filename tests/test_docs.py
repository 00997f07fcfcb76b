"""Tests that the documentation matches the code.

Checks links, commands, log events, metrics and problem codes.
"""

import re
import tomllib
from pathlib import Path

import pytest

from banyanswitch.components.metrics.const import Counter, Gauge, Timing

ROOT = Path(__file__).parent.parent
SOURCE = ROOT / "src" / "banyanswitch"
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").glob("*.md")])
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
LOG_EVENT = re.compile(r'LOGGER\.(?:info|warning|error|exception)\(\s*"([a-z_]+)"')
PROBLEM_CODE = re.compile(r'RefusalError\(\s*"([a-z_]+)"')


def _sources() -> str:
    return "\n".join(path.read_text() for path in sorted(SOURCE.rglob("*.py")))


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_link_targets_exist(page: Path) -> None:
    targets = [page.parent / link for link in LINK.findall(page.read_text())]
    assert [str(target) for target in targets if not target.exists()] == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_commands_exist(page: Path) -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())
    makefile = (ROOT / "Makefile").read_text()
    text = page.read_text()
    binaries = set(re.findall(r"\bbanyanswitch-(?:entry|[a-z]+)\b", text))
    assert binaries <= set(project["project"]["scripts"])
    for target in re.findall(r"`make ([a-z]+)`|^make ([a-z]+)", text, re.MULTILINE):
        assert re.search(rf"^{''.join(target)}:", makefile, re.MULTILINE)
    for module in re.findall(r"python -m (bench[a-z.]*)", text):
        path = ROOT / module.replace(".", "/")
        assert path.is_dir() or path.with_suffix(".py").exists()


def test_each_log_event_is_documented() -> None:
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    events = set(LOG_EVENT.findall(_sources()))
    assert {event for event in events if f"`{event}`" not in page} == set()


def test_each_metric_is_documented() -> None:
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    names = [item.value for kind in (Counter, Timing, Gauge) for item in kind]
    assert [name for name in names if f"| `{name}` |" not in page] == []


def test_each_problem_code_is_documented() -> None:
    page = (ROOT / "docs" / "API.md").read_text()
    codes = set(PROBLEM_CODE.findall(_sources())) - {"http_error"}
    assert {code for code in codes if f"`{code}`" not in page} == set()
