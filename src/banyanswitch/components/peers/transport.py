"""Peer transport over push and pull sockets."""

import asyncio
from collections import OrderedDict

import pynng

from banyanswitch.components.peers.const import (
    MAX_DIALERS,
    MAX_MESSAGE_BYTES,
    RECEIVE_BATCH_MESSAGES,
    RECEIVE_BUFFER_MESSAGES,
    RECONNECT_MAX_MS,
    RECONNECT_MIN_MS,
    SEND_BUFFER_MESSAGES,
)
from banyanswitch.components.peers.signed_frames import SignedFrames
from banyanswitch.core import callback
from banyanswitch.exceptions import PeerError
from banyanswitch.helpers.signing import SigningKeys
from banyanswitch.identifiers import InstanceId


class NngPeerTransport(SignedFrames):
    """Authenticated messages, delivered at most once, in order from each sender.

    Parameters
    ----------
    instance : InstanceId
        Identifier of this instance.
    incarnation : int
        Grows with each start of the process.
    listen_address : str
        Address to bind, for example ``tcp://127.0.0.1:0``.
    advertised_address : str or None
        Address at which others reach this instance; ``None`` for the bound one.
    keys : SigningKeys
        Keys that all instances share.
    max_dialers : int
        Limit of outgoing connections kept open.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        incarnation: int,
        listen_address: str,
        advertised_address: str | None,
        keys: SigningKeys,
        max_dialers: int = MAX_DIALERS,
    ) -> None:
        super().__init__(instance=instance, incarnation=incarnation, keys=keys)
        self._listen_address = listen_address
        self._advertised_address = advertised_address
        self._max_dialers = max_dialers
        self._dialers: OrderedDict[str, pynng.Push0] = OrderedDict()
        self._listener: pynng.Pull0 | None = None

    @property
    def address(self) -> str:
        """Return the address at which others reach this instance.

        Raises
        ------
        PeerError
            If the transport has neither an advertised nor a bound address yet.
        """
        if self._advertised_address is None:
            raise PeerError("the peer transport has not been started")
        return self._advertised_address

    async def async_start(self) -> None:
        """Bind the listener and start to receive.

        Raises
        ------
        PeerError
            If the address can't be bound.
        """
        listener = pynng.Pull0(
            recv_buffer_size=RECEIVE_BUFFER_MESSAGES, recv_max_size=MAX_MESSAGE_BYTES
        )
        try:
            bound = listener.listen(self._listen_address)
        except pynng.NNGException as error:
            listener.close()
            raise PeerError(f"can't listen on {self._listen_address}") from error
        self._listener = listener
        if self._advertised_address is None:
            self._advertised_address = f"tcp://{bound.local_address}"
        asyncio.get_running_loop().add_reader(
            listener.recv_fd, self._receive_waiting, listener
        )

    async def async_stop(self) -> None:
        """Stop receiving and close all sockets."""
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener.recv_fd)
            self._listener.close()
        while self._dialers:
            self._dialers.popitem()[1].close()

    async def async_send(self, peer_address: str, message: object) -> None:
        """Queue a message for a peer without waiting for it.

        Raises
        ------
        PeerError
            If the address is invalid, the message is too large, or the send buffer of
            this peer is full.
        """
        frame = self.frame(peer_address, message)
        if len(frame) > MAX_MESSAGE_BYTES:
            raise PeerError(
                f"message to {peer_address} is too large: {len(frame)} of at most "
                f"{MAX_MESSAGE_BYTES} bytes"
            )
        try:
            self._dialer(peer_address).send(frame, block=False)
        except pynng.NNGException as error:
            raise PeerError(f"can't send to {peer_address}: {error}") from error

    def _dialer(self, peer_address: str) -> pynng.Push0:
        dialer = self._dialers.get(peer_address)
        if dialer is not None:
            self._dialers.move_to_end(peer_address)
            return dialer
        dialer = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        try:
            dialer.dial(peer_address, block=False)
        except pynng.NNGException:
            dialer.close()
            raise
        self._dialers[peer_address] = dialer
        if len(self._dialers) > self._max_dialers:
            self._dialers.popitem(last=False)[1].close()
        return dialer

    @callback
    def _receive_waiting(self, listener: pynng.Pull0) -> None:
        for _ in range(RECEIVE_BATCH_MESSAGES):
            try:
                frame = listener.recv(block=False)
            except pynng.TryAgain:
                return
            self.deliver(frame)
