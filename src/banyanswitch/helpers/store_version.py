"""Versions of a store that may return from an older copy of its data.

Each return begins an era, in which the store counts on from the version of the copy and
so gives out version numbers a second time. A version is therefore an era and a number,
in one integer that orders versions by the era first. A store without eras is in era 0,
and its versions equal their numbers.
"""

from typing import Final

NUMBER_BITS: Final = 48

MAX_ERA: Final = 2**15 - 1
"""Highest era whose versions fit into 63 bits."""


def make_version(era: int, number: int) -> int:
    """Return the version with a number in an era."""
    return era << NUMBER_BITS | number


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version >> NUMBER_BITS


def number_of(version: int) -> int:
    """Return the number by which the store knows a version in its era."""
    return version & (1 << NUMBER_BITS) - 1
