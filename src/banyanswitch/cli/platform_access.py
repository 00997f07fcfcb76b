"""Access to the platform for the operators' command-line programs."""

import getpass
import os
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Final, NoReturn, TypeVar

import fire

from banyanswitch.components.table_service.http_client import (
    PlatformClient,
    new_platform_session,
)
from banyanswitch.components.table_service.object_store import HttpObjectStore
from banyanswitch.components.table_service.table_store import HttpTableStore
from banyanswitch.components.table_service.write_budget import WriteBudget
from banyanswitch.identifiers import InstanceId
from banyanswitch.interfaces import ObjectStore, TableStore

CALLER: Final = InstanceId("banyanswitch-operator")
TIMEOUT_S: Final = 10.0
WRITES_PER_S: Final = 20.0

ENVIRONMENT_TABLE_URL: Final = "BANYANSWITCH_TABLE_URL"
ENVIRONMENT_OBJECT_URL: Final = "BANYANSWITCH_OBJECT_URL"
ENVIRONMENT_OPERATOR: Final = "BANYANSWITCH_OPERATOR"

EXIT_USAGE: Final = 2


@dataclass(frozen=True, slots=True)
class Platform:
    """Open clients of the platform."""

    table: TableStore
    objects: ObjectStore


T = TypeVar("T")
Command = Callable[[Platform], Awaitable[T]]


@dataclass(frozen=True, slots=True)
class PlatformUrls:
    """URLs of the platform's services."""

    table_url: str
    object_url: str


def platform_urls(
    table_url: str, object_url: str, environment: Mapping[str, str] = os.environ
) -> PlatformUrls:
    """Return the URLs from flags or the environment.

    Exits with `EXIT_USAGE` if the URL of the table service is missing.
    """
    table_url = str(table_url or environment.get(ENVIRONMENT_TABLE_URL, ""))
    object_url = str(object_url or environment.get(ENVIRONMENT_OBJECT_URL, ""))
    if not table_url:
        fail(f"--table-url or {ENVIRONMENT_TABLE_URL} is required", EXIT_USAGE)
    return PlatformUrls(table_url, object_url or table_url)


def operator_name(operator: str, environment: Mapping[str, str] = os.environ) -> str:
    """Return the operator's name from a flag, the environment or the login."""
    return str(operator or environment.get(ENVIRONMENT_OPERATOR) or getpass.getuser())


def fail(reason: str, status: int) -> NoReturn:
    """Print a reason to standard error and exit."""
    print(reason, file=sys.stderr)
    raise SystemExit(status)


def run_commands(commands: type, name: str, arguments: Sequence[str]) -> None:
    """Run a command line with ``fire``.

    ``fire`` interprets a lone ``-`` as a separator, so it is passed on as
    ``--document=-``.
    """
    command_line = [
        "--document=-" if argument == "-" else argument for argument in arguments
    ]
    try:
        fire.Fire(commands, command=command_line, name=name)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of the output has exited, so there is nowhere to report this.
        # The null device keeps the flush at exit from failing, too.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


async def async_run_command(urls: PlatformUrls, command: Command[T]) -> T:
    """Open the clients, run a command and close the clients."""
    async with open_platform(urls) as platform:
        return await command(platform)


@asynccontextmanager
async def open_platform(urls: PlatformUrls) -> AsyncIterator[Platform]:
    """Open the platform's clients; close them at the end of the context."""
    async with new_platform_session() as session:
        table = PlatformClient(session, urls.table_url, CALLER, TIMEOUT_S)
        objects = PlatformClient(session, urls.object_url, CALLER, TIMEOUT_S)
        budget = WriteBudget(WRITES_PER_S, now_s=0.0)
        yield Platform(HttpTableStore(table, budget), HttpObjectStore(objects))
