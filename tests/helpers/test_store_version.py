"""Versions of a store with eras."""

from hypothesis import given
from hypothesis import strategies as st

from banyanswitch.helpers.store_version import (
    MAX_ERA,
    NUMBER_BITS,
    era_of,
    make_version,
    number_of,
)

eras = st.integers(min_value=0, max_value=MAX_ERA)
numbers = st.integers(min_value=0, max_value=2**NUMBER_BITS - 1)
INT64_MAX = 2**63 - 1


@given(era=eras, number=numbers)
def test_era_and_number_are_kept(era: int, number: int) -> None:
    version = make_version(era, number)
    assert (era_of(version), number_of(version)) == (era, number)
    assert 0 <= version <= INT64_MAX


@given(first=st.tuples(eras, numbers), second=st.tuples(eras, numbers))
def test_versions_are_ordered_by_era_and_then_by_number(
    first: tuple[int, int], second: tuple[int, int]
) -> None:
    assert (make_version(*first) < make_version(*second)) == (first < second)
