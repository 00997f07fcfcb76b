"""Cached contents of one store, from its own events or from relayed ones."""

import asyncio
from collections.abc import Callable, Iterable

import structlog

from banyanswitch.components.forwarding.models import KvStoreNode
from banyanswitch.components.forwarding.protocols import (
    PartEvent,
    PartEvents,
    PartStoreClient,
)
from banyanswitch.components.kv_tier.const import (
    EVENTS_WAIT_S,
    MAX_RELAYED_EVENTS,
    MESSAGE_DELAY_S,
    READ_STALE_AFTER_S,
    READER_SHARE,
    RELAY_READERS,
    RELAY_STALE_AFTER_S,
    RETRY_DELAY_S,
    ROLE_CHECK_INTERVAL_S,
)
from banyanswitch.components.kv_tier.models import (
    Missed,
    PartKey,
    RelayedEvents,
    StoreList,
    group_parts,
    part_events,
)
from banyanswitch.components.peers.reader_assignment import ReaderAssignment
from banyanswitch.core import callback
from banyanswitch.decisions.fetch_limit import NEWEST_FETCH_TIMEOUT_S
from banyanswitch.decisions.part_stores import rounded_tokens
from banyanswitch.decisions.store_epochs import EpochOrder, StoreEpochs
from banyanswitch.exceptions import UpstreamError

LOGGER = structlog.get_logger(__name__)


