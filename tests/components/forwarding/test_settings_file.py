"""Tests of the reload of a settings file that changes while the process runs."""

import asyncio
import dataclasses
from pathlib import Path

import pytest

from banyanswitch.components.forwarding.settings import ForwardingSettings
from banyanswitch.components.forwarding.settings_file import (
    CHECK_INTERVAL_S,
    SettingsFile,
)
from banyanswitch.exceptions import SettingsError

pytestmark = pytest.mark.looptime
SETTINGS = ForwardingSettings(
    instance="a",
    failure_domain="z",
    host="127.0.0.2",
    caller_address="127.0.0.2:1",
    readiness_address="127.0.0.2:2",
    directory_address="127.0.0.2:3",
    request_port=2,
    peer_port=4,
    peer_seeds=("127.0.0.3:4",),
    store_address="127.0.0.4:1",
    entry_interval_s=1.0,
    memory_bytes=1,
    client_memory_bytes=1,
    max_descriptors=1,
    drain_s=2.0,
    grace_s=8.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_slack=50.0,
    lease_s=3.0,
    weights_deadline_s=12.0,
    address_ttl_s=5.0,
)


def load(path: Path) -> ForwardingSettings:
    content = path.read_text()
    if not content:
        raise SettingsError(["the file is empty"])
    return dataclasses.replace(SETTINGS, grace_s=float(content))


class WatchedFile:
    """Watched settings file and the settings that were applied."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.path.write_text("8.0")
        self.applied: list[float] = []
        self.file = SettingsFile(path, load, SETTINGS, self._apply)

    def _apply(self, settings: ForwardingSettings) -> None:
        self.applied.append(settings.grace_s)

    async def async_write_and_watch(self, content: str) -> None:
        task = asyncio.create_task(self.file.async_run())
        self.path.write_text(content)
        await asyncio.sleep(2.0 * CHECK_INTERVAL_S + 0.1)
        task.cancel()


async def test_a_change_without_a_signal_is_applied_once(tmp_path: Path) -> None:
    watched = WatchedFile(tmp_path / "node.toml")
    await watched.async_write_and_watch("5.0")
    assert watched.applied == [5.0]


async def test_an_unchanged_file_is_not_reloaded(tmp_path: Path) -> None:
    watched = WatchedFile(tmp_path / "node.toml")
    await watched.async_write_and_watch("8.0")
    assert watched.applied == []


async def test_unusable_settings_change_nothing(tmp_path: Path) -> None:
    watched = WatchedFile(tmp_path / "node.toml")
    await watched.async_write_and_watch("")
    watched.path.unlink()
    watched.file.reload()
    assert watched.applied == []


async def test_a_reload_reads_the_file_at_once(tmp_path: Path) -> None:
    watched = WatchedFile(tmp_path / "node.toml")
    watched.path.write_text("4.0")
    watched.file.reload()
    assert watched.applied == [4.0]
