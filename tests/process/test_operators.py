"""Configuration changes by one operator and by two operators at the same time."""

import asyncio
from dataclasses import replace

import pytest
from bench.fleet import Fleet
from bench.processes import ChildProcess, wait_until

from banyanswitch.config import Configuration, Limits

pytestmark = pytest.mark.process

EXIT_CONFLICT = 3
RACES = 4
ACTIVATION_TIMEOUT_S = 9.0


def with_rate(fleet: Fleet, requests_per_s: float) -> Configuration:
    limits = Limits(requests_per_s=requests_per_s)
    workspaces = tuple(
        replace(workspace, limits=limits)
        for workspace in fleet.configuration.workspaces
    )
    return replace(fleet.configuration, workspaces=workspaces)


def revisions_until(fleet: Fleet, entry: ChildProcess, revision: int) -> list[int]:
    """Return the revisions seen at an entry until ``revision`` is active."""
    seen: list[int] = []

    def is_active() -> bool:
        seen.append(fleet.revision_of(entry))
        return seen[-1] == revision

    wait_until(is_active, f"revision {revision} is active", ACTIVATION_TIMEOUT_S)
    return seen


async def test_one_of_two_concurrent_changes_succeeds_and_the_other_conflicts(
    fleet: Fleet,
) -> None:
    seen: list[list[int]] = [[] for _ in fleet.entries]
    for race in range(RACES):
        revision = race + 1
        results = await asyncio.gather(
            *(
                asyncio.to_thread(
                    fleet.try_apply,
                    with_rate(fleet, 100.0 + race * 2 + operator),
                    f"--expected_revision={revision}",
                )
                for operator in range(2)
            )
        )
        statuses = sorted(result.returncode for result in results)
        assert statuses == [0, EXIT_CONFLICT], [r.stderr for r in results]
        for index, entry in enumerate(fleet.entries):
            seen[index] += revisions_until(fleet, entry, revision + 1)
    for revisions in seen:
        assert revisions == sorted(revisions)


async def test_accepted_change_survives_immediate_table_failure(fleet: Fleet) -> None:
    first, second = fleet.entries
    fleet.apply(with_rate(fleet, 50.0))
    wait_until(
        lambda: fleet.revision_of(first) == 2,
        "revision 2 is active at the first entry",
        ACTIVATION_TIMEOUT_S,
    )
    fleet.table.kill()
    wait_until(
        lambda: fleet.revision_of(second) == 2,
        "revision 2 is active at the second entry",
        ACTIVATION_TIMEOUT_S,
    )
    new_entry = fleet.start_entry()
    wait_until(
        lambda: fleet.revision_of(new_entry) == 2,
        "revision 2 is active at the new entry",
        ACTIVATION_TIMEOUT_S,
    )
