"""The examples are valid and have the expected sizes."""

import importlib.util
from pathlib import Path
from types import ModuleType

import pytest

from banyanswitch.config import Configuration, parse, render

EXAMPLES = Path(__file__).parents[2] / "examples"


def load(name: str) -> ModuleType:
    spec = importlib.util.spec_from_file_location(name, EXAMPLES / f"{name}.py")
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def sizes(configuration: Configuration) -> list[int]:
    names = [service.name for service in configuration.services]
    counts = [
        sum(upstream.service == name for upstream in configuration.upstreams)
        for name in names
    ]
    domains = {upstream.failure_domain for upstream in configuration.upstreams}
    return [*counts, len(configuration.workspaces), len(domains)]


@pytest.mark.parametrize(
    ("name", "expected"),
    [("kim_phat", [6, 3, 10, 3]), ("yushan", [9, 4, 10, 4])],
)
def test_example_is_valid_and_has_its_size(name: str, expected: list[int]) -> None:
    configuration = load(name).build()
    assert sizes(configuration) == expected
    assert len(configuration.stores) == len(configuration.links) == 2
    assert parse(render(configuration)) == configuration


def test_urls_can_be_replaced() -> None:
    urls = {"appraisal-0": "http://127.0.0.1:1", "weights": "http://127.0.0.1:2"}
    configuration = load("kim_phat").build(urls)
    assert configuration.upstreams[0].url == "http://127.0.0.1:1"
    assert configuration.releases[0].source.startswith("http://127.0.0.1:2/")
