import random
from typing import Any, Protocol

import pytest

from banyanswitch.config.models import Priority
from banyanswitch.decisions.models import PlacementRequest, UpstreamView
from banyanswitch.decisions.placement import PlacementPolicy, Placer
from banyanswitch.identifiers import (
    FailureDomainId,
    RunId,
    ServiceName,
    UpstreamId,
    WeightVersion,
    WorkspaceId,
)

VERSION = WeightVersion("v1")


class MakeView(Protocol):
    def __call__(self, name: str, **changes: Any) -> UpstreamView: ...


class MakeRequest(Protocol):
    def __call__(self, run_id: str = "r1", **changes: Any) -> PlacementRequest: ...


@pytest.fixture
def placer() -> Placer:
    return Placer(PlacementPolicy(), random.Random(7))


@pytest.fixture
def make_view() -> MakeView:
    def make(name: str, **changes: Any) -> UpstreamView:
        values: dict[str, Any] = {
            "failure_domain": FailureDomainId("d1"),
            "weight_version": VERSION,
        }
        return UpstreamView(name=UpstreamId(name), **(values | changes))

    return make


@pytest.fixture
def make_request() -> MakeRequest:
    def make(run_id: str = "r1", **changes: Any) -> PlacementRequest:
        values: dict[str, Any] = {
            "workspace": WorkspaceId("w1"),
            "service": ServiceName("s1"),
            "weight_version": VERSION,
            "prompt_tokens": 400,
            "priority": Priority.INTERACTIVE,
        }
        return PlacementRequest(run_id=RunId(run_id), **(values | changes))

    return make
