"""Constants of the peer transport."""

from typing import Final

DOMAIN: Final = "peers"

SIGNATURE_PURPOSE: Final = b"peer-message"

MAX_MESSAGE_BYTES: Final = 1024 * 1024
"""Largest frame that is sent or received."""

MAX_DIALERS: Final = 512
"""Outgoing connections kept open; the least recently used is closed."""

SEND_BUFFER_MESSAGES: Final = 64
"""Messages that wait for a slow or absent peer before sending fails."""

RECEIVE_BUFFER_MESSAGES: Final = 512
"""Messages that wait for this process."""

RECEIVE_BATCH_MESSAGES: Final = 32
"""Messages delivered before other work of the loop gets its turn."""

RECONNECT_MIN_MS: Final = 100
RECONNECT_MAX_MS: Final = 5000

MAX_TRACKED_SENDERS: Final = 4096
"""Senders whose last sequence number is remembered."""

MILLISECONDS_PER_S: Final = 1000

MAX_DATAGRAM_BYTES: Final = 60 * 1024
"""Largest datagram that is sent; the protocol's own limit is just above."""

MAX_DIRECT_READERS: Final = 8
"""Up to so many instances read each source for themselves; a source of the users'
platform takes 12 readers at the least."""

BURST_BYTES: Final = 8 * 1024
"""Bytes of reports that are sent at once; those to eight instances fit. A report among
91 instances has 0.43 kB on average, and of 90 sent at once over 10 Mbit/s those to the
last instances were lost most."""

ENVELOPE_BYTES: Final = 150
"""Bytes of a datagram around the message: headers, signature, names."""
