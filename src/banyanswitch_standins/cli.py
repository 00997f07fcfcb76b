"""Command line of ``banyanswitch-standin``, which serves one stand-in per process."""

import asyncio
import json
import os
import signal
import sys
from collections.abc import Callable
from typing import Final

import fire
from aiohttp import web

from banyanswitch_standins.app import StandIn
from banyanswitch_standins.engine import EngineStandIn
from banyanswitch_standins.instances import InstancesStandIn
from banyanswitch_standins.kv_store import KvStoreStandIn
from banyanswitch_standins.plain import PlainStandIn
from banyanswitch_standins.table import TableStandIn
from banyanswitch_standins.weights import WeightsStandIn

ROLES: Final[dict[str, Callable[..., StandIn]]] = {
    "table": TableStandIn,
    "instances": InstancesStandIn,
    "weights": WeightsStandIn,
    "engine": EngineStandIn,
    "kv-store": KvStoreStandIn,
    "plain": PlainStandIn,
}
SHUTDOWN_TIMEOUT_S: Final = 0.5


def run(role: str, host: str = "127.0.0.1", port: int = 0, **options: object) -> None:
    """Serve one stand-in until SIGTERM or SIGINT.

    Parameters
    ----------
    role : str
        ``table``, ``instances``, ``weights``, ``engine``, ``kv-store`` or ``plain``.
    host : str
        Address to listen on.
    port : int
        Port to listen on, or 0 for a free one. The role and the port are printed as
        JSON on stdout.
    **options
        Parameters of the stand-in's class.

    Raises
    ------
    SystemExit
        If the role is unknown.
    """
    if role not in ROLES:
        raise SystemExit(f"unknown role {role}, choose from {', '.join(ROLES)}")
    stand_in = ROLES[role](**options)
    os.environ["UV_USE_IO_URING"] = "0"  # read when uvloop creates the event loop
    import uvloop  # noqa: PLC0415 - imported after the variable is set

    uvloop.run(_async_serve(role, stand_in, host, port))


async def _async_serve(role: str, stand_in: StandIn, host: str, port: int) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    runner = web.AppRunner(
        stand_in.build_application(),
        access_log=None,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    listening_port = runner.addresses[0][1]
    print(json.dumps({"role": role, "port": listening_port}), flush=True)
    await stop.wait()
    await runner.cleanup()


def main() -> None:
    """Run the command line."""
    arguments = [_expand_negated_flag(argument) for argument in sys.argv[1:]]
    fire.Fire(run, command=arguments, name="banyanswitch-standin")


def _expand_negated_flag(argument: str) -> str:
    """Return ``--flag=False`` for ``--no-flag``, which ``fire`` does not support."""
    if not argument.startswith("--no-"):
        return argument
    return f"--{argument.removeprefix('--no-')}=False"


if __name__ == "__main__":
    main()
