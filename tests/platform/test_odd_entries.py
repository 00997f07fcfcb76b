"""Entries of upstreams from other writers, which name no upstream to use."""

import json
from typing import Any

import pytest

from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.exceptions import UpstreamNotSentError
from banyanswitch.helpers.addresses import split_address
from banyanswitch.platform.documents import RowDecoder

DEPTH = 100_000
ENTRY: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.2:8080",
    "zone": "z",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "sequence": 7,
    "born": 1_790_000_000_000,
    "models": [{"name": "m", "version": 1, "adapters": []}],
}


def encode(**changes: Any) -> bytes:
    return json.dumps(ENTRY | changes).encode()


def nested(field: str) -> bytes:
    value = b"[" * DEPTH + b"]" * DEPTH
    return encode()[:-1] + b', "' + field.encode() + b'": ' + value + b"}"


def test_plain_entry_is_used() -> None:
    assert RowDecoder().upstream("i-1", encode()) is not None


# Guards against processes that end at an entry that they can't decode.
@pytest.mark.parametrize("field", ["unknown", "models", "slots"])
def test_deeply_nested_entry_is_skipped(field: str) -> None:
    assert RowDecoder().upstream("i-1", nested(field)) is None


def test_deeply_nested_rows_of_the_operator_are_skipped() -> None:
    value = b"[" * DEPTH + b"]" * DEPTH
    row = b'{"version": 1, "model": "m", "unknown": ' + value + b"}"
    assert RowDecoder().configuration(row) is None
    assert RowDecoder().target_weights("version/m", row) is None


@pytest.mark.parametrize(
    "changes",
    [
        {"slots": -4},
        {"slots": 0},
        {"slots": 2**62},
        {"slots": 99999999999999999999},
        {"sequence": -1},
        {"born": -1},
        {"born": 2**64 - 1},
        {"models": [{"name": "m", "version": -1}]},
        {"models": [{"name": "m", "version": 99999999999999999999}]},
    ],
)
def test_entry_with_a_number_out_of_range_is_skipped(changes: dict[str, Any]) -> None:
    assert RowDecoder().upstream("i-1", encode(**changes)) is None


ADDRESSES = [
    "",
    "10.0.0.2",
    "10.0.0.2:",
    "10.0.0.2:0",
    "10.0.0.2:-1",
    "10.0.0.2:65536",
    "10.0.0.2:99999",
    "10.0.0.2:²",
    "10.0.0.2:80\r\nX: y",
    "10.0.0.2\r\nX: y:80",
    ":80",
    "name:80",
]


@pytest.mark.parametrize("address", ADDRESSES)
def test_entry_with_an_unfit_address_is_skipped(address: str) -> None:
    assert RowDecoder().upstream("i-1", encode(address=address)) is None


# Guards against a connection to another port: uvloop takes 65536 + N for N.
@pytest.mark.parametrize("address", ["127.0.0.1:99999", "127.0.0.1:", "127.0.0.1:²"])
async def test_no_connection_is_made_to_a_port_out_of_range(address: str) -> None:
    pool = ConnectionPool()
    with pytest.raises(UpstreamNotSentError):
        await pool.async_open(address)
    assert pool.open_count(address) == 0


def test_highest_port_is_valid() -> None:
    assert split_address("127.0.0.1:65535") == ("127.0.0.1", 65_535)
