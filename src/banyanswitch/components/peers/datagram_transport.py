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
    """Authenticated messages over datagrams, delivered at most once; some are lost.

    No connection is kept for a peer, so an interrupted network path takes up no
    resources and works again without a reconnect.

    Parameters
    ----------
    host : str
        Address to bind, which peers also send to.
    port : int
        Port to bind; 0 selects a free one.
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
        """Return the address at which others reach this instance."""
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
            raise PeerError(
                f"message to {peer_address} is too large: {len(frame)} of at most "
                f"{MAX_DATAGRAM_BYTES} bytes"
            )
        if self._transport is None or self._transport.is_closing():
            raise PeerError("the datagram socket is closed")
        host, _, port = peer_address.rpartition(":")
        self._transport.sendto(frame, (host, int(port)))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and the bound port."""
        self._transport = cast(asyncio.DatagramTransport, transport)
        self._port = int(transport.get_extra_info("sockname")[1])

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Deliver a message."""
        self.deliver(data)

    def error_received(self, exc: Exception) -> None:
        """Log an error of an earlier send, for example a peer's closed port."""
        LOGGER.debug("datagram_refused", reason=str(exc))
