"""Cached prompt parts of workspaces whose isolation changes."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from banyanswitch.components.forwarding.models import (
    ForwardedWorkspace,
    ForwardingConfiguration,
)
from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.identifiers import WorkspaceId
from tests.components.forwarding.fakes import NoFeed, PlainDecoder

NAMES = ("a", "b", "c")


class Fleet:
    """Instances that apply configurations; all find the parts of a scope."""

    def __init__(self, count: int) -> None:
        self.instances = [self._make_state() for _ in range(count)]
        self.makers: dict[str, set[str]] = {}

    def _make_state(self) -> RoutingState:
        mirror = TableMirror("op", NoFeed(), random.Random(1))
        return RoutingState(mirror, PlainDecoder(), "config")

    def apply(self, version: int, isolated: frozenset[str]) -> None:
        workspaces = tuple(
            ForwardedWorkspace(
                name=WorkspaceId(name),
                keys=(f"key-{name}",),
                is_isolated=name in isolated,
            )
            for name in NAMES
        )
        configuration = ForwardingConfiguration(version=version, workspaces=workspaces)
        for state in self.instances:
            state.apply(configuration)

    def restart(self, number: int) -> None:
        configuration = self.instances[number].configuration
        self.instances[number] = self._make_state()
        if configuration is not None:
            self.instances[number].apply(configuration)

    def admit(self, name: str) -> ForwardedWorkspace | None:
        """Return what a request keeps of its workspace while it waits."""
        return self.instances[0].workspace(f"key-{name}")

    def use(
        self, name: str, number: int, admitted: ForwardedWorkspace | None = None
    ) -> set[str]:
        """Send a workspace's request; return the workspaces whose parts it finds."""
        scope = self.instances[number].cache_scope(admitted or self.admit(name))
        makers = self.makers.setdefault(scope, set())
        found = set(makers)
        makers.add(name)
        return found


async def test_parts_left_by_a_workspace_that_becomes_isolated_are_not_found() -> None:
    """Others used what the workspace had made before it became isolated."""
    fleet = Fleet(1)
    fleet.apply(1, frozenset())
    fleet.use("a", 0)
    assert fleet.use("b", 0) == {"a"}
    fleet.apply(2, frozenset("a"))
    assert fleet.use("b", 0) == set()
    assert fleet.use("a", 0) == set()
    assert fleet.use("c", 0) == {"b"}


@pytest.mark.parametrize("before", [frozenset(), frozenset("a")])
async def test_request_that_waits_during_a_change_shares_no_parts(
    before: frozenset[str],
) -> None:
    """It was sent in the scope that all others share from the change on."""
    fleet = Fleet(1)
    fleet.apply(1, before)
    admitted = fleet.admit("a")
    fleet.apply(2, frozenset("a") - before)
    fleet.use("a", 0, admitted)
    assert fleet.use("b", 0) == set()


STEPS = st.lists(
    st.tuples(
        st.frozensets(st.sampled_from(NAMES)),
        st.lists(
            st.tuples(st.sampled_from(NAMES), st.integers(0, 1), st.booleans()),
            max_size=6,
        ),
        st.integers(0, 1),
    ),
    max_size=8,
)


@given(STEPS)
@settings(derandomize=True)
async def test_isolated_workspaces_share_no_parts(
    steps: list[tuple[frozenset[str], list[tuple[str, int, bool]], int]],
) -> None:
    """Some requests were admitted before the last change of the configuration."""
    fleet = Fleet(2)
    for version, (isolated, uses, restarted) in enumerate(steps, start=1):
        admitted = {name: fleet.admit(name) for name in NAMES}
        fleet.apply(version, isolated)
        fleet.restart(restarted)
        for name, number, is_admitted_before in uses:
            earlier = admitted[name] if is_admitted_before else None
            others = fleet.use(name, number, earlier) - {name}
            assert not others or name not in isolated
            assert not others & isolated
