"""Registry of the upstreams and their observed state."""

import asyncio
from dataclasses import dataclass, field

import structlog

from banyanswitch.components.forwarding.const import (
    LOADING_NOTICE_TTL_S,
    MAX_CONTACT_AGE_S,
    MAX_DROPPED_UPSTREAMS,
    MAX_ENTRY_AGE_S,
    MAX_MISDIRECTED_COOLDOWN_S,
    MISSING_ENTRY_GRACE_S,
    REFUSAL_COOLDOWN_S,
    REPLACED_COOLDOWN_S,
    SILENCE_TIMEOUT_S,
    VERSION_HISTORY_S,
)
from banyanswitch.components.forwarding.loads import LoadTracker
from banyanswitch.components.forwarding.models import UpstreamRecord
from banyanswitch.components.forwarding.protocols import DocumentDecoder
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.components.upstream_limits.coordinator import UpstreamLimits
from banyanswitch.components.upstream_notices.coordinator import UpstreamNotices
from banyanswitch.components.upstream_slowness.coordinator import UpstreamSlowness
from banyanswitch.core import callback
from banyanswitch.decisions.ejection import Ejector
from banyanswitch.decisions.observed_weights import (
    KnownWeights,
    WeightObservation,
    updated_weights,
)
from banyanswitch.decisions.upstream_notices import ResponseNotice
from banyanswitch.helpers.store_version import era_of
from banyanswitch.identifiers import FailureDomainId, ServiceName, UpstreamId
from banyanswitch.interfaces import Item

LOGGER = structlog.get_logger(__name__)


@dataclass(slots=True)
class UpstreamState:
    """Registration and observed state of an upstream.

    Parameters
    ----------
    weight_versions : dict of str to int
        Present weight version of each model, as far as it is known.
    last_received_at_s : float
        Loop time of the last response head, or of the upstream's addition.
    entry_read_at_s : float
        Loop time at which its entry was last read.
    loading_until_s : float
        Loop time until which it is considered to be loading weights.
    expires_at_s : float or None
        Loop time at which it is removed, if its entry is missing.
    replaced_until_s : float
        Loop time until which its address is considered to belong to another
        upstream, or the upstream to have left.
    cooldown_until_s : float
        Loop time until which it gets no requests that others can take, after a
        refusal.
    misdirected : int
        Number of requests in a row that it refused as not meant for it, for an unknown
        reason.
    has_refused : bool
        Whether it refused the last request that it has answered.
    known_weights : dict of str to KnownWeights
        Evidence of each weight version.
    """

    record: UpstreamRecord
    weight_versions: dict[str, int]
    last_received_at_s: float
    entry_read_at_s: float
    loading_until_s: float = 0.0
    loading_version: int = 0
    expires_at_s: float | None = None
    replaced_until_s: float = 0.0
    cooldown_until_s: float = 0.0
    misdirected: int = 0
    has_refused: bool = False
    known_weights: dict[str, KnownWeights] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Dropped:
    """Last known entry of a dropped upstream.

    Parameters
    ----------
    order : tuple of int
        Order of the entry among all of its upstream.
    revision : int
        Version of the copy of the table when the upstream was dropped.
    """

    order: tuple[int, int]
    revision: int


