"""Tests of the plug-in example of CONTRIBUTING.md."""

import importlib.util
from pathlib import Path
from types import ModuleType

from banyanswitch.components.routing.models import Attempt, PromptServed
from banyanswitch.core import REGISTRY, Kernel
from banyanswitch.decisions.placement import Place, PlacementRequest
from banyanswitch.helpers.run_identity import RunIdentity
from banyanswitch.identifiers import (
    RunId,
    ServiceName,
    UpstreamId,
    WeightVersion,
    WorkspaceId,
)

PATH = Path(__file__).parent.parent / "examples" / "plugin_served_prompts.py"


def _load_example() -> ModuleType:
    spec = importlib.util.spec_from_file_location("plugin_served_prompts", PATH)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def _served_by(upstream: UpstreamId) -> PromptServed:
    run = RunId("r")
    service = ServiceName("s")
    workspace = WorkspaceId("w")
    version = WeightVersion("v")
    place = Place(
        run=run,
        upstream=upstream,
        expected_first_token_s=0.0,
        expected_cached_pieces=0,
        prefill_tokens=0,
    )
    request = PlacementRequest(
        run=run, workspace=workspace, service=service, weight_version=version
    )
    identity = RunIdentity(upstream, service, workspace, version, 1)
    return PromptServed(Attempt(run, identity, place, request, "http://u"), 0)


async def test_example_counts_served_prompts() -> None:
    module = _load_example()
    kernel = Kernel(settings=None)
    component = REGISTRY._components[module.DOMAIN]
    assert component.depends_on == ("routing",)
    await component.async_setup(kernel)
    for _ in range(2):
        kernel.bus.publish(_served_by(UpstreamId("u1")))
    served = kernel.require(module.ServedPrompts)
    assert served.count(UpstreamId("u1")) == 2
    assert served.count(UpstreamId("u2")) == 0
    await kernel.async_stop()
