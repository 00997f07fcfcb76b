"""Rows of an older copy of the store, at an instance that has just started."""

import asyncio
import random

import pytest

from banyanswitch.components.forwarding.models import (
    ForwardedWorkspace,
    ForwardingConfiguration,
)
from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.table_mirror.const import REWRITE_S
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.components.table_mirror.return_watch import ReturnWatch
from banyanswitch.decisions.prefix import isolated_scope, shared_scope
from banyanswitch.helpers.store_version import make_version
from banyanswitch.identifiers import WorkspaceId
from banyanswitch.interfaces import Item, TableChanges
from tests.components.forwarding.fakes import NoFeed, PlainDecoder

pytestmark = pytest.mark.looptime
A, B = WorkspaceId("a"), WorkspaceId("b")
OLD, NEW = 1, 2
"""Versions of the configuration; workspace ``b`` is isolated in the newer one."""


class Decoder(PlainDecoder):
    """Decodes rows that contain one of the two versions."""

    def configuration(self, value: bytes) -> ForwardingConfiguration:
        version = int(value)
        workspaces = tuple(
            ForwardedWorkspace(
                name=name, keys=(name,), is_isolated=name == B and version == NEW
            )
            for name in (A, B)
        )
        return ForwardingConfiguration(version, workspaces=workspaces)


class Instance:
    """Instance whose copy of the operators' table is set by the test."""

    def __init__(self) -> None:
        self.mirror = TableMirror("op", NoFeed(), random.Random(1))
        self.routing = RoutingState(self.mirror, Decoder(), "config")
        self.watch = ReturnWatch(self.mirror)
        self.routing.is_current = self.watch.is_current

    def read(self, era: int, version: int, number: int = 1) -> None:
        revision = make_version(era, number)
        row = Item("op/config", revision, b"%d" % version)
        self.mirror.apply_snapshot(TableChanges(revision, (row,), ()))

    def scopes(self) -> list[str]:
        """Return the scopes of ``a``, ``b`` and of requests without a workspace."""
        workspaces = (self.routing.workspace(A), self.routing.workspace(B), None)
        return [self.routing.cache_scope(workspace) for workspace in workspaces]


# Guards against parts that a workspace, which is isolated in a configuration that the
# store has lost, shares with others.
async def test_workspaces_share_nothing_until_the_configuration_is_written_again() -> (
    None
):
    instance = Instance()
    instance.read(2, OLD)
    scopes = instance.scopes()
    assert scopes[:2] == [isolated_scope(A), isolated_scope(B)]
    assert len({*scopes, shared_scope([]), shared_scope([B])}) == 5
    await asyncio.sleep(REWRITE_S / 2)
    instance.read(2, NEW, 2)
    await asyncio.sleep(REWRITE_S / 2)
    shared = shared_scope([B])
    assert instance.scopes() == [shared, isolated_scope(B), shared]


# Guards against a separate cache after each start.
async def test_workspaces_share_parts_once_the_era_is_confirmed() -> None:
    instance = Instance()
    instance.read(2, NEW)
    instance.watch.confirm()
    assert instance.scopes()[0] == shared_scope([B])


# Guards against a separate cache at instances that have followed the return.
async def test_instance_that_has_seen_the_return_knows_the_configuration() -> None:
    instance = Instance()
    instance.read(1, NEW)
    await asyncio.sleep(REWRITE_S / 2)
    instance.read(2, OLD)
    assert instance.scopes()[0] == shared_scope([B])


async def test_store_without_eras_loses_nothing() -> None:
    instance = Instance()
    instance.read(0, NEW)
    assert instance.scopes()[0] == shared_scope([B])