class UpstreamRegistry:
    """Registry of the upstreams by service.

    Its sources are the upstreams' entries in the store, their responses and the reports
    of other instances.

    Parameters
    ----------
    mirror : TableMirror
        Local copy of the table of entries.
    decoder : DocumentDecoder
        Decodes entries.
    loads : LoadTracker
        Load by requests in flight.
    ejector : Ejector
        Ejects failing upstreams.
    limits : UpstreamLimits
        Limits that upstreams name.
    notices : UpstreamNotices
        Rests and departures that upstreams announce.
    slowness : UpstreamSlowness
        Slowness that upstreams report.
    """

    def __init__(
        self,
        mirror: TableMirror,
        decoder: DocumentDecoder,
        loads: LoadTracker,
        ejector: Ejector,
        limits: UpstreamLimits,
        *,
        notices: UpstreamNotices,
        slowness: UpstreamSlowness,
    ) -> None:
        self._mirror = mirror
        self._decoder = decoder
        self.loads = loads
        self.ejector = ejector
        self.limits = limits
        self.notices = notices
        self.slowness = slowness
        self._states: dict[UpstreamId, UpstreamState] = {}
        self._by_service: dict[ServiceName, list[UpstreamId]] = {}
        self._dropped: dict[UpstreamId, _Dropped] = {}
        self._version_left_at_s: dict[tuple[ServiceName, str], float] = {}
        self._first_read_at_s: float | None = None
        mirror.subscribe(self._on_rows)

    @property
    def gap_at_s(self) -> float:
        """Loop time at which this instance last may have missed an upstream that left.

        It is minus infinity before the first such time.
        """
        return self._mirror.gap_at_s

    @property
    def first_read_at_s(self) -> float | None:
        """Loop time at which the entries were first read; ``None`` before."""
        return self._first_read_at_s

    @property
    def followed_since_s(self) -> float | None:
        """Loop time since which no entry was missed; ``None`` before the first read."""
        if self._first_read_at_s is None:
            return None
        return max(self._first_read_at_s, self.gap_at_s)

    @callback
    def is_followed(self) -> bool:
        """Return whether the store has just answered a read of the entries."""
        now_s = asyncio.get_running_loop().time()
        return now_s - self._mirror.last_contact_s <= MAX_CONTACT_AGE_S

    @callback
    def is_settled(self, now_s: float) -> bool:
        """Return whether lost entries had time to be written again."""
        return now_s >= self._mirror.regained_at_s + MISSING_ENTRY_GRACE_S

    @callback
    def state(self, upstream: UpstreamId) -> UpstreamState | None:
        """Return the state of an upstream."""
        return self._states.get(upstream)

    @callback
    def of_service(self, service: ServiceName) -> list[UpstreamState]:
        """Return the registered upstreams of a service."""
        names = self._by_service.get(service, ())
        return [self._states[name] for name in names]

    @callback
    def note_notice_at(self, address: str, notice: ResponseNotice) -> None:
        """Record what a response from an address says of its upstream."""
        for state in self._states.values():
            if state.record.address == address:
                self.notices.note_response(state.record, notice)

    @callback
    def software_versions(self, service: ServiceName, since_s: float) -> frozenset[str]:
        """Return the software versions that a service has, or had after ``since_s``.

        ``since_s`` is at most `VERSION_HISTORY_S` ago.
        """
        present = {state.record.software_version for state in self.of_service(service)}
        left = {
            version
            for (name, version), left_at_s in self._version_left_at_s.items()
            if name == service and left_at_s >= since_s
        }
        return frozenset(present | left)

    @callback
    def serving_model(self, model: str) -> list[UpstreamState]:
        """Return the upstreams that serve a model."""
        return [s for s in self._states.values() if model in s.weight_versions]

    @callback
    def models(self) -> set[str]:
        """Return the models that any upstream serves."""
        return {model for s in self._states.values() for model in s.weight_versions}

    @callback
    def accepting(self, service: ServiceName, now_s: float) -> list[UpstreamState]:
        """Return the upstreams of a service that may get new requests."""
        return [
            state
            for state in self.of_service(service)
            if not state.record.is_leaving
            and not self.notices.is_leaving(state.record)
            and now_s >= state.loading_until_s
            and now_s >= state.replaced_until_s
            and (state.expires_at_s is None or now_s < state.expires_at_s)
        ]

    @callback
    def health(self, state: UpstreamState, now_s: float) -> float:
        """Return the share of its normal load that an upstream may get, 0 to 1."""
        if now_s < state.cooldown_until_s:
            return 0.0
        waiting_since_s = self.loads.oldest_unanswered_at_s(state.record.name)
        if waiting_since_s is not None:
            silent_since_s = max(waiting_since_s, state.last_received_at_s)
            if now_s - silent_since_s > SILENCE_TIMEOUT_S:
                return 0.0
        return self.ejector.weight(state.record.name, now_s)

    @callback
    def note_returned(self, domain: FailureDomainId) -> None:
        """Take the upstreams of a failure domain for cold until their next entries."""
        now_s = asyncio.get_running_loop().time()
        for state in self._states.values():
            if state.record.failure_domain == domain:
                self.limits.cold.assume_cold(state.record, now_s)

    @callback
    def note_received(self, upstream: UpstreamId, now_s: float) -> None:
        """Record that a response head was received from an upstream."""
        state = self._states.get(upstream)
        if state is not None:
            state.last_received_at_s = now_s

    @callback
    def note_weights(
        self,
        upstream: UpstreamId,
        model: str,
        version: int,
        *,
        begun_at_s: float = float("-inf"),
    ) -> bool:
        """Record the weight version in a response or a report.

        Parameters
        ----------
        begun_at_s : float
            Loop time after which the upstream had this version, for example when the
            request was sent; minus infinity if it is not known.

        Returns
        -------
        has_fallen : bool
            Whether the known version has become lower.
        """
        state = self._states.get(upstream)
        if state is None:
            return False
        now_s = asyncio.get_running_loop().time()
        before = state.weight_versions.get(model)
        known = updated_weights(
            state.known_weights.get(model),
            WeightObservation(version, begun_at_s, now_s),
        )
        state.known_weights[model] = known
        if known.version == before:
            return False
        state.weight_versions[model] = known.version
        if known.version >= state.loading_version:
            state.loading_until_s = 0.0
        LOGGER.info(
            "upstream_weights",
            upstream=upstream,
            model=model,
            version=known.version,
            replaced=before,
            has_fallen=known.has_fallen,
        )
        return known.has_fallen

    @callback
    def note_loading(self, upstream: UpstreamId, version: int, now_s: float) -> None:
        """Record that an upstream is loading weights or about to load them."""
        state = self._states.get(upstream)
        if state is None:
            return
        if version <= max(state.weight_versions.values(), default=0):
            return
        if state.loading_until_s <= now_s:
            LOGGER.info("upstream_loading", upstream=upstream, version=version)
        state.loading_version = version
        state.loading_until_s = now_s + LOADING_NOTICE_TTL_S

    @callback
    def note_refused(
        self, upstream: UpstreamId, now_s: float, *, is_misdirected: bool = False
    ) -> None:
        """Record that an upstream refused a request without running it.

        Parameters
        ----------
        is_misdirected : bool
            Whether the request was not meant for it, for a reason that this instance
            doesn't know. Other than a full queue, that doesn't pass by itself.
        """
        state = self._states.get(upstream)
        if state is None:
            return
        state.has_refused = True
        cooldown_s = REFUSAL_COOLDOWN_S
        if is_misdirected:
            cooldown_s = min(
                MAX_MISDIRECTED_COOLDOWN_S, cooldown_s * 2**state.misdirected
            )
            state.misdirected += 1
        state.cooldown_until_s = now_s + cooldown_s

    @callback
    def note_ran(self, upstream: UpstreamId) -> None:
        """Record that an upstream did not refuse a request."""
        state = self._states.get(upstream)
        if state is not None:
            state.has_refused = False
            state.misdirected = 0

    @callback
    def note_replaced(self, upstream: UpstreamId, now_s: float) -> None:
        """Record that another upstream responds at this one's address.

        The entry of a stopped upstream remains for some heartbeats; until then, the
        upstream would still get requests.
        """
        state = self._states.get(upstream)
        if state is None:
            return
        if now_s >= state.replaced_until_s:
            LOGGER.info("upstream_replaced", upstream=upstream)
        state.replaced_until_s = now_s + REPLACED_COOLDOWN_S

    @callback
    def end_loading(self, upstream: UpstreamId) -> None:
        """Record that an upstream no longer loads weights."""
        state = self._states.get(upstream)
        if state is not None:
            state.loading_until_s = 0.0

    @callback
    def loading(self, now_s: float) -> dict[str, int]:
        """Return the version that each loading upstream loads."""
        return {
            name: state.loading_version
            for name, state in self._states.items()
            if now_s < state.loading_until_s
        }

    @callback
    def remove_expired(self, now_s: float) -> None:
        """Remove the upstreams whose missing entries were not restored in time."""
        for name, state in tuple(self._states.items()):
            if state.expires_at_s is not None and now_s >= state.expires_at_s:
                self._drop(name, "entry_lapsed")

    @callback
    def confirm_entries(self, now_s: float) -> None:
        """Believe entries that still contradict the known weights some time later.

        Upstreams write their entries again only if something has changed.
        """
        if not self._mirror.is_connected or not self.is_settled(now_s):
            return
        for state in self._states.values():
            versions = state.record.weight_versions
            if state.expires_at_s is None and versions != state.weight_versions:
                self._note_entry_weights(state.record, now_s - MAX_ENTRY_AGE_S)

    def _on_rows(self, changed: tuple[Item, ...], removed: tuple[str, ...]) -> None:
        now_s = asyncio.get_running_loop().time()
        if self._first_read_at_s is None:
            self._first_read_at_s = now_s
        for item in changed:
            self._on_entry(item, now_s)
        for key in removed:
            self._on_removed(UpstreamId(_row_key(key)), now_s)
        self._rebuild_index()

    def _on_entry(self, item: Item, now_s: float) -> None:
        key = _row_key(item.key)
        record = self._decoder.upstream(key, item.value)
        known = self._states.get(UpstreamId(key))
        if record is None:
            if known is not None:
                self._drop(known.record.name, "entry_unusable")
            return
        if known is not None and _order(record) < _order(known.record):
            # An earlier start, or the store has returned from an older copy.
            LOGGER.info(
                "entry_outdated",
                upstream=key,
                started_at_ms=record.started_at_ms,
                sequence=record.sequence,
            )
            return
        self.limits.cold.note_entry(record, now_s)
        if known is not None and _version_key(known.record) != _version_key(record):
            self._note_version_left(known.record, now_s)
        if known is None or record.started_at_ms > known.record.started_at_ms:
            self.ejector.forget(record.name)
            if known is not None:
                self.limits.cold.forget(known.record)
            state = UpstreamState(record, {}, now_s, now_s)
            if self._may_have_left(record, item.revision):
                state.replaced_until_s = now_s + MISSING_ENTRY_GRACE_S
                LOGGER.info("upstream_reappeared", upstream=key, revision=item.revision)
            self._states[record.name] = state
            LOGGER.info("upstream_joined", upstream=key, revision=item.revision)
            self._note_entry_weights(record, float("-inf"))
            return
        if record.address != known.record.address:
            known.replaced_until_s = 0.0
        if record.is_leaving and not known.record.is_leaving:
            LOGGER.info("upstream_leaving", upstream=key, revision=item.revision)
        is_later = _order(record) > _order(known.record)
        known.record = record
        known.entry_read_at_s = now_s
        known.expires_at_s = None
        written_s = now_s - MAX_ENTRY_AGE_S if is_later else float("-inf")
        self._note_entry_weights(record, written_s)

    def _note_entry_weights(self, record: UpstreamRecord, written_s: float) -> None:
        for model, version in record.weight_versions.items():
            self.note_weights(record.name, model, version, begun_at_s=written_s)

    def _may_have_left(self, record: UpstreamRecord, revision: int) -> bool:
        """Return whether an entry may only be back because the store lost its removal.

        Removals are written again soon after the store's return from an older copy.
        """
        dropped = self._dropped.get(record.name)
        if dropped is None or era_of(revision) <= era_of(dropped.revision):
            return False
        return _order(record) <= dropped.order

    def _on_removed(self, name: UpstreamId, now_s: float) -> None:
        state = self._states.get(name)
        if state is None:
            return
        expires_at_s = self._store_regained_at_s(now_s) + MISSING_ENTRY_GRACE_S
        if now_s >= expires_at_s or state.record.is_leaving:
            self._drop(name, "entry_removed")
            return
        state.expires_at_s = expires_at_s
        LOGGER.info(
            "upstream_entry_missing",
            upstream=name,
            kept_for_s=round(expires_at_s - now_s, 3),
        )

    def _store_regained_at_s(self, now_s: float) -> float:
        """Return the loop time of the store's last return, as seen by this instance.

        It is minus infinity without an outage, and the current time during one.
        """
        if self._mirror.last_failure_s > self._mirror.regained_at_s:
            return now_s
        return self._mirror.regained_at_s

    def _drop(self, name: UpstreamId, reason: str) -> None:
        state = self._states.pop(name, None)
        if state is not None:
            now_s = asyncio.get_running_loop().time()
            self._note_version_left(state.record, now_s)
            self.limits.cold.forget(state.record)
            self._dropped.pop(name, None)
            self._dropped[name] = _Dropped(
                _order(state.record), self._mirror.content_version
            )
            if len(self._dropped) > MAX_DROPPED_UPSTREAMS:
                del self._dropped[next(iter(self._dropped))]
        self.ejector.forget(name)
        self._rebuild_index()
        LOGGER.info("upstream_gone", upstream=name, reason=reason)

    def _note_version_left(self, record: UpstreamRecord, now_s: float) -> None:
        oldest_s = now_s - VERSION_HISTORY_S
        self._version_left_at_s = {
            key: left_at_s
            for key, left_at_s in self._version_left_at_s.items()
            if left_at_s >= oldest_s
        }
        self._version_left_at_s[_version_key(record)] = now_s

    def _rebuild_index(self) -> None:
        self._by_service = {}
        for name in sorted(self._states):
            service = self._states[name].record.service
            self._by_service.setdefault(service, []).append(name)


def _order(record: UpstreamRecord) -> tuple[int, int]:
    """Return the order of an entry among all entries of its upstream."""
    return record.started_at_ms, record.sequence


def _version_key(record: UpstreamRecord) -> tuple[ServiceName, str]:
    return record.service, record.software_version


def _row_key(key: str) -> str:
    return key.partition("/")[2]
