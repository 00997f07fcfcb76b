"""Reload of the settings file while the process runs."""

import asyncio
import dataclasses
from collections.abc import Callable
from pathlib import Path
from typing import Final

import structlog

from banyanswitch.components.forwarding.settings import ForwardingSettings
from banyanswitch.core import callback
from banyanswitch.exceptions import SettingsError

LOGGER = structlog.get_logger(__name__)

CHECK_INTERVAL_S: Final = 2.0
"""Poll interval of the file, which may change without a signal to the process."""

LIVE_FIELDS: Final = frozenset({"peer_seeds", "grace_s"})
"""Settings that take effect at once; others need a restart."""


class SettingsFile:
    """Reload the settings file when its content changes.

    Parameters
    ----------
    path : Path
        Path of the settings file.
    load : callable
        Reads and validates the file.
    settings : ForwardingSettings
        Active settings.
    on_change : callable
        Called with the new settings after each successful reload.
    """

    def __init__(
        self,
        path: Path,
        load: Callable[[Path], ForwardingSettings],
        settings: ForwardingSettings,
        on_change: Callable[[ForwardingSettings], None],
    ) -> None:
        self._path = path
        self._load = load
        self._settings = settings
        self._on_change = on_change
        self._content = self._read()

    async def async_run(self) -> None:
        """Poll the file until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            content = self._read()
            if content != self._content:
                self._content = content
                self.reload()

    @callback
    def reload(self) -> None:
        """Read the file; keep the active settings if it is unusable."""
        try:
            settings = self._load(self._path)
        except (SettingsError, OSError) as error:
            LOGGER.warning("settings_unusable", reason=str(error))
            return
        before = dataclasses.asdict(self._settings)
        after = dataclasses.asdict(settings)
        changed = sorted(name for name in after if after[name] != before[name])
        LOGGER.info(
            "settings_checked",
            path=str(self._path),
            applied=[name for name in changed if name in LIVE_FIELDS],
            at_next_start=[name for name in changed if name not in LIVE_FIELDS],
        )
        self._settings = settings
        self._on_change(settings)

    def _read(self) -> bytes:
        try:
            return self._path.read_bytes()
        except OSError as error:
            LOGGER.warning("settings_unusable", reason=str(error))
            return b""
