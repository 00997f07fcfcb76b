"""Frame that carries one message between instances."""

import msgspec


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Authenticated frame around one encoded message.

    Parameters
    ----------
    sender : str
        Identifier of the sending instance.
    incarnation : int
        Incarnation of the sender; grows with each start of its process and when the
        membership raises it.
    sequence : int
        Grows with each message of this incarnation, across all recipients.
    recipient : str
        Peer address to which the message was sent.
    tag : str
        Name of the message type.
    payload : bytes
        Encoded message.
    """

    sender: str
    incarnation: int
    sequence: int
    recipient: str
    tag: str
    payload: bytes
