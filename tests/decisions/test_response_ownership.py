"""Which request a response on a shared connection belongs to."""

import pytest

from banyanswitch.decisions.response_ownership import Ownership, response_ownership


# Guards against a response to another request, such as a late second one, that is taken
# for the awaited one, and against one that may be either.
@pytest.mark.parametrize(
    ("named", "is_first_request", "expected"),
    [
        (b"r1", True, Ownership.OWN),
        (b"r1", False, Ownership.OWN),
        (b"r0", True, Ownership.OTHER),
        (b"r0", False, Ownership.OTHER),
        (b"", False, Ownership.OTHER),
        (None, True, Ownership.OWN),
        (None, False, Ownership.UNKNOWN),
    ],
)
def test_ownership(
    named: bytes | None, is_first_request: bool, expected: Ownership
) -> None:
    found = response_ownership(b"r1", named, is_first_request=is_first_request)
    assert found is expected
