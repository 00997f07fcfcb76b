"""Weight versions of one upstream from observations that overtake each other."""

import pytest

from banyanswitch.decisions.observed_weights import (
    KnownWeights,
    WeightObservation,
    updated_weights,
)

UNKNOWN_S = float("-inf")


@pytest.mark.parametrize(
    ("observations", "expected"),
    [
        ([(1, 0, 1), (2, UNKNOWN_S, 2)], 2),
        ([(2, 0, 1), (1, UNKNOWN_S, 9)], 2),
        ([(2, 0, 5), (1, 4, 6)], 2),
        ([(2, 0, 5), (1, 5, 6)], 1),
        ([(2, 0, 3), (2, 3, 8), (1, 5, 9)], 2),
        ([(2, 0, 5), (1, 6, 7), (2, UNKNOWN_S, 8)], 1),
        ([(2, 0, 5), (1, 6, 7), (2, 5, 8)], 1),
        ([(2, 0, 5), (1, 6, 7), (2, 7, 8)], 2),
        ([(2, 0, 5), (1, 6, 7), (2, 7, 8), (3, UNKNOWN_S, 9)], 3),
        ([(3, 0, 1), (2, 2, 3), (1, 4, 5), (2, 4, 6)], 1),
    ],
    ids=[
        "rise without a time",
        "fall without a time",
        "fall observed in overlapping times",
        "fall observed later",
        "fall before the last confirmation",
        "report from before the fall",
        "response to a request from before the fall",
        "rise after the fall",
        "rise after another one",
        "second fall",
    ],
)
def test_present_version(
    observations: list[tuple[int, float, float]], expected: int
) -> None:
    known: KnownWeights | None = None
    for version, begun_at_s, ended_at_s in observations:
        seen = WeightObservation(version, begun_at_s, ended_at_s)
        known = updated_weights(known, seen)
    assert known is not None
    assert known.version == expected
