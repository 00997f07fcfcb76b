"""Whether the peer of a connection has closed it, before the event loop tells."""

import asyncio
import socket


def has_peer_closed(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has closed a connection, or reset it.

    The event loop reports it only after all callbacks that are ready, which takes long
    in a process with too little processor time. Unread bytes before the end of the
    stream hide it, as does a transport without an open socket.
    """
    raw = transport.get_extra_info("socket")
    if raw is None or raw.fileno() < 0:
        return False
    # The transport's own object has no method to receive.
    peeking = socket.socket(raw.family, raw.type, raw.proto, fileno=raw.fileno())
    try:
        return not peeking.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        peeking.detach()
