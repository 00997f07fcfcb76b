import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from banyanswitch.decisions.prefix import cache_salt, chained_piece_hashes

NAMES = st.text(min_size=1, max_size=8)


@given(NAMES, NAMES, NAMES, NAMES)
@settings(derandomize=True)
def test_salt_differs_by_workspace_and_version(a: str, b: str, c: str, d: str) -> None:
    assert (cache_salt(a, b) == cache_salt(c, d)) == ((a, b) == (c, d))


def test_salt_depends_on_the_boundary_between_names() -> None:
    assert cache_salt("ab", "c") != cache_salt("a", "bc")


@given(st.binary(max_size=64), st.binary(max_size=64), st.integers(1, 8))
@settings(derandomize=True)
def test_hashes_are_equal_exactly_as_far_as_the_pieces_are(
    first: bytes, second: bytes, size: int
) -> None:
    salt = cache_salt("w", "v")
    left = chained_piece_hashes(first, size, salt)
    right = chained_piece_hashes(second, size, salt)
    assert len(left) == len(first) // size
    for index, (a, b) in enumerate(zip(left, right, strict=False), start=1):
        assert (a == b) == (first[: index * size] == second[: index * size])


def test_no_hash_is_shared_between_salts() -> None:
    prompt = bytes(100)
    one = chained_piece_hashes(prompt, 10, cache_salt("w", "v1"))
    two = chained_piece_hashes(prompt, 10, cache_salt("w", "v2"))
    assert not set(one) & set(two)


def test_piece_size_must_be_positive() -> None:
    with pytest.raises(ValueError, match="piece_bytes"):
        chained_piece_hashes(b"", 0, cache_salt("w", "v"))
