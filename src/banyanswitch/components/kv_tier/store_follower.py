"""Belief of what one store keeps, by its own events or by its readers' word."""

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
    READER_SHARE,
    RELAY_READERS,
    RELAY_SILENCE_S,
    RETRY_S,
    ROLE_CHECK_S,
)
from banyanswitch.components.kv_tier.models import (
    Missed,
    PartKey,
    RelayedEvents,
    StoreList,
    group_parts,
    part_events,
)
from banyanswitch.components.peers.reader_choice import ReaderChoice
from banyanswitch.core import callback
from banyanswitch.decisions.part_stores import rounded_tokens
from banyanswitch.exceptions import UpstreamError

LOGGER = structlog.get_logger(__name__)


class StoreFollower:
    """One store as last heard of.

    A store answers only some event calls at once. Of many instances a few read it
    and pass on what they hear; the others miss nothing, or ask a
    reader for its whole list.

    Parameters
    ----------
    node : KvStoreNode
        The store.
    client : PartStoreClient
        Makes the calls.
    readers : ReaderChoice
        Says whether this instance reads the store itself.
    on_kept : callable
        Is told of each part that is complete.
    on_clock : callable
        Is told the upstreams' clock, in milliseconds.
    """

    def __init__(
        self,
        node: KvStoreNode,
        client: PartStoreClient,
        readers: ReaderChoice,
        on_kept: Callable[[PartKey], None],
        on_clock: Callable[[int], None],
    ) -> None:
        self.node = node
        self._client = client
        self._readers = readers
        self._on_kept = on_kept
        self._on_clock = on_clock
        self.epoch: int | None = None
        self.is_usable = False
        self.used_tokens = 0
        self.parts: dict[PartKey, int] = {}
        self._next_event = 0
        self._heard_at_s = float("-inf")
        # Tokens of each part that changed since `_unsent_since`, which all have heard.
        # Kept also while this instance does not pass it on: it may be chosen next.
        self._unsent: dict[PartKey, int] = {}
        self._unsent_since = 0

    async def async_run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            if not self._is_reading():
                self._drop_if_silent()
                await asyncio.sleep(ROLE_CHECK_S)
                continue
            try:
                await self._async_read()
            except UpstreamError as error:
                if self.is_usable:
                    LOGGER.warning(
                        "kv_store_lost", store=self.node.name, reason=str(error)
                    )
                self.is_usable = False
                await asyncio.sleep(RETRY_S)

    @callback
    def forget(self, keys: Iterable[PartKey]) -> None:
        """Take in that parts were freed; the events of some are lost."""
        for key in keys:
            tokens = self.parts.pop(key, None)
            if tokens is not None:
                self.used_tokens -= rounded_tokens(tokens)

    @callback
    def is_relaying(self) -> bool:
        """Return whether other instances depend on what this one reads."""
        is_relayed = self._readers.is_relayed(self._direct_readers())
        return is_relayed and self.is_usable and self._is_reading()

    @callback
    def take_unsent(self) -> RelayedEvents:
        """Return what was read since the last call."""
        changed, since = self._unsent, self._unsent_since
        if len(changed) > MAX_RELAYED_EVENTS:
            changed, since = {}, self._next_event
        word = RelayedEvents(
            epoch=self.epoch or 0,
            since=since,
            next_event=self._next_event,
            parts=group_parts(changed.items()),
        )
        self._clear_unsent()
        return word

    @callback
    def take_relayed(self, word: RelayedEvents) -> Missed:
        """Take in a reader's word; return what was missed before it."""
        if self._is_reading():
            return Missed.NOTHING
        if self.epoch != word.epoch:
            # While the present epoch is heard, another one is that of a reader that
            # has not noticed the restart yet, or was paused.
            is_silent = _now_s() - self._heard_at_s >= EVENTS_WAIT_S
            return Missed.RESTART if is_silent else Missed.NOTHING
        if word.since > self._next_event:
            return Missed.EVENTS
        if word.next_event >= self._next_event:
            self._next_event = word.next_event
            self._apply(part_events(word.parts))
            self._clear_unsent()
        self._note_heard()
        return Missed.NOTHING

    @callback
    def listed(self) -> StoreList | None:
        """Return all parts, if they are known."""
        if not self.is_usable or self.epoch is None:
            return None
        parts = group_parts(self.parts.items())
        return StoreList(self.epoch, self._next_event, parts)

    @callback
    def take_list(self, listed: StoreList) -> None:
        """Take in another instance's list of all parts."""
        is_older = listed.next_event < self._next_event
        if self._is_reading() or (listed.epoch == self.epoch and is_older):
            return
        self._restart(listed.epoch, listed.next_event, part_events(listed.parts))

    async def _async_read(self) -> None:
        address = self.node.address
        if self.epoch is None:
            answer = await self._client.async_list(address)
            self._restart(answer.epoch, answer.next_event, answer.events)
            self._take_clock(answer)
            return
        answer = await self._client.async_events(
            address, self._next_event, EVENTS_WAIT_S
        )
        if answer.epoch != self.epoch or answer.has_gap:
            LOGGER.info("kv_store_resync", store=self.node.name, epoch=answer.epoch)
            self.is_usable = False
            self.epoch = None
            return
        self._next_event = answer.next_event
        self._take_clock(answer)
        self._apply(answer.events)
        self._note_heard()
        if not self._readers.is_relayed(self._direct_readers()):
            self._clear_unsent()

    def _take_clock(self, answer: PartEvents) -> None:
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
        event = "kv_store_listed" if self.is_usable else "kv_store_regained"
        LOGGER.info(event, store=self.node.name, parts=len(self.parts))
        self._note_heard()

    def _apply(self, events: Iterable[PartEvent]) -> None:
        for event in events:
            key = (event.salt, event.part)
            # The count says how much is kept now; nothing is kept of a lost part.
            tokens = event.tokens if event.is_stored else 0
            self._unsent[key] = tokens
            before = self.parts.pop(key, None)
            if before is not None:
                self.used_tokens -= rounded_tokens(before)
            if tokens > 0:
                self.parts[key] = tokens
                self.used_tokens += rounded_tokens(tokens)
                self._on_kept(key)

    def _clear_unsent(self) -> None:
        self._unsent.clear()
        self._unsent_since = self._next_event

    def _note_heard(self) -> None:
        self._heard_at_s = _now_s()
        self.is_usable = True

    def _drop_if_silent(self) -> None:
        if not self.is_usable or _now_s() - self._heard_at_s < RELAY_SILENCE_S:
            return
        self.is_usable = False
        LOGGER.warning(
            "kv_store_lost", store=self.node.name, reason="its readers are silent"
        )

    def _is_reading(self) -> bool:
        direct = self._direct_readers()
        readers = max(1, min(RELAY_READERS, direct))
        return self._readers.is_reader(f"store/{self.node.name}", readers, direct)

    def _direct_readers(self) -> int:
        """Return up to how many instances all read the store themselves."""
        return int(READER_SHARE * self.node.max_event_readers)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
