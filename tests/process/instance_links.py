"""Links between single instances and upstreams, which tests cut and heal."""

import asyncio
import json
import socket
from contextlib import ExitStack
from enum import Enum
from pathlib import Path

from tests.soak.proxy import Mode, Proxy


class Cut(Enum):
    """How a cut treats connections.

    With ``SILENT``, open connections stay open without traffic and new ones hang. With
    ``RESET``, open ones are reset and new ones refused. With ``REFUSE_NEW``, open ones
    go on and new ones are refused.
    """

    SILENT = "silent"
    RESET = "reset"
    REFUSE_NEW = "refuse_new"


class InstanceLinks:
    """Proxies between one instance and upstreams.

    The instance reads from a file which address to connect to instead of an upstream's
    own one (`tests.process.linked_forward`).

    Parameters
    ----------
    path : Path
        File of the instance's links.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self._sockets = ExitStack()
        self._hanging_address = self._open_hanging()
        self._refusing_address = self._reserve_refusing()
        self._proxies: dict[str, Proxy] = {}
        self._proxy_addresses: dict[str, str] = {}
        self._cuts: dict[str, Cut] = {}
        self._write()

    async def async_add(self, address: str) -> None:
        """Add a link to the upstream at an address."""
        host, _, port = address.rpartition(":")
        self._proxies[address] = Proxy(host, int(port))
        self._proxy_addresses[address] = await self._proxies[address].async_start()
        self._write()

    def cut(self, cut: Cut, addresses: list[str] | None = None) -> None:
        """Cut the links to some upstreams; all links by default."""
        for address in addresses or list(self._proxies):
            self._cuts[address] = cut
        self._write()
        for address in addresses or list(self._proxies):
            if cut is Cut.SILENT:
                self._proxies[address].mode = Mode.SILENT
            elif cut is Cut.RESET:
                self._proxies[address].reset()

    def heal(self) -> None:
        """End all cuts."""
        self._cuts.clear()
        self._write()
        for proxy in self._proxies.values():
            proxy.mode = Mode.PASS

    def stop(self) -> None:
        """Reset all connections and stop listening."""
        for proxy in self._proxies.values():
            proxy.stop()
        self._sockets.close()

    def _write(self) -> None:
        addresses = {
            address: self._address(address) for address in self._proxy_addresses
        }
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(addresses))
        temporary.replace(self.path)

    def _address(self, address: str) -> str:
        cut = self._cuts.get(address)
        if cut is None:
            return self._proxy_addresses[address]
        return self._hanging_address if cut is Cut.SILENT else self._refusing_address

    def _open_hanging(self) -> str:
        """Return an address whose queue of new connections is full."""
        listener = self._sockets.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(4):
            waiting = self._sockets.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())
        return f"127.0.0.1:{listener.getsockname()[1]}"

    def _reserve_refusing(self) -> str:
        """Return an address at which nothing listens."""
        reserved = self._sockets.enter_context(socket.socket())
        reserved.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{reserved.getsockname()[1]}"


async def async_link(
    host_paths: dict[str, Path], addresses: list[str]
) -> dict[str, InstanceLinks]:
    """Return the links of each instance to upstreams, by host."""
    links = {host: InstanceLinks(path) for host, path in host_paths.items()}
    await asyncio.gather(
        *(link.async_add(address) for link in links.values() for address in addresses)
    )
    return links
