"""The platform's names stay within its adapter."""

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
    """Return fields, headers and paths from the adapter's own types."""
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


USUAL_HEADERS = {"Authorization", "Retry-After", "Last-Event-Id", "Last-Event-ID"}


def test_no_name_of_the_platform_stands_outside_the_adapter() -> None:
    names = _wire_names() - USUAL_HEADERS
    assert len(names) > 40
    found = {
        (path.name, literal)
        for path in SOURCE.rglob("*.py")
        if ADAPTER not in path.parents
        for literal in _literals(path)
        if literal in names and not literal.isalpha()
    }
    assert found == set()


def test_only_the_composition_root_imports_the_adapter() -> None:
    allowed = {"platform_composition.py", "forward_process.py"}
    found = {
        path.name
        for path in SOURCE.rglob("*.py")
        if ADAPTER not in path.parents and "banyanswitch.platform." in path.read_text()
    }
    assert found == allowed


def test_modules_of_the_adapter_are_small() -> None:
    sizes = {p.name: len(p.read_text().splitlines()) for p in ADAPTER.glob("*.py")}
    assert {name: size for name, size in sizes.items() if size >= MAX_LINES} == {}


def test_the_process_does_without_the_entry_s_libraries() -> None:
    """Memory at its peak is priced, and each process starts on its own machine."""
    code = "import sys, banyanswitch.cli.forward_process; print(*sys.modules)"
    found = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert not {"aiohttp", "pynng", "statsd"} & set(found.stdout.split())


def test_the_build_compiles_what_it_copies() -> None:
    """Without it each process compiles at each start: a third of its start."""
    build = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]
    copy, _, after = build.partition("cp -r src/banyanswitch")
    assert copy
    assert "python3 -m compileall" in after
    assert "unchecked-hash" in after
