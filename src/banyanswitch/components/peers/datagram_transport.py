"""Peer transport over datagrams."""

import asyncio
from typing import cast

import structlog

from banyanswitch.components.peers.const import MAX_DATAGRAM_BYTES
from banyanswitch.components.peers.signed_frames import SignedFrames
from banyanswitch.core import callback
from banyanswitch.exceptions import PeerError
from banyanswitch.helpers.signing import SigningKeys
from banyanswitch.identifiers import InstanceId

LOGGER = structlog.get_logger(__name__)


class DatagramPeerTransport(SignedFrames, asyncio.DatagramProtocol):
    """Authenticated messages, at most once; some are lost.

    Nothing is kept for a peer, so a path that went silent costs nothing and heals
    by itself.

    Parameters
    ----------
    host : str
        Address to bind, which others use too.
    port : int
        Port to bind; 0 takes a free one.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        incarnation: int,
        host: str,
        port: int,
        keys: SigningKeys,
    ) -> None:
        super().__init__(instance=instance, incarnation=incarnation, keys=keys)
        self._host = host
        self._port = port
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def address(self) -> str:
        """Return the address under which others reach this instance."""
        return f"{self._host}:{self._port}"

    async def async_start(self) -> None:
        """Bind the socket and start to receive."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._host, self._port)
        )

    async def async_stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    async def async_send(self, peer_address: str, message: object) -> None:
        """Send a message, at most once.

        Raises
        ------
        PeerError
            If the message is too large or the socket is closed.
        """
        self.send(peer_address, message)

    @callback
    def send(self, peer_address: str, message: object) -> None:
        """Send a message without waiting.

        Raises
        ------
        PeerError
            If the message is too large or the socket is closed.
        """
        frame = self.frame(peer_address, message)
        if len(frame) > MAX_DATAGRAM_BYTES:
            raise PeerError(f"message to {peer_address} has {len(frame)} bytes")
        if self._transport is None or self._transport.is_closing():
            raise PeerError("the socket is closed")
        host, _, port = peer_address.rpartition(":")
        self._transport.sendto(frame, (host, int(port)))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Learn the bound port."""
        self._transport = cast(asyncio.DatagramTransport, transport)
        self._port = int(transport.get_extra_info("sockname")[1])

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Deliver a message."""
        self.deliver(data)

    def error_received(self, exc: Exception) -> None:
        """Note that a peer's port is closed."""
        LOGGER.debug("datagram_refused", reason=str(exc))
