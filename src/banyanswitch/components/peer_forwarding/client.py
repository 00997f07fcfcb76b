"""Passing on of requests through an instance that reaches their upstream."""

import asyncio
from dataclasses import replace

from banyanswitch.components.forwarding.const import ONCE_MAX_IDLE_S
from banyanswitch.components.forwarding.protocols import RequestTranslator
from banyanswitch.components.forwarding.request_context import RequestContext
from banyanswitch.components.forwarding.response_notes import ResponseNotes
from banyanswitch.components.forwarding.response_relay import (
    ResponseBody,
    ResponseRelay,
)
from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.http1.models import ResponseHead, header_value
from banyanswitch.components.http1.upstream_connection import UpstreamConnection
from banyanswitch.components.peer_forwarding.const import DECLINED, HEADER_REFUSAL
from banyanswitch.components.peer_forwarding.signed_header import (
    PassedOn,
    encode_header,
)
from banyanswitch.components.peer_forwarding.source_header import (
    decode_source,
    without_source,
)
from banyanswitch.components.upstream_links.peer_links import PeerLinkTable
from banyanswitch.decisions.upstream_links import PeerLinks
from banyanswitch.exceptions import (
    NotRunError,
    UpstreamBrokenError,
    UpstreamNotSentError,
)
from banyanswitch.helpers.signing import SigningKeys
from banyanswitch.identifiers import InstanceId, UpstreamId

FIRST_UNKNOWN_OUTCOME_STATUS = 500
STATUS_UNAVAILABLE = 503


class PeerForwarder:
    """Let another instance handle a request, and relay its response to the caller.

    The other instance places the request itself. It makes the attempts that remain and
    passes the request on to no third instance.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    peers : PeerLinkTable
        The other instances.
    pool : ConnectionPool
        Connections to them.
    keys : SigningKeys
        Keys that all instances know.
    notes : ResponseNotes
        Records what the responses say of their upstreams.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        translator: RequestTranslator,
        peers: PeerLinkTable,
        pool: ConnectionPool,
        keys: SigningKeys,
        notes: ResponseNotes,
    ) -> None:
        self._notes = notes
        self._instance = instance
        self._translator = translator
        self._peers = peers
        self._pool = pool
        self._keys = keys

    async def async_serve(
        self,
        context: RequestContext,
        upstream: UpstreamId,
        *,
        earlier_attempts: int,
    ) -> tuple[InstanceId, int]:
        """Serve a caller through an instance that reaches an upstream.

        Parameters
        ----------
        earlier_attempts : int
            Attempts of the request at upstreams so far.

        Returns
        -------
        instance : InstanceId
            The other instance.
        status : int
            Status of the response.

        Raises
        ------
        UpstreamNotSentError
            If no instance reaches the upstream, or the chosen one did not take the
            request; no upstream received it.
        NotRunError
            If the other instance refused the request, which was not run.
        UpstreamBrokenError
            If it is unknown whether the request has run.
        """
        peer = self._peers.choose(upstream)
        if peer is None:
            raise UpstreamNotSentError(f"no instance reaches {upstream}")
        with self._peers.passing_on(peer.instance):
            return peer.instance, await self._async_serve(
                context, peer, earlier_attempts
            )

    async def _async_serve(
        self,
        context: RequestContext,
        peer: PeerLinks,
        earlier_attempts: int,
    ) -> int:
        try:
            connection = await self._pool.async_acquire(
                peer.address, max_idle_s=ONCE_MAX_IDLE_S
            )
        except UpstreamNotSentError:
            self._peers.note_declined(peer.instance)
            raise
        is_released = False
        try:
            sent_at_s = asyncio.get_running_loop().time()
            connection.send(
                self._encode(context, earlier_attempts),
                is_head_only=context.request.method == b"HEAD",
            )
            head = await connection.async_head()
            await self._async_check_refusal(connection, head, peer)
            head = self._note_source(context, head, sent_at_s)
            relay = ResponseRelay(
                reply=context.reply,
                progress=context.progress,
                is_streaming=context.route.is_streaming,
                translator=self._translator,
                # The other instance notes the origin of the stream.
                on_first_events=lambda: None,
            )
            body = ResponseBody(connection, None)
            await relay.async_relay(body, head, is_last=True)
            self._pool.release(peer.address, connection)
            is_released = True
            return head.status
        finally:
            if not is_released:
                self._pool.discard(peer.address, connection)

    def _encode(self, context: RequestContext, earlier_attempts: int) -> bytes:
        time_left_s = context.ends_at_s - asyncio.get_running_loop().time()
        passed_on = PassedOn(self._instance, earlier_attempts)
        resume_after = None
        if context.progress.has_started:
            resume_after = context.progress.splitter.last_id
        return self._translator.peer_request(
            context.request,
            time_left_s=time_left_s,
            resume_after=resume_after,
            more_headers=[encode_header(passed_on, context.request.target, self._keys)],
        )

    def _note_source(
        self, context: RequestContext, head: ResponseHead, sent_at_s: float
    ) -> ResponseHead:
        """Record what a response says of its upstream; return the caller's head."""
        source = decode_source(head.headers)
        head = replace(head, headers=without_source(head.headers))
        if source is not None:
            self._notes.note_relayed(
                *source, head, model=context.metadata.model, sent_at_s=sent_at_s
            )
        return head

    async def _async_check_refusal(
        self, connection: UpstreamConnection, head: ResponseHead, peer: PeerLinks
    ) -> None:
        refusal = header_value(head.headers, HEADER_REFUSAL.lower())
        if refusal is None:
            return
        reason = f"{peer.instance} refused the request: status {head.status}"
        is_unknown = head.status >= FIRST_UNKNOWN_OUTCOME_STATUS
        if is_unknown and head.status != STATUS_UNAVAILABLE:
            raise UpstreamBrokenError(reason)
        if refusal == DECLINED:
            self._peers.note_declined(peer.instance)
            raise UpstreamNotSentError(reason)
        response = self._translator.read_response_metadata(head)
        raise NotRunError(reason, retry_after_s=response.retry_after_s)
