"""Start, signals and end of the serving process on the users' platform."""

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
    """Serve until a planned stop has drained the process."""
    settings = load_node_settings(path)
    loop = asyncio.get_running_loop()
    flusher = loop.create_task(logs.async_run(), name="logs")
    process = await async_compose_forwarding(settings)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, process.stop.request)
    file = SettingsFile(path, load_node_settings, settings, process.apply)
    loop.add_signal_handler(signal.SIGHUP, file.reload)
    watcher = loop.create_task(file.async_run(), name="settings_file")
    giving_back = loop.create_task(process.async_release_leases(), name="give_back")
    await process.stop.async_wait_stopped()
    await giving_back
    await process.async_shut_down()
    watcher.cancel()
    flusher.cancel()
    logs.flush()


def serve() -> None:
    """Check the settings and serve until a planned stop."""
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
    os.environ["UV_USE_IO_URING"] = "0"
    logs = set_up_buffered_logs()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(async_serve(path, logs))
