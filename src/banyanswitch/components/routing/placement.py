"""Placement of requests: version pinning, upstream choice and load accounting."""

import asyncio
import random
from dataclasses import replace

import xxhash

from banyanswitch.components.admission.const import (
    BATCH_FIRST_TOKEN_LIMIT_S,
    MIN_PREFILL_TOKENS_PER_S,
)
from banyanswitch.components.routing.calls import AdmissionTicket, ModelCall
from banyanswitch.components.routing.const import NONCE_BITS
from banyanswitch.components.routing.models import Attempt, UpstreamsBusyError
from banyanswitch.components.routing.pools import UpstreamPools
from banyanswitch.config.models import Priority, Service, Workspace
from banyanswitch.const import BYTES_PER_TOKEN
from banyanswitch.decisions.cache_view import CacheView
from banyanswitch.decisions.link_budget import LinkBudgets
from banyanswitch.decisions.placement import (
    Place,
    PlacementRequest,
    Placer,
    Refuse,
    RefuseReason,
)
from banyanswitch.decisions.prefix import cache_salt, chained_piece_hashes
from banyanswitch.exceptions import RefusalError
from banyanswitch.helpers.run_identity import RunIdentity, RunIdentityCodec
from banyanswitch.identifiers import (
    PrefixHash,
    RunId,
    UpstreamId,
    WeightVersion,
)
from banyanswitch.interfaces import ConfigurationView

UNPLACED_RUN = RunId("")
NO_VERSION = WeightVersion("")
CONVERSATION_KEY_BYTES = 1024


class AttemptPlacer:
    """Make attempts from placement decisions.

    Parameters
    ----------
    configuration : ConfigurationView
        Source of the upstream URLs.
    pools : UpstreamPools
        Upstreams of each service.
    identities : RunIdentityCodec
        Encodes run identifiers.
    generator : random.Random
        Source of all random choices.
    """

    def __init__(
        self,
        configuration: ConfigurationView,
        pools: UpstreamPools,
        identities: RunIdentityCodec,
        generator: random.Random,
    ) -> None:
        self.cache_view = CacheView()
        self.links = LinkBudgets()
        self._configuration = configuration
        self._pools = pools
        self._identities = identities
        self._generator = generator
        self._placer = Placer(self.cache_view, generator, links=self.links)

    def model_request(self, call: ModelCall, now_s: float) -> PlacementRequest:
        """Pin the weight version of a call and return its placement request."""
        self._pools.track_service(call.service, now_s)
        version = self._pools.serving_version(call.service, _conversation_key(call))
        return PlacementRequest(
            run=UNPLACED_RUN,
            workspace=call.workspace.name,
            service=call.service.name,
            weight_version=version,
            piece_hashes=_piece_hashes(call, version),
            prompt_tokens=call.prompt_tokens,
            piece_tokens=call.service.piece_tokens,
            priority=call.priority,
            deadline_s=now_s + _first_token_limit_s(call),
            reuse=call.service.reuse,
            has_waited=call.ticket is not None and call.ticket.has_waited,
        )

    def plain_request(
        self, workspace: Workspace, service: Service, now_s: float
    ) -> PlacementRequest:
        """Return the placement request of a call of a plain service."""
        self._pools.track_service(service, now_s)
        return PlacementRequest(
            run=UNPLACED_RUN,
            workspace=workspace.name,
            service=service.name,
            weight_version=None,
        )

    async def async_attempt(
        self,
        request: PlacementRequest,
        excluded: frozenset[UpstreamId],
        ticket: AdmissionTicket | None,
    ) -> Attempt:
        """Choose an upstream and add the request to its load.

        While all upstreams are full, a request with a ticket waits in the admission
        queue.

        Raises
        ------
        RefusalError
            If no upstream can serve the request in time.
        """
        loop = asyncio.get_running_loop()
        while True:
            try:
                return self._attempt(request, excluded, loop.time())
            except UpstreamsBusyError as busy:
                if ticket is None:
                    raise _overloaded_refusal(busy.retry_after_s) from busy
            await ticket.async_requeue()
            request = replace(request, has_waited=True)

    def _attempt(
        self, request: PlacementRequest, excluded: frozenset[UpstreamId], now_s: float
    ) -> Attempt:
        restricted = replace(request, excluded=excluded)
        decision = self._placer.place(restricted, self._pools.pool, now_s)
        if isinstance(decision, Refuse):
            raise _refusal_error(decision)
        upstream = self._configuration.upstream(decision.upstream)
        if upstream is None:
            raise RefusalError(
                "no_upstream", "the upstream was removed", status=503, retry_after_s=1.0
            )
        identity = RunIdentity(
            upstream=decision.upstream,
            service=request.service,
            workspace=request.workspace,
            weight_version=request.weight_version or NO_VERSION,
            nonce=self._generator.getrandbits(NONCE_BITS),
        )
        run_id = self._identities.encode(identity)
        place = replace(decision, run=run_id)
        self._placer.on_sent(place, now_s)
        placed_request = replace(restricted, run=run_id)
        return Attempt(
            run_id, identity, place, placed_request, upstream.url.rstrip("/")
        )

    def note_first_token(self, place: Place, now_s: float) -> None:
        """Record that the prefill of an attempt is done and its pieces are cached."""
        self._placer.on_first_token(place, now_s)

    def note_finished(self, place: Place, now_s: float) -> None:
        """Record that an attempt has ended, whatever its outcome."""
        self._placer.on_finished(place, now_s)


def _first_token_limit_s(call: ModelCall) -> float:
    """Return the maximum time to first token, including the call's own prefill."""
    target_s = BATCH_FIRST_TOKEN_LIMIT_S
    if call.priority is Priority.INTERACTIVE:
        target_s = call.service.first_token_target_s
    return target_s + call.prompt_tokens / MIN_PREFILL_TOKENS_PER_S


def _conversation_key(call: ModelCall) -> str:
    """Return a key of the conversation, from the start of the prompt.

    The key stays the same while the conversation grows, once the prompt has at least
    `CONVERSATION_KEY_BYTES`.
    """
    start = call.prompt[:CONVERSATION_KEY_BYTES]
    return f"{call.workspace.name}:{xxhash.xxh3_64_hexdigest(start)}"


def _piece_hashes(
    call: ModelCall, version: WeightVersion | None
) -> tuple[PrefixHash, ...]:
    if version is None:
        return ()
    salt = cache_salt(call.workspace.name, version)
    piece_bytes = call.service.piece_tokens * BYTES_PER_TOKEN
    return chained_piece_hashes(call.prompt, piece_bytes, salt)


def _overloaded_refusal(retry_after_s: float) -> RefusalError:
    return RefusalError(
        "overloaded",
        "all upstreams are busy",
        status=429,
        retry_after_s=retry_after_s,
    )


def _refusal_error(refuse: Refuse) -> Exception:
    if refuse.reason is RefuseReason.BUSY:
        return UpstreamsBusyError(refuse.retry_after_s)
    return RefusalError(
        refuse.reason.value,
        "no upstream can answer this request in time",
        status=503,
        retry_after_s=refuse.retry_after_s,
    )
