"""Tests of the decoding of rows that operators and upstreams write."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from structlog.testing import capture_logs

from banyanswitch.components.forwarding.models import Repeatability
from banyanswitch.identifiers import ServiceName
from banyanswitch.platform.documents import RowDecoder

DECODER = RowDecoder()
ENTRY: dict[str, Any] = {
    "service": "llm",
    "address": "10.0.0.9:80",
    "zone": "z1",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldRemainingMs": 0,
    "models": [{"name": "m", "version": 3, "adapters": []}],
    "sequence": 4,
    "born": 1700,
}
CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "H.example",
            "prefix": "/a/",
            "kind": "streaming",
            "timeoutMs": 5000,
            "service": "llm",
            "maxAttempts": 2,
            "resumable": True,
        },
        {
            "name": "r2",
            "host": "h.example",
            "prefix": "/b/",
            "kind": "non_idempotent",
            "timeoutMs": 500,
            "trafficSplit": [{"service": "app", "weight": 90}],
        },
    ],
    "services": [
        {"name": "app", "maxConnections": 110},
        {
            "name": "cache",
            "kvStoreAddress": "10.0.0.3:1",
            "zone": "z1",
            "kvCapacityTokens": 1000,
            "bandwidthMbps": 45000.0,
            "maxConcurrency": 12,
            "managed": True,
            "first_ms": 6.0,
        },
        {
            "name": "llm",
            "maxConnections": 370,
            "engine": {
                "slots": 64,
                "kvCapacityTokens": 74294,
                "models": [{"name": "m"}],
            },
        },
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "t", "apiKeys": ["k"], "priority": 1, "isolated": True}],
}


def encode(document: object) -> bytes:
    return json.dumps(document).encode()


def test_configuration_is_decoded() -> None:
    configuration = DECODER.configuration(encode(CONFIGURATION))
    assert configuration is not None
    first, second = configuration.routes
    assert first.repeatability is Repeatability.RESUMABLE_STREAM
    assert first.host == "h.example"
    assert first.is_streaming
    assert second.repeatability is Repeatability.ONCE
    assert second.shares[0].weight == 90
    assert second.timeout_s == 0.5
    assert set(configuration.services) == {"app", "llm"}
    (store,) = configuration.stores
    assert store.first_byte_s == 0.006
    assert configuration.limits.idle_timeout_s == 15.0
    (workspace,) = configuration.workspaces
    assert workspace.is_isolated
    assert workspace.keys == {"k"}


def test_upstream_entry_is_decoded() -> None:
    record = DECODER.upstream("i-1", encode(ENTRY))
    assert record is not None
    assert record.weight_versions == {"m": 3}
    assert record.started_at_ms == 1700
    assert record.software_version == ENTRY["version"]
    assert not record.is_leaving


@pytest.mark.parametrize(
    "change",
    [
        {"state": "sleeping"},
        {"state": None},
        {"slots": "many"},
        {"address": 5},
        {"born": 1700.5},
        {"born": "1700"},
        {"models": {"m": 3}},
        {"models": [{"name": "m", "version": "three"}]},
        {"sequence": None},
        {"service": None},
        {"version": None},
        {"version": 2},
    ],
)
def test_invalid_entry_is_ignored(change: dict[str, Any]) -> None:
    assert DECODER.upstream("i-1", encode({**ENTRY, **change})) is None


@pytest.mark.parametrize("name", sorted(set(ENTRY) - {"coldRemainingMs", "models"}))
def test_entry_with_a_missing_field_is_ignored(name: str) -> None:
    remaining = {key: value for key, value in ENTRY.items() if key != name}
    assert DECODER.upstream("i-1", encode(remaining)) is None


def test_target_weights_are_decoded() -> None:
    value = encode({"model": "m", "version": 2})
    assert DECODER.target_weights("version/m", value) == ("m", 2)
    assert DECODER.target_weights("config", value) is None


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.floats()
    | st.integers()
    | st.text("abc", max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(sorted(ENTRY)), inner, max_size=4)
    ),
)


@given(st.binary(max_size=80))
def test_arbitrary_bytes_do_not_raise(value: bytes) -> None:
    assert DECODER.configuration(value) is None
    assert DECODER.upstream("i-1", value) is None
    assert DECODER.target_weights("version/m", value) is None


@given(st.dictionaries(st.sampled_from(sorted(ENTRY)), JSON))
def test_changed_entry_is_decoded_with_valid_types_or_ignored(
    changes: dict[str, Any],
) -> None:
    record = DECODER.upstream("i-1", encode({**ENTRY, **changes}))
    if record is None:
        return
    assert isinstance(record.address, str)
    assert isinstance(record.slots, int)
    assert all(isinstance(v, int) for v in record.weight_versions.values())


# Guards against cold upstreams that are taken for warm ones.
def test_cold_values_are_decoded() -> None:
    record = DECODER.upstream("i-1", encode({**ENTRY, "coldRemainingMs": 2500}))
    assert record is not None
    assert record.cold_remaining_s == 2.5
    cold = {"name": "app", "coldS": 3.0, "coldPerS": 13}
    configuration = DECODER.configuration(
        encode({**CONFIGURATION, "services": [cold, {"name": "llm"}]})
    )
    assert configuration is not None
    services = configuration.services
    assert services[ServiceName("app")].cold_s == 3.0
    assert services[ServiceName("app")].cold_per_s == 13.0
    assert services[ServiceName("llm")].cold_per_s == 0.0


# Guards against an upstream or a configuration that is lost because of such a value.
@pytest.mark.parametrize("value", ["-1", '"x"', "null", "true", "[3]", "1e400", "1e9"])
def test_unusable_cold_values_count_as_zero(value: str) -> None:
    with capture_logs() as logs:
        entry = json.dumps({**ENTRY, "coldRemainingMs": 0})
        entry = entry.replace('"coldRemainingMs": 0', f'"coldRemainingMs": {value}')
        record = DECODER.upstream("i-1", entry.encode())
        row = f'{{"version": 1, "services": [{{"name": "s", "coldPerS": {value}}}]}}'
        configuration = DECODER.configuration(row.encode())
    assert record is not None
    assert record.cold_remaining_s == 0.0
    assert configuration is not None
    assert configuration.services[ServiceName("s")].cold_per_s == 0.0
    assert [line["field"] for line in logs] == ["coldRemainingMs", "coldPerS"]


def test_evacuated_failure_domain_is_decoded() -> None:
    assert DECODER.evacuated_domain("evacuate/z1") == "z1"
    assert DECODER.evacuated_domain("evacuate/") is None
    assert DECODER.evacuated_domain("config") is None
