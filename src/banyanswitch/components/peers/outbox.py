"""Queue through which callbacks send messages without waiting."""

import asyncio
from dataclasses import dataclass

import structlog

from banyanswitch.core import callback
from banyanswitch.exceptions import PeerError
from banyanswitch.interfaces import PeerTransport

MAX_QUEUED_MESSAGES = 2048

LOGGER = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class _Outgoing:
    peer_address: str
    message: object


class Outbox:
    """Send queued messages in order; those that fail are logged and dropped.

    Parameters
    ----------
    transport : PeerTransport
        Carries the messages.
    """

    def __init__(self, transport: PeerTransport) -> None:
        self._transport = transport
        self._queue: asyncio.Queue[_Outgoing] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self.dropped_messages = 0

    @callback
    def send(self, peer_address: str, message: object) -> None:
        """Queue a message; it is dropped if the queue is full."""
        if self._queue.full():
            self.dropped_messages += 1
            return
        self._queue.put_nowait(_Outgoing(peer_address, message))

    async def async_run(self) -> None:
        """Send queued messages until cancelled."""
        while True:
            outgoing = await self._queue.get()
            try:
                await self._transport.async_send(
                    outgoing.peer_address, outgoing.message
                )
            except PeerError as error:
                self.dropped_messages += 1
                LOGGER.debug("peer_message_not_sent", reason=str(error))
