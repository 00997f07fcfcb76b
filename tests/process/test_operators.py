"""Operators who change the configuration, alone and at the same time."""

import asyncio
from dataclasses import replace

import pytest
from bench.fleet import Fleet
from bench.processes import ChildProcess, wait_until

from banyanswitch.config import Configuration, Limits

pytestmark = pytest.mark.process

EXIT_CONFLICT = 3
RACES = 4
IN_FORCE_BOUND_S = 9.0


def with_rate(fleet: Fleet, requests_per_s: float) -> Configuration:
    limits = Limits(requests_per_s=requests_per_s)
    workspaces = tuple(
        replace(workspace, limits=limits)
        for workspace in fleet.configuration.workspaces
    )
    return replace(fleet.configuration, workspaces=workspaces)


def watch_until(fleet: Fleet, entry: ChildProcess, revision: int) -> list[int]:
    """Return the revisions seen at an entry until this one is in force."""
    seen: list[int] = []

    def is_in_force() -> bool:
        seen.append(fleet.revision_of(entry))
        return seen[-1] == revision

    wait_until(is_in_force, f"revision {revision} is in force", IN_FORCE_BOUND_S)
    return seen


async def test_one_of_two_operators_wins_and_the_other_is_told(fleet: Fleet) -> None:
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
            seen[index] += watch_until(fleet, entry, revision + 1)
    for revisions in seen:
        assert revisions == sorted(revisions)


async def test_accepted_change_stays_when_the_table_fails_at_once(fleet: Fleet) -> None:
    first, second = fleet.entries
    fleet.apply(with_rate(fleet, 50.0))
    wait_until(
        lambda: fleet.revision_of(first) == 2, "in force at the first", IN_FORCE_BOUND_S
    )
    fleet.table.kill()
    wait_until(
        lambda: fleet.revision_of(second) == 2,
        "in force at the second",
        IN_FORCE_BOUND_S,
    )
    late = fleet.start_entry()
    wait_until(
        lambda: fleet.revision_of(late) == 2, "in force at a late one", IN_FORCE_BOUND_S
    )
