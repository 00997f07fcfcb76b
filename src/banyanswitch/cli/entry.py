"""``banyanswitch-entry``: the serving process of an instance."""

import asyncio
import os
import signal
import sys
from collections.abc import Mapping

import aiomisc
import fire
import msgspec
import uvloop
from fire.decorators import SetParseFn

from banyanswitch.components.gateway.server import CallerServer
from banyanswitch.components.shutdown.coordinator import ShutdownCoordinator
from banyanswitch.composition import async_compose, disable_io_uring
from banyanswitch.core import Kernel
from banyanswitch.exceptions import SettingsError
from banyanswitch.helpers.logs import set_up_logs
from banyanswitch.settings import (
    EntrySettings,
    LoadedSettings,
    described_settings,
    load_settings,
)

EXIT_SETTINGS = 2
HELP_FLAG = "help"
CHECK_FLAG = "check_settings"
THREAD_POOL_SIZE = 2
HELP_HEADING = """banyanswitch-entry: serve callers until SIGTERM or SIGINT.

Every setting is a flag and an environment variable; the flag goes first.
--check_settings prints the effective settings with their origin and ends.
Exit statuses: 0 stopped as planned; 2 wrong settings.
"""


class ListeningDocument(msgspec.Struct, frozen=True):
    """Line printed to standard output once the process listens."""

    instance: str
    port: int


class EntryService(aiomisc.Service):
    """Service that runs the kernel and its components.

    Parameters
    ----------
    settings : EntrySettings
        Validated settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        super().__init__()
        self._settings = settings
        self._kernel: Kernel | None = None

    async def start(self) -> None:
        """Set up all components and print the port that the process listens on."""
        kernel = await async_compose(self._settings)
        self._kernel = kernel
        shutdown = kernel.require(ShutdownCoordinator)
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, shutdown.request)
        server = kernel.require(CallerServer)
        document = ListeningDocument(self._settings.instance, server.port)
        print(msgspec.json.encode(document).decode(), flush=True)

    async def async_wait_stopped(self) -> None:
        """Wait until a graceful shutdown has drained the process."""
        if self._kernel is not None:
            await self._kernel.require(ShutdownCoordinator).async_run()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop all components."""
        if self._kernel is not None:
            await self._kernel.async_stop()


def run(**flags: str) -> None:
    """Serve callers until SIGTERM or SIGINT.

    Parameters
    ----------
    **flags
        Settings; ``--check_settings`` prints the effective ones and ends.
    """
    if HELP_FLAG in flags:
        _print_help()
        return
    is_check = flags.pop(CHECK_FLAG, None) is not None
    loaded = _load_or_exit(flags, os.environ)
    if is_check:
        _print_settings(loaded)
        return
    set_up_logs(loaded.settings.log_level)
    disable_io_uring()
    service = EntryService(loaded.settings)
    with aiomisc.entrypoint(
        service,
        loop_factory=uvloop.new_event_loop,
        log_config=False,
        pool_size=THREAD_POOL_SIZE,
        catch_signals=(),
    ) as loop:
        loop.run_until_complete(service.async_wait_stopped())


def main() -> None:
    """Run the serving process."""
    fire.Fire(SetParseFn(str)(run), name="banyanswitch-entry")


def _load_or_exit(
    flags: Mapping[str, object], environment: Mapping[str, str]
) -> LoadedSettings:
    try:
        return load_settings(flags, environment)
    except SettingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)


def _print_help() -> None:
    print(HELP_HEADING)
    for setting in described_settings():
        print(f"  --{setting.name}, {setting.variable}")
        print(f"      {setting.help_text} (default: {setting.default or 'none'})")


def _print_settings(loaded: LoadedSettings) -> None:
    for setting in loaded.effective:
        print(f"{setting.name}={setting.value} ({setting.source.value})")


if __name__ == "__main__":
    main()
