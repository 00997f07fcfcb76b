"""``banyanswitch-forward`` that connects over the links in a file.

Usage: ``python -m tests.process.linked_forward LINKS SETTINGS``. The file maps
addresses to the ones to connect to instead, and is read for each new connection.
"""

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

from banyanswitch.cli import forward
from banyanswitch.components.http1 import connection_pool


class _LinkedLoop:
    """Event loop that replaces the addresses of new connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop, path: Path) -> None:
        self._loop = loop
        self._path = path

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    async def create_connection(
        self, factory: Any, host: str, port: int
    ) -> tuple[Any, Any]:
        links = json.loads(self._path.read_text())
        address = links.get(f"{host}:{port}", f"{host}:{port}")
        linked_host, _, linked_port = address.rpartition(":")
        return await self._loop.create_connection(
            factory, linked_host, int(linked_port)
        )


class _LinkedAsyncio:
    """The module ``asyncio`` with the loop above."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def __getattr__(self, name: str) -> Any:
        return getattr(asyncio, name)

    def get_running_loop(self) -> _LinkedLoop:
        return _LinkedLoop(asyncio.get_running_loop(), self._path)


if __name__ == "__main__":
    connection_pool.asyncio = _LinkedAsyncio(Path(sys.argv.pop(1)))  # type: ignore
    forward.main()
