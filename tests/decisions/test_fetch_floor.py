"""Tests that the set of parts that may be fetched only shrinks."""

from hypothesis import given
from hypothesis import strategies as st

from banyanswitch.decisions.fetch_floor import (
    FetchFloor,
    WeightVersionsView,
    fetch_floor,
)

PARTS = [f"part{number}" for number in range(200)]


def allowed(floor: FetchFloor, version: int) -> set[str]:
    return {part for part in PARTS if floor.allows(version, part)}


def test_old_parts_are_retired_as_upstreams_are_updated() -> None:
    floor = FetchFloor()
    sizes = []
    for versions in ((1, 1, 1, 1, 1, 1), (2, 1, 1, 1, 1, 1), (2, 2, 1, 1, 1, 1)):
        floor = fetch_floor(
            WeightVersionsView(target=2, upstream_versions=versions), floor
        )
        sizes.append(len(allowed(floor, 1)))
    assert sizes[0] == len(PARTS)
    assert 0 < sizes[2] < sizes[1] < sizes[0]
    floor = fetch_floor(
        WeightVersionsView(target=2, upstream_versions=(2, 2, 2, 1, 1, 1)), floor
    )
    assert allowed(floor, 1) == set()
    assert allowed(floor, 2) == set(PARTS)


def test_new_target_during_a_rollout_does_not_restore_retired_parts() -> None:
    """Version 3 becomes the target while the parts of version 1 are being freed."""
    versions = (1, 1, 1, 1, 2, 2)
    floor = fetch_floor(
        WeightVersionsView(target=2, upstream_versions=versions), FetchFloor()
    )
    before = allowed(floor, 1)
    assert before != set(PARTS)
    floor = fetch_floor(WeightVersionsView(target=3, upstream_versions=versions), floor)
    assert allowed(floor, 1) <= before
    assert allowed(floor, 2) == set(PARTS)


@given(
    st.lists(
        st.tuples(
            st.integers(0, 1), st.lists(st.integers(0, 2), min_size=1, max_size=6)
        ),
        max_size=12,
    )
)
def test_retired_parts_are_never_restored(steps: list[tuple[int, list[int]]]) -> None:
    floor = FetchFloor()
    target = 1
    for target_change, ages in steps:
        target += target_change
        versions = tuple(max(0, target - age) for age in ages)
        updated = fetch_floor(
            WeightVersionsView(target=target, upstream_versions=versions), floor
        )
        for version in range(target):
            assert allowed(updated, version) <= allowed(floor, version)
        floor = updated
