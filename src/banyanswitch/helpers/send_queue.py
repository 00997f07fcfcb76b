"""Bytes of a connection that its peer has not acknowledged."""

import asyncio
import fcntl
import sys
import termios

COUNT_BYTES = 4


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Return the size of a connection's write buffer and of the kernel's send queue.

    The kernel counts bytes until the peer has acknowledged them (``SIOCOUTQ``, which
    Linux defines as ``TIOCOUTQ``). The queue of a transport without an open socket
    counts as empty.
    """
    buffered = transport.get_write_buffer_size()
    raw = transport.get_extra_info("socket")
    if raw is None:
        return buffered
    try:
        count = fcntl.ioctl(raw.fileno(), termios.TIOCOUTQ, bytes(COUNT_BYTES))
    except (OSError, ValueError):
        return buffered
    return buffered + int.from_bytes(count, sys.byteorder)
