"""Tests that the platform's names are used only in its adapter."""

import ast
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path

import banyanswitch
from banyanswitch.platform import const

SOURCE = Path(banyanswitch.__file__).parent
ADAPTER = SOURCE / "platform"
ROOT = Path(__file__).parents[2]
MAX_LINES = 300


def _wire_names() -> set[str]:
    """Return the fields, headers and paths that the adapter defines."""
    names: set[str] = set()
    for value in vars(const).values():
        if isinstance(value, bytes):
            names.add(value.decode())
        elif isinstance(value, str) and value.startswith("/-/"):
            names.add(value)
    for path in ADAPTER.glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef) and node.name.startswith("_"):
                names.update(_camel_fields(node))
    return names


def _camel_fields(node: ast.ClassDef) -> Iterator[str]:
    for statement in node.body:
        if isinstance(statement, ast.AnnAssign):
            assert isinstance(statement.target, ast.Name)
            if not statement.target.id.islower():
                yield statement.target.id


def _literals(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            yield node.value
        if isinstance(node, ast.Constant) and isinstance(node.value, bytes):
            yield node.value.decode("latin-1")


STANDARD_HEADERS = {"Authorization", "Retry-After", "Last-Event-Id", "Last-Event-ID"}


def test_platform_names_are_used_only_in_the_adapter() -> None:
    names = _wire_names() - STANDARD_HEADERS
    assert len(names) > 40
    found = {
        (path.name, literal)
        for path in SOURCE.rglob("*.py")
        if ADAPTER not in path.parents
        for literal in _literals(path)
        if literal in names and not literal.isalpha()
    }
    assert found == set()


def test_only_composition_root_and_command_line_import_the_adapter() -> None:
    allowed = {"platform_composition.py", "forward_process.py"}
    found = {
        path.name
        for path in SOURCE.rglob("*.py")
        if ADAPTER not in path.parents and "banyanswitch.platform." in path.read_text()
    }
    assert found == allowed


def test_adapter_modules_are_below_the_line_limit() -> None:
    sizes = {p.name: len(p.read_text().splitlines()) for p in ADAPTER.glob("*.py")}
    assert {name: size for name, size in sizes.items() if size >= MAX_LINES} == {}


def test_forwarding_process_does_not_import_libraries_of_the_entry() -> None:
    """The process runs on every machine, and peak memory is paid for on each of them.

    Libraries that only ``banyanswitch-entry`` needs would add to it.
    """
    code = "import sys, banyanswitch.cli.forward_process; print(*sys.modules)"
    found = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert not {"aiohttp", "pynng", "statsd"} & set(found.stdout.split())


def test_build_compiles_the_copied_sources() -> None:
    """Otherwise each start compiles the sources, which takes a third of its time."""
    build = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]
    copy, _, after = build.partition("cp -r src/banyanswitch")
    assert copy
    assert "python3 -m compileall" in after
    assert "unchecked-hash" in after