class StoreFollower:
    """Contents of one store, tracked by its events.

    A store answers only a limited number of event calls at once. With many instances,
    only a few read the store and relay its events. The others apply the relayed events,
    or request the whole list from another instance if they missed some.

    Parameters
    ----------
    node : KvStoreNode
        The store.
    client : PartStoreClient
        Makes the calls.
    readers : ReaderAssignment
        Decides whether this instance reads the store itself.
    on_stored : callable
        Called with the key of each part that is completely stored.
    on_clock : callable
        Called with each reading of the upstreams' clock, in milliseconds.
    """

    def __init__(
        self,
        node: KvStoreNode,
        client: PartStoreClient,
        readers: ReaderAssignment,
        on_stored: Callable[[PartKey], None],
        on_clock: Callable[[int], None],
    ) -> None:
        self.node = node
        self._client = client
        self._readers = readers
        self._on_stored = on_stored
        self._on_clock = on_clock
        self.epoch: int | None = None
        self._epochs = StoreEpochs()
        self._is_listed = False
        self._trusted_from_s = float("-inf")
        self.used_tokens = 0
        self.parts: dict[PartKey, int] = {}
        self._next_event = 0
        self._updated_at_s = float("-inf")
        # Parts that changed since event `_unsent_since`, with the tokens stored now.
        # Earlier events were relayed to the other instances, or read by them. Also
        # maintained while this instance does not relay the store's events, since it may
        # be selected as a reader next.
        self._unsent: dict[PartKey, int] = {}
        self._unsent_since = 0

    @property
    def is_usable(self) -> bool:
        """Whether the contents are known and as recent as they have to be."""
        return self._is_listed and _now_s() - self._updated_at_s < self._stale_after_s()

    @property
    def may_save(self) -> bool:
        """Whether parts may be saved to the store.

        After a restart, that is when no instance can still fetch by the contents from
        before: when those have become stale, and the last fetches have ended.
        """
        delay_s = self._stale_after_s() + NEWEST_FETCH_TIMEOUT_S + MESSAGE_DELAY_S
        return self.is_usable and self._epochs.may_save(_now_s(), delay_s)

    @callback
    def distrust(self, until_s: float) -> None:
        """Use the contents again after an update at a loop time or later.

        Updates that arrived during a pause of the process are read only after it.
        """
        self._trusted_from_s = until_s
        self._updated_at_s = float("-inf")

    async def async_run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            if not self._is_reading():
                self._drop_if_stale()
                await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            try:
                await self._async_read()
            except UpstreamError as error:
                if self._is_listed:
                    LOGGER.warning(
                        "kv_store_lost", store=self.node.name, reason=str(error)
                    )
                self._is_listed = False
                await asyncio.sleep(RETRY_DELAY_S)

    @callback
    def remove_parts(self, keys: Iterable[PartKey]) -> None:
        """Remove freed parts without their events, since some of these are lost."""
        for key in keys:
            tokens = self.parts.pop(key, None)
            if tokens is not None:
                self.used_tokens -= rounded_tokens(tokens)

    @callback
    def is_relaying(self) -> bool:
        """Return whether this instance reads the store and relays its events."""
        is_relayed = self._readers.is_relayed(self._max_direct_readers())
        return is_relayed and self.is_usable and self._is_reading()

    @callback
    def drain_unsent(self) -> RelayedEvents:
        """Return the events since the last call.

        If more than `MAX_RELAYED_EVENTS` parts changed, the result contains none of
        them and reports the events as missed.
        """
        changed, since = self._unsent, self._unsent_since
        if len(changed) > MAX_RELAYED_EVENTS:
            changed, since = {}, self._next_event
        relayed = RelayedEvents(
            epoch=self.epoch or 0,
            since=since,
            next_event=self._next_event,
            parts=group_parts(changed.items()),
            age_s=max(0.0, _now_s() - self._updated_at_s),
            epoch_age_s=self._epochs.age_s(_now_s()),
        )
        self._clear_unsent()
        return relayed

    @callback
    def apply_relayed(self, relayed: RelayedEvents) -> Missed:
        """Apply relayed events; return what was missed before them."""
        if relayed.epoch_age_s is not None:
            self._epochs.note_age(relayed.epoch, relayed.epoch_age_s, _now_s())
        if self._is_reading():
            return Missed.NOTHING
        if self.epoch != relayed.epoch:
            return self._note_other_epoch(relayed)
        if relayed.since > self._next_event:
            return Missed.EVENTS
        if relayed.next_event >= self._next_event:
            self._next_event = relayed.next_event
            self._apply(part_events(relayed.parts))
            self._clear_unsent()
        self._note_update(relayed.age_s)
        return Missed.NOTHING

    @callback
    def part_list(self) -> StoreList | None:
        """Return the list of all parts, or ``None`` if it is not known."""
        if not self.is_usable or self.epoch is None:
            return None
        parts = group_parts(self.parts.items())
        age_s = max(0.0, _now_s() - self._updated_at_s)
        epoch_age_s = self._epochs.age_s(_now_s())
        return StoreList(self.epoch, self._next_event, parts, age_s, epoch_age_s)

    @callback
    def apply_list(self, part_list: StoreList) -> None:
        """Apply another instance's list of all parts.

        The list is ignored if this instance reads the store, or has applied later
        events of the same epoch or events of a later one.
        """
        is_older = part_list.next_event < self._next_event
        if self._is_reading() or (part_list.epoch == self.epoch and is_older):
            return
        order = self._epochs.order(part_list.epoch, part_list.epoch_age_s, _now_s())
        if order is EpochOrder.EARLIER:
            return
        self._epochs.begin(part_list.epoch, _now_s(), part_list.epoch_age_s or 0.0)
        self._restart(
            part_list.epoch, part_list.next_event, part_events(part_list.parts)
        )
        self._note_update(part_list.age_s)

    async def _async_read(self) -> None:
        address = self.node.address
        if self.epoch is None:
            answer = await self._client.async_list(address)
            self._epochs.begin(answer.epoch, _now_s(), has_parts=bool(answer.events))
            self._restart(answer.epoch, answer.next_event, answer.events)
            self._note_update()
            self._report_clock(answer)
            return
        answer = await self._client.async_events(
            address, self.epoch, self._next_event, EVENTS_WAIT_S
        )
        if answer.epoch != self.epoch or answer.has_gap:
            LOGGER.info("kv_store_resync", store=self.node.name, epoch=answer.epoch)
            self._is_listed = False
            self.epoch = None
            return
        self._next_event = answer.next_event
        self._report_clock(answer)
        self._apply(answer.events)
        self._note_update()
        if not self._readers.is_relayed(self._max_direct_readers()):
            self._clear_unsent()

    def _report_clock(self, answer: PartEvents) -> None:
        if answer.clock_ms is not None:
            self._on_clock(answer.clock_ms)

    def _restart(
        self, epoch: int, next_event: int, events: Iterable[PartEvent]
    ) -> None:
        self.epoch = epoch
        self._next_event = next_event
        self.parts.clear()
        self.used_tokens = 0
        self._apply(events)
        self._clear_unsent()
        event = "kv_store_listed" if self._is_listed else "kv_store_regained"
        LOGGER.info(
            event,
            store=self.node.name,
            parts=len(self.parts),
            epoch=epoch,
            epoch_age_s=round(self._epochs.age_s(_now_s()), 3),
        )
        self._is_listed = True

    def _apply(self, events: Iterable[PartEvent]) -> None:
        for event in events:
            key = (event.salt, event.part)
            # `tokens` is the amount stored now; nothing is stored of a removed part.
            tokens = event.tokens if event.is_stored else 0
            self._unsent[key] = tokens
            before = self.parts.pop(key, None)
            if before is not None:
                self.used_tokens -= rounded_tokens(before)
            if tokens > 0:
                self.parts[key] = tokens
                self.used_tokens += rounded_tokens(tokens)
                self._on_stored(key)

    def _clear_unsent(self) -> None:
        self._unsent.clear()
        self._unsent_since = self._next_event

    def _note_other_epoch(self, relayed: RelayedEvents) -> Missed:
        """Return what was missed if relayed events are of another epoch.

        If the epoch is a later one, the known contents are not used any more.
        """
        order = self._epochs.order(relayed.epoch, relayed.epoch_age_s, _now_s())
        if order is EpochOrder.EARLIER:
            return Missed.NOTHING
        if order is EpochOrder.LATER:
            self._is_listed = False
            return Missed.RESTART
        # A reader of an earlier version has possibly not detected the restart yet.
        is_stale = _now_s() - self._updated_at_s >= EVENTS_WAIT_S
        return Missed.RESTART if is_stale else Missed.NOTHING

    def _note_update(self, age_s: float = 0.0) -> None:
        """Record that the contents are those of ``age_s`` seconds ago."""
        now_s = _now_s()
        if now_s < self._trusted_from_s:
            return
        self._updated_at_s = max(self._updated_at_s, now_s - age_s)

    def _stale_after_s(self) -> float:
        if self._readers.is_relayed(self._max_direct_readers()):
            return RELAY_STALE_AFTER_S
        return READ_STALE_AFTER_S

    def _drop_if_stale(self) -> None:
        if not self._is_listed or self.is_usable:
            return
        self._is_listed = False
        LOGGER.warning(
            "kv_store_lost", store=self.node.name, reason="no events from its readers"
        )

    def _is_reading(self) -> bool:
        max_direct = self._max_direct_readers()
        readers = max(1, min(RELAY_READERS, max_direct))
        return self._readers.is_reader(f"store/{self.node.name}", readers, max_direct)

    def _max_direct_readers(self) -> int:
        """Return the number of instances up to which each one reads the store."""
        return int(READER_SHARE * self.node.max_event_readers)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
