"""Start-up, signal handling and shutdown of ``banyanswitch-forward``."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import uvloop

from banyanswitch.components.forwarding.settings_file import SettingsFile
from banyanswitch.exceptions import SettingsError
from banyanswitch.helpers.log_buffer import LogBuffer, set_up_buffered_logs
from banyanswitch.platform.const import SETTINGS_PATH_VARIABLE
from banyanswitch.platform.node_settings import load_node_settings
from banyanswitch.platform_composition import async_compose_forwarding

EXIT_SETTINGS = 2
CHECK_FLAG = "--check_settings"


async def async_serve(path: Path, logs: LogBuffer) -> None:
    """Serve until a graceful shutdown has completed."""
    settings = load_node_settings(path)
    loop = asyncio.get_running_loop()
    log_flusher = loop.create_task(logs.async_run(), name="logs")
    process = await async_compose_forwarding(settings)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, process.shutdown.request)
    settings_file = SettingsFile(path, load_node_settings, settings, process.apply)
    loop.add_signal_handler(signal.SIGHUP, settings_file.reload)
    settings_watcher = loop.create_task(settings_file.async_run(), name="settings_file")
    lease_release = loop.create_task(process.async_release_leases(), name="give_back")
    await process.shutdown.async_wait_stopped()
    await lease_release
    await process.async_shut_down()
    settings_watcher.cancel()
    log_flusher.cancel()
    logs.flush()


def serve() -> None:
    """Check the settings and serve until a graceful shutdown."""
    arguments = [argument for argument in sys.argv[1:] if argument != CHECK_FLAG]
    path = Path(arguments[0] if arguments else os.environ[SETTINGS_PATH_VARIABLE])
    try:
        settings = load_node_settings(path)
    except SettingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if CHECK_FLAG in sys.argv:
        print(settings)
        return
    # The deployment forbids io_uring descriptors, so uvloop must not open one.
    os.environ["UV_USE_IO_URING"] = "0"
    logs = set_up_buffered_logs()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(async_serve(path, logs))
