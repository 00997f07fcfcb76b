"""Round trips of a configuration through JSON documents and records."""

from dataclasses import replace

import msgspec
import pytest

from banyanswitch.config import Limits, parse, render
from banyanswitch.config.records import (
    RecordChange,
    difference,
    from_records,
    to_records,
)
from banyanswitch.exceptions import ConfigurationError
from tests.config.test_validation import VALID, WORKSPACE


def test_document_round_trip() -> None:
    assert parse(render(VALID)) == VALID


def test_render_rejects_an_invalid_configuration() -> None:
    with pytest.raises(ConfigurationError, match="schema_version"):
        render(replace(VALID, schema_version=2))


def test_wrong_types_and_unknown_fields_are_reported_together() -> None:
    content = msgspec.json.decode(render(VALID))
    content["workspaces"][0]["limits"]["requests_per_s"] = "many"
    content["upstreams"][0]["slots"] = 1.5
    content["services"][0]["colour"] = "red"
    content["extra"] = {}
    with pytest.raises(ConfigurationError) as caught:
        parse(msgspec.json.encode(content))
    assert {finding.place for finding in caught.value.findings} == {
        "extra",
        "services[0].colour",
        "workspaces[0].limits.requests_per_s",
        "upstreams[0].slots",
    }


@pytest.mark.parametrize("document", ["", "[]", "{", '{"services": 1}', b"\xff"])
def test_malformed_documents_are_rejected(document: str | bytes) -> None:
    with pytest.raises(ConfigurationError):
        parse(document)


def test_records_round_trip_and_difference() -> None:
    records = to_records(VALID)
    assert from_records(records.items()) == VALID
    limited = replace(WORKSPACE, limits=Limits(concurrent_requests=1))
    after = to_records(replace(VALID, workspaces=(limited,), stores=(), links=()))
    changes = difference(records, after)
    assert [change.key for change in changes] == [
        "link/s1",
        "store/s1",
        "workspace/shop",
    ]
    assert changes[0] == RecordChange("link/s1", None)
