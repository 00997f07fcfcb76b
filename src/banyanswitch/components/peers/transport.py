"""Peer transport over push and pull sockets."""

import asyncio
from collections import OrderedDict, defaultdict
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
import pynng
import structlog

from banyanswitch.components.peers.codec import MessageCodec
from banyanswitch.components.peers.const import (
    MAX_DIALERS,
    MAX_MESSAGE_BYTES,
    RECEIVE_BATCH_MESSAGES,
    RECEIVE_BUFFER_MESSAGES,
    RECONNECT_MAX_MS,
    RECONNECT_MIN_MS,
    SEND_BUFFER_MESSAGES,
    SIGNATURE_PURPOSE,
)
from banyanswitch.components.peers.models import Envelope
from banyanswitch.components.peers.replay_guard import ReplayGuard
from banyanswitch.core import callback
from banyanswitch.exceptions import PeerError
from banyanswitch.helpers.signing import SIGNATURE_BYTES, SigningKeys
from banyanswitch.identifiers import InstanceId

T = TypeVar("T")
LOGGER = structlog.get_logger(__name__)


class NngPeerTransport:
    """Authenticated messages, at most once, in order from each sender.

    Parameters
    ----------
    instance : InstanceId
        Identifier of this instance.
    incarnation : int
        Grows with each start of the process.
    listen_address : str
        Address to bind, for example ``tcp://127.0.0.1:0``.
    advertised_address : str or None
        Address under which others reach this instance; ``None`` for the bound one.
    keys : SigningKeys
        Keys that all instances share.
    max_dialers : int
        Outgoing connections kept open.
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
        self._instance = instance
        self._incarnation = incarnation
        self._sequence = 0
        self._listen_address = listen_address
        self._advertised_address = advertised_address
        self._keys = keys
        self._replay_guard = ReplayGuard()
        self._codec = MessageCodec()
        self._handlers: dict[type, list[Callable[[Any], None]]] = defaultdict(list)
        self._max_dialers = max_dialers
        self._dialers: OrderedDict[str, pynng.Push0] = OrderedDict()
        self._listener: pynng.Pull0 | None = None
        self._envelope_decoder = msgspec.msgpack.Decoder(Envelope)
        self.dropped_frames = 0

    @property
    def incarnation(self) -> int:
        """Return the incarnation of this instance."""
        return self._incarnation

    @property
    def address(self) -> str:
        """Return the address under which others reach this instance."""
        if self._advertised_address is None:
            raise PeerError("the peer transport has not been started")
        return self._advertised_address

    async def async_start(self) -> None:
        """Bind the listener and start to receive."""
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

    @callback
    def raise_incarnation(self, incarnation: int) -> None:
        """Take a higher incarnation, when others know a higher one than ours."""
        self._incarnation = max(self._incarnation, incarnation)

    @callback
    def subscribe(self, message_type: type[T], handler: Callable[[T], None]) -> None:
        """Call ``handler`` for each message of this type that arrives."""
        self._codec.register(message_type)
        self._handlers[message_type].append(handler)

    async def async_send(self, peer_address: str, message: object) -> None:
        """Hand a message to the transport without waiting for the peer.

        Raises
        ------
        PeerError
            If the address is wrong, the message is too large, or too many messages
            wait for this peer already.
        """
        frame = self.frame(peer_address, message)
        if len(frame) > MAX_MESSAGE_BYTES:
            raise PeerError(f"message to {peer_address} has {len(frame)} bytes")
        try:
            self._dialer(peer_address).send(frame, block=False)
        except pynng.NNGException as error:
            raise PeerError(f"can't send to {peer_address}: {error}") from error

    @callback
    def frame(self, peer_address: str, message: object) -> bytes:
        """Return the signed bytes that carry a message to a peer."""
        tag, payload = self._codec.encode(message)
        self._sequence += 1
        content = msgspec.msgpack.encode(
            Envelope(
                self._instance,
                self._incarnation,
                self._sequence,
                peer_address,
                tag,
                payload,
            )
        )
        return self._keys.sign(SIGNATURE_PURPOSE, content) + content

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

    @callback
    def deliver(self, frame: bytes) -> None:
        """Check a frame and hand its message to the subscribers."""
        try:
            message = self._open(frame)
        except (PeerError, msgspec.MsgspecError) as error:
            self.dropped_frames += 1
            LOGGER.warning("peer_frame_dropped", reason=str(error))
            return
        for handler in tuple(self._handlers.get(type(message), ())):
            try:
                handler(message)
            except Exception:
                LOGGER.exception("peer_handler_failed", message=type(message).__name__)

    def _open(self, frame: bytes) -> object:
        signature, content = frame[:SIGNATURE_BYTES], frame[SIGNATURE_BYTES:]
        if not self._keys.is_valid(SIGNATURE_PURPOSE, content, signature):
            raise PeerError("message is not signed with a known key")
        envelope = self._envelope_decoder.decode(content)
        if envelope.recipient != self.address:
            raise PeerError(f"message was sent to {envelope.recipient}")
        if not self._replay_guard.accept(
            envelope.sender, envelope.incarnation, envelope.sequence
        ):
            raise PeerError(f"message of {envelope.sender} is not newer than the last")
        return self._codec.decode(envelope.tag, envelope.payload)
