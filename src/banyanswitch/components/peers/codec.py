"""Registry of the message types that instances exchange."""

from typing import Any

import msgspec

from banyanswitch.exceptions import PeerError


class MessageCodec:
    """Encode and decode messages by the name of their type.

    Message types are frozen dataclasses or ``msgspec.Struct`` types. The class name
    identifies a type on the wire, so message classes keep their names between releases.
    During a rolling upgrade, an instance that doesn't know a name drops the message
    with a log line.
    """

    def __init__(self) -> None:
        self._types: dict[str, type] = {}
        self._decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}
        self._encoder = msgspec.msgpack.Encoder()

    def register(self, message_type: type) -> str:
        """Add a message type; adding it again has no effect.

        Returns
        -------
        tag : str
            Name of the type on the wire.

        Raises
        ------
        PeerError
            If another type has the same name.
        """
        tag = message_type.__name__
        known = self._types.get(tag)
        if known is message_type:
            return tag
        if known is not None:
            raise PeerError(f"two message types are named {tag}")
        self._types[tag] = message_type
        self._decoders[tag] = msgspec.msgpack.Decoder(message_type)
        return tag

    def encode(self, message: object) -> tuple[str, bytes]:
        """Return the tag and the encoded content of a message."""
        tag = self.register(type(message))
        return tag, self._encoder.encode(message)

    def decode(self, tag: str, payload: bytes) -> object:
        """Return the decoded message.

        Raises
        ------
        PeerError
            If the tag is not registered or the payload does not fit its type.
        """
        decoder = self._decoders.get(tag)
        if decoder is None:
            raise PeerError(f"unknown message type {tag}")
        try:
            return decoder.decode(payload)
        except msgspec.MsgspecError as error:
            raise PeerError(f"message {tag} can't be decoded: {error}") from error
