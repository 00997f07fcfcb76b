"""What the responses to requests say of the upstreams that gave them."""

import asyncio
from collections.abc import Callable

import structlog

from banyanswitch.components.forwarding.models import (
    ResponseMetadata,
    UpstreamRecord,
)
from banyanswitch.components.forwarding.protocols import RequestTranslator
from banyanswitch.components.forwarding.upstream_registry import UpstreamRegistry
from banyanswitch.components.http1.models import ResponseHead
from banyanswitch.core import callback
from banyanswitch.decisions.upstream_notices import ResponseNotice
from banyanswitch.identifiers import UpstreamId

LOGGER = structlog.get_logger(__name__)


class ResponseNotes:
    """Record what responses say, also those that another instance relays.

    Parameters
    ----------
    translator : RequestTranslator
        Reads the headers.
    registry : UpstreamRegistry
        Observed state of the upstreams.

    Attributes
    ----------
    on_fallen : callable
        Called with an upstream, a model, the lower weight version that a response has
        shown, and the loop time at which its request was sent.
    """

    def __init__(
        self, translator: RequestTranslator, registry: UpstreamRegistry
    ) -> None:
        self._translator = translator
        self._registry = registry
        self.on_fallen: Callable[[UpstreamId, str, int, float], None] = lambda *_: None
        self._loop = asyncio.get_running_loop()

    @callback
    def note(
        self,
        record: UpstreamRecord,
        head: ResponseHead,
        *,
        model: str | None,
        sent_at_s: float,
    ) -> ResponseMetadata:
        """Record a response from an upstream's address, and return its metadata.

        Another upstream may have responded there; nothing it says is about this one.

        Parameters
        ----------
        sent_at_s : float
            Loop time at which the request was sent.
        """
        response = self._translator.read_response_metadata(head)
        if response.answered_by not in (None, record.name):
            return response
        self._registry.slowness.note_response(
            record.name, response.slowness, self._loop.time()
        )
        self._registry.limits.note_response(record, response.limit_per_s, sent_at_s)
        self._registry.notices.note_response(
            record,
            ResponseNotice(
                status=head.status,
                retry_after_s=response.retry_after_s,
                is_leaving=response.is_leaving,
            ),
        )
        version = response.weight_version
        if model is not None and version is not None:
            has_fallen = self._registry.note_weights(
                record.name, model, version, begun_at_s=sent_at_s
            )
            if has_fallen:
                self.on_fallen(record.name, model, version, sent_at_s)
        return response

    @callback
    def note_relayed(
        self,
        upstream: UpstreamId,
        started_at_ms: int,
        head: ResponseHead,
        *,
        model: str | None,
        sent_at_s: float,
    ) -> None:
        """Record a response that another instance relays from a start of an upstream.

        An upstream, or a start, that no entry names is ignored.
        """
        state = self._registry.state(upstream)
        if state is None or state.record.started_at_ms != started_at_ms:
            LOGGER.info(
                "relayed_response_of_unknown_upstream",
                upstream=upstream,
                started_at_ms=started_at_ms,
            )
            return
        self.note(state.record, head, model=model, sent_at_s=sent_at_s)
