"""Access to the platform for the operators' command lines."""

import getpass
import os
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Final, NoReturn, TypeVar

import aiohttp
import fire

from banyanswitch.components.table_service.http_client import PlatformClient
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
    """Where the platform's services are."""

    table_url: str
    object_url: str


def platform_urls(
    table_url: str, object_url: str, environment: Mapping[str, str] = os.environ
) -> PlatformUrls:
    """Return the URLs from flags or the environment, or end the program."""
    table_url = str(table_url or environment.get(ENVIRONMENT_TABLE_URL, ""))
    object_url = str(object_url or environment.get(ENVIRONMENT_OBJECT_URL, ""))
    if not table_url:
        fail(f"--table-url or {ENVIRONMENT_TABLE_URL} is required", EXIT_USAGE)
    return PlatformUrls(table_url, object_url or table_url)


def operator_name(operator: str, environment: Mapping[str, str] = os.environ) -> str:
    """Return the operator from a flag, the environment or the login."""
    return str(operator or environment.get(ENVIRONMENT_OPERATOR) or getpass.getuser())


def fail(reason: str, status: int) -> NoReturn:
    """Print a reason on standard error and end the program."""
    print(reason, file=sys.stderr)
    raise SystemExit(status)


def run_commands(commands: type, name: str, arguments: Sequence[str]) -> None:
    """Run a command line of ``fire``.

    ``fire`` takes a lone ``-`` for a separator, so that it is passed on as the
    document it stands for.
    """
    spelled = ["--document=-" if word == "-" else word for word in arguments]
    try:
        fire.Fire(commands, command=spelled, name=name)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of the output has ended; there is nobody left to tell.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


async def async_run_command(urls: PlatformUrls, command: Command[T]) -> T:
    """Open the clients, run a command and close them."""
    async with open_platform(urls) as platform:
        return await command(platform)


@asynccontextmanager
async def open_platform(urls: PlatformUrls) -> AsyncIterator[Platform]:
    """Open the clients for the time of a command."""
    async with aiohttp.ClientSession() as session:
        table = PlatformClient(session, urls.table_url, CALLER, TIMEOUT_S)
        objects = PlatformClient(session, urls.object_url, CALLER, TIMEOUT_S)
        budget = WriteBudget(WRITES_PER_S, now_s=0.0)
        yield Platform(HttpTableStore(table, budget), HttpObjectStore(objects))
