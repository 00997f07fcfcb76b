"""Tests of the settings file of a machine."""

from pathlib import Path

import pytest

from banyanswitch.exceptions import SettingsError
from banyanswitch.platform.node_settings import load_node_settings

DOCUMENT = """
nodeName = "n1"
ip = "10.1.0.19"
zone = "z1"
internalPortRange = [7580, 7595]
seedAddresses = ["10.2.0.13:8745"]
newField = 1
[listen]
front = "10.1.0.19:8749"
readyAddr = "10.1.0.19:8741"
directory = "10.1.0.19:8747"
[bounds]
leaseMs = 3000
gracePeriodS = 8
[platform]
address = "10.200.1.7:8744"
"""


def write(tmp_path: Path, text: str) -> Path:
    path = tmp_path / "node.toml"
    path.write_text(text)
    return path


def test_file_is_loaded_and_unknown_fields_are_ignored(tmp_path: Path) -> None:
    settings = load_node_settings(write(tmp_path, DOCUMENT))
    assert settings.instance == "n1"
    assert settings.peer_port == 7580
    assert settings.peer_seeds == ("10.2.0.13:7580",)
    assert settings.lease_s == 3.0


@pytest.mark.parametrize(
    ("before", "after", "place"),
    [
        ('ip = "10.1.0.19"\n', "", "ip"),
        ("leaseMs = 3000", 'leaseMs = "soon"', "leaseMs"),
        ("internalPortRange = [7580, 7595]", "internalPortRange = 7", "Range"),
        ("[listen]", "[listen", "Expected"),
    ],
)
def test_finding_contains_its_location(
    tmp_path: Path, before: str, after: str, place: str
) -> None:
    path = write(tmp_path, DOCUMENT.replace(before, after))
    with pytest.raises(SettingsError) as caught:
        load_node_settings(path)
    assert place in str(caught.value)


def test_missing_file_is_a_settings_error(tmp_path: Path) -> None:
    with pytest.raises(SettingsError):
        load_node_settings(tmp_path / "none.toml")


# Guards against bounds of cold upstreams that are not kept.
def test_bounds_of_cold_upstreams_are_loaded(tmp_path: Path) -> None:
    settings = load_node_settings(write(tmp_path, DOCUMENT))
    assert (settings.cold_over, settings.cold_slack) == (0.0, 0.0)
    bounds = "[bounds]\ncoldOver = 1.5\ncoldSlack = 5\nevacuationMs = 4000"
    path = write(tmp_path, DOCUMENT.replace("[bounds]", bounds))
    settings = load_node_settings(path)
    assert (settings.cold_over, settings.cold_slack) == (1.5, 5.0)
    assert settings.evacuation_s == 4.0
