"""Objects and deltas are deleted when they are no longer needed, and not earlier."""

import asyncio
from dataclasses import replace

import pytest

from banyanswitch.components.configuration.cleanup import ConfigurationCleanup
from banyanswitch.components.configuration.const import (
    REVISIONS_PER_SNAPSHOT,
    SUPERSEDED_GRACE_S,
)
from banyanswitch.components.configuration.errors import RevisionConflictError
from banyanswitch.components.configuration.view import ActiveConfiguration
from banyanswitch.config import Limits
from banyanswitch.config.records import from_records
from tests.components.audit.test_coordinator import Clock, Leases
from tests.components.configuration.builders import (
    apply,
    make_configuration,
    with_limit,
)
from tests.components.configuration.test_acceptance import read
from tests.fakes.table import FakeTable

MANY = make_configuration(2000)
CHANGED = replace(
    MANY,
    workspaces=tuple(
        replace(workspace, limits=Limits(concurrent_requests=7))
        for workspace in MANY.workspaces
    ),
)
ACCEPTED_AT_UNIX_S = 1000.0


async def make_cleanup(
    table: FakeTable, age_s: float, is_held: bool = True
) -> ConfigurationCleanup:
    active = ActiveConfiguration()
    content = await read(table)
    active.replace(content.revision, content.records)
    clock = Clock(ACCEPTED_AT_UNIX_S + age_s)
    return ConfigurationCleanup(table, table, Leases(is_held), active, clock)


@pytest.mark.parametrize(
    ("age_s", "is_held", "snapshots"),
    [
        (SUPERSEDED_GRACE_S + 1, True, 1),
        (SUPERSEDED_GRACE_S - 1, True, 3),
        (SUPERSEDED_GRACE_S + 1, False, 3),
    ],
)
async def test_superseded_objects_are_deleted_after_the_grace_period(
    age_s: float, is_held: bool, snapshots: int
) -> None:
    table = FakeTable()
    for configuration in (MANY, CHANGED, MANY):
        await apply(table, configuration)
    objects = len(table.objects) // 3
    cleanup = await make_cleanup(table, age_s, is_held)
    await cleanup.async_clean()
    assert len(table.objects) == snapshots * objects
    assert from_records((await read(table)).records.items()) == MANY


async def test_unchanged_buckets_are_stored_once() -> None:
    table = FakeTable()
    await apply(table, MANY)
    count = len(table.objects)
    for number in range(REVISIONS_PER_SNAPSHOT):
        await apply(table, with_limit(MANY, 0, number + 100))
    assert len(table.objects) == count + 2
    cleanup = await make_cleanup(table, SUPERSEDED_GRACE_S + 1)
    await cleanup.async_clean()
    assert len(table.objects) == count
    last = with_limit(MANY, 0, REVISIONS_PER_SNAPSHOT + 99)
    assert from_records((await read(table)).records.items()) == last


@pytest.mark.looptime
async def test_rejected_change_deletes_its_objects() -> None:
    table = FakeTable(latency_s=0.001)
    results = await asyncio.gather(
        apply(table, MANY), apply(table, CHANGED), return_exceptions=True
    )
    assert sum(isinstance(r, RevisionConflictError) for r in results) == 1
    bucket_count = len((await read(table)).records.manifest) // 32
    assert len(table.objects) <= bucket_count + 1
    assert from_records((await read(table)).records.items()) in (MANY, CHANGED)


@pytest.mark.parametrize(("is_old", "kept"), [(False, 66), (True, 2)])
async def test_old_deltas_are_deleted_once_a_snapshot_includes_them(
    is_old: bool, kept: int
) -> None:
    table = FakeTable()
    few = make_configuration(3)
    for number in range(REVISIONS_PER_SNAPSHOT + 2):
        await apply(table, with_limit(few, 0, number + 100))
    age_s = few.retention.audit_s + 1 if is_old else 0.0
    cleanup = await make_cleanup(table, age_s)
    await cleanup.async_clean()
    deltas = [key for key in table.items if key.startswith("config/delta/")]
    assert len(deltas) == kept
    assert (await read(table)).revision == REVISIONS_PER_SNAPSHOT + 2
