"""Signing, verification and delivery of messages between instances."""

from collections import defaultdict
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
import structlog

from banyanswitch.components.peers.codec import MessageCodec
from banyanswitch.components.peers.const import SIGNATURE_PURPOSE
from banyanswitch.components.peers.models import Envelope
from banyanswitch.components.peers.replay_guard import ReplayGuard
from banyanswitch.core import callback
from banyanswitch.exceptions import PeerError
from banyanswitch.helpers.signing import SIGNATURE_BYTES, SigningKeys
from banyanswitch.identifiers import InstanceId

T = TypeVar("T")
LOGGER = structlog.get_logger(__name__)


class SignedFrames:
    """Signed frames of one instance, independent of the protocol that carries them.

    Parameters
    ----------
    instance : InstanceId
        Identifier of this instance.
    incarnation : int
        First incarnation; grows with each start of the process.
    keys : SigningKeys
        Keys that all instances share.
    """

    def __init__(
        self, *, instance: InstanceId, incarnation: int, keys: SigningKeys
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._sequence = 0
        self._keys = keys
        self._replay_guard = ReplayGuard()
        self._codec = MessageCodec()
        self._handlers: dict[type, list[Callable[[Any], None]]] = defaultdict(list)
        self._envelope_decoder = msgspec.msgpack.Decoder(Envelope)
        self._last_message: object = None
        self._last_encoded = ("", b"")
        self.dropped_frames = 0

    @property
    def incarnation(self) -> int:
        """Return the incarnation of this instance."""
        return self._incarnation

    @property
    def address(self) -> str:
        """Return the address at which others reach this instance."""
        raise NotImplementedError

    @callback
    def raise_incarnation(self, incarnation: int) -> None:
        """Raise the incarnation to a new one; never lower it.

        The membership starts a new incarnation if others know a higher one, or to clear
        the leaving flag.
        """
        self._incarnation = max(self._incarnation, incarnation)

    @callback
    def subscribe(self, message_type: type[T], handler: Callable[[T], None]) -> None:
        """Call ``handler`` for each message of this type that arrives."""
        self._codec.register(message_type)
        self._handlers[message_type].append(handler)

    @callback
    def frame(self, peer_address: str, message: object) -> bytes:
        """Return the signed bytes that carry a message to a peer."""
        tag, payload = self._encoded(message)
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

    @callback
    def content_bytes(self, message: object) -> int:
        """Return the size of a message without its frame."""
        return len(self._encoded(message)[1])

    def _encoded(self, message: object) -> tuple[str, bytes]:
        """Return the encoded message, cached because it mostly goes to many peers."""
        if message is not self._last_message:
            self._last_message = message
            self._last_encoded = self._codec.encode(message)
        return self._last_encoded

    @callback
    def deliver(self, frame: bytes) -> None:
        """Verify a frame and deliver its message to the subscribers."""
        try:
            message = self._verify_and_decode(frame)
        except (PeerError, msgspec.MsgspecError) as error:
            self.dropped_frames += 1
            LOGGER.warning("peer_frame_dropped", reason=str(error))
            return
        for handler in tuple(self._handlers.get(type(message), ())):
            try:
                handler(message)
            except Exception:
                LOGGER.exception("peer_handler_failed", message=type(message).__name__)

    def _verify_and_decode(self, frame: bytes) -> object:
        signature, content = frame[:SIGNATURE_BYTES], frame[SIGNATURE_BYTES:]
        if not self._keys.is_valid(SIGNATURE_PURPOSE, content, signature):
            raise PeerError("message is not signed with a known key")
        envelope = self._envelope_decoder.decode(content)
        if envelope.recipient != self.address:
            raise PeerError(
                f"message is addressed to {envelope.recipient}, not to {self.address}"
            )
        if not self._replay_guard.accept(
            envelope.sender, envelope.tag, envelope.incarnation, envelope.sequence
        ):
            raise PeerError(
                f"message of {envelope.sender} is not newer than its last one"
            )
        return self._codec.decode(envelope.tag, envelope.payload)
