"""Tests of the sources of settings and of their validation."""

import pytest

from banyanswitch.exceptions import SettingsError
from banyanswitch.settings import SettingSource, load_settings

REQUIRED = {
    "instance": "entry-1",
    "failure_domain": "fd-1",
    "peer_key": "0123456789abcdef",
    "table_url": "http://127.0.0.1:9000",
}


def test_flag_overrides_environment() -> None:
    loaded = load_settings(REQUIRED | {"port": 9}, {"BANYANSWITCH_PORT": "8"})
    assert loaded.settings.port == 9
    sources = {item.name: item.source for item in loaded.effective}
    assert sources["port"] is SettingSource.FLAG
    assert sources["host"] is SettingSource.DEFAULT


def test_environment_is_used() -> None:
    environment = {
        f"BANYANSWITCH_{name.upper()}": value for name, value in REQUIRED.items()
    }
    loaded = load_settings({}, environment | {"BANYANSWITCH_LEASE_S": "4.5"})
    assert loaded.settings.lease_s == 4.5


def test_all_findings_are_reported_together() -> None:
    flags = {"port": 70_000, "tabel_url": "x", "peer_key": "short"}
    with pytest.raises(SettingsError) as raised:
        load_settings(flags, {"BANYANSWITCH_LEASE_S": "soon"})
    places = {finding.place for finding in raised.value.findings}
    assert places == {
        "--port",
        "--tabel_url",
        "--peer_key",
        "BANYANSWITCH_LEASE_S",
        "--instance",
        "--failure_domain",
        "--table_url",
    }


def test_secrets_are_redacted() -> None:
    loaded = load_settings(REQUIRED, {})
    shown = {item.name: item.value for item in loaded.effective}
    assert shown["peer_key"] == "<set>"
    assert REQUIRED["peer_key"] not in repr(loaded.settings)
