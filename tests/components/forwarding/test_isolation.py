"""Cached prompt parts of workspaces whose isolation changes."""

import random

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

    def use(self, name: str, number: int) -> set[str]:
        """Send a workspace's request; return the workspaces whose parts it finds."""
        state = self.instances[number]
        makers = self.makers.setdefault(
            state.cache_scope(state.workspace(f"key-{name}")), set()
        )
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


STEPS = st.lists(
    st.tuples(
        st.frozensets(st.sampled_from(NAMES)),
        st.lists(st.tuples(st.sampled_from(NAMES), st.integers(0, 1)), max_size=6),
        st.integers(0, 1),
    ),
    max_size=8,
)


@given(STEPS)
@settings(derandomize=True)
async def test_isolated_workspaces_share_no_parts(
    steps: list[tuple[frozenset[str], list[tuple[str, int]], int]],
) -> None:
    fleet = Fleet(2)
    for version, (isolated, uses, restarted) in enumerate(steps, start=1):
        fleet.apply(version, isolated)
        fleet.restart(restarted)
        for name, number in uses:
            others = fleet.use(name, number) - {name}
            assert not others or name not in isolated
            assert not others & isolated
