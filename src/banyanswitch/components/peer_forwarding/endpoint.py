"""Requests that other instances pass on through this one."""

from dataclasses import replace
from http import HTTPStatus
from typing import Protocol

import structlog

from banyanswitch.components.http1.models import Request
from banyanswitch.components.http1.reply import Reply
from banyanswitch.components.peer_forwarding.const import (
    DECLINED,
    FINAL,
    HEADER_PASSED_ON,
    HEADER_REFUSAL,
    MAX_PASSED_ON_REQUESTS,
)
from banyanswitch.components.peer_forwarding.signed_header import decode_header
from banyanswitch.components.peer_forwarding.source_header import encode_source
from banyanswitch.core import callback
from banyanswitch.helpers.signing import SigningKeys

LOGGER = structlog.get_logger(__name__)


class PassedOnHandler(Protocol):
    """Handler of requests that other instances pass on."""

    async def async_handle(
        self, request: Request, reply: Reply, *, earlier_attempts: int | None = None
    ) -> None:
        """Handle a request after a number of attempts at the other instance."""


class PeerRequestEndpoint:
    """Handle the requests of other instances like those of callers.

    Parameters
    ----------
    handler : PassedOnHandler
        Handles the requests.
    keys : SigningKeys
        Keys that all instances know.
    max_requests : int
        Number of requests that are handled at a time; others are declined.
    """

    def __init__(
        self,
        handler: PassedOnHandler,
        keys: SigningKeys,
        max_requests: int = MAX_PASSED_ON_REQUESTS,
    ) -> None:
        self._handler = handler
        self._keys = keys
        self._max_requests = max_requests
        self._in_progress = 0

    async def async_handle(self, request: Request, reply: Reply) -> None:
        """Handle one request."""
        passed_on = decode_header(request, self._keys)
        if passed_on is None:
            LOGGER.warning("passed_on_request_unsigned")
            reply.send(HTTPStatus.FORBIDDEN, (), b"")
            return
        reply.refusal_headers = _refusal_headers
        reply.source_headers = encode_source
        if self._in_progress >= self._max_requests:
            LOGGER.info("passed_on_request_declined", instance=passed_on.instance)
            reply.refuse(HTTPStatus.SERVICE_UNAVAILABLE, (), is_declined=True)
            return
        headers = tuple(
            header
            for header in request.headers
            if header[0].lower() != HEADER_PASSED_ON.lower()
        )
        self._in_progress += 1
        try:
            await self._handler.async_handle(
                replace(request, headers=headers),
                reply,
                earlier_attempts=passed_on.earlier_attempts,
            )
        finally:
            self._in_progress -= 1


@callback
def _refusal_headers(is_declined: bool) -> tuple[tuple[bytes, bytes], ...]:
    return ((HEADER_REFUSAL, DECLINED if is_declined else FINAL),)
