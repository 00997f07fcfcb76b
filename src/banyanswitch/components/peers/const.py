"""Constants of the peer transport."""

from typing import Final

DOMAIN: Final = "peers"

SIGNATURE_PURPOSE: Final = b"peer-message"

MAX_MESSAGE_BYTES: Final = 1024 * 1024
"""Largest frame that is sent or received."""

MAX_DIALERS: Final = 512
"""Outgoing connections kept open; the least recently used is closed."""

SEND_BUFFER_MESSAGES: Final = 64
"""Messages buffered for a slow or unreachable peer before sending fails."""

RECEIVE_BUFFER_MESSAGES: Final = 512
"""Received messages buffered for this process."""

RECEIVE_BATCH_MESSAGES: Final = 32
"""Messages delivered before the event loop runs other work."""

RECONNECT_MIN_MS: Final = 100
RECONNECT_MAX_MS: Final = 5000

MAX_TRACKED_SENDERS: Final = 4096
"""Senders whose last sequence number is stored."""

MILLISECONDS_PER_S: Final = 1000

MAX_DATAGRAM_BYTES: Final = 60 * 1024
"""Largest datagram that is sent; the limit of the protocol is slightly higher."""

MAX_DIRECT_READERS: Final = 8
"""Number of instances up to which each one reads every source itself.

A source of the users' platform accepts at least 12 readers.
"""

BURST_BYTES: Final = 8 * 1024
"""Bytes of a broadcast that are sent at once; reports to eight instances fit.

A report among 91 instances has 0.43 kB on average. Of 90 reports sent at once over
10 Mbit/s, those to the last instances were lost most often.
"""

ENVELOPE_BYTES: Final = 150
"""Bytes of a datagram in addition to the message: headers, signature, names."""
