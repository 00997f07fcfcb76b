"""Cached contents of all stores, and plans of what to fetch and save."""

import asyncio
from collections.abc import Callable, Container, Sequence
from dataclasses import dataclass, replace

from banyanswitch.components.forwarding.loads import LoadTracker
from banyanswitch.components.forwarding.models import KvStoreNode, PromptPart
from banyanswitch.components.forwarding.protocols import PartStoreClient
from banyanswitch.components.kv_tier.const import (
    PENDING_SAVE_LIFETIME_S,
    PERMIT_LIFETIME_S,
)
from banyanswitch.components.kv_tier.fetch_permit import FetchPermit
from banyanswitch.components.kv_tier.models import (
    Missed,
    PartKey,
    RelayedEvents,
    StoreList,
)
from banyanswitch.components.kv_tier.store_follower import StoreFollower
from banyanswitch.components.peers.reader_assignment import ReaderAssignment
from banyanswitch.core import callback
from banyanswitch.decisions.fetch_floor import FetchFloor
from banyanswitch.decisions.fetch_limit import (
    FETCH_TIMEOUT_S,
    FetchEvidence,
    fetch_limit_s,
)
from banyanswitch.decisions.part_stores import (
    MAX_TRANSFER_S,
    StoreView,
    choose_store,
    rounded_tokens,
    transfer_s,
)
from banyanswitch.decisions.pending_saves import PendingSaves
from banyanswitch.helpers.remote_clock import RemoteClock
from banyanswitch.helpers.suspension import SuspensionWatch
from banyanswitch.identifiers import StoreId


@dataclass(frozen=True, slots=True)
class Save:
    """A part that is about to be saved to a store."""

    key: PartKey
    store: StoreId
    tokens: int


@dataclass(frozen=True, slots=True)
class PartPlan:
    """Fetches and saves for one prompt; no save is pending until the plan is sent.

    Parameters
    ----------
    fetches : tuple of str
        Address to fetch each part from; an empty string for none.
    saves : tuple of str
        Store address to save each part to; an empty string for none.
    stored_tokens : int
        Tokens of the parts that are fetched from stores.
    planned_saves : tuple of Save
        Saves that become pending when the plan is sent.
    fetch_limit_s : float
        Time within which the fetches have to end, in seconds.
    """

    fetches: tuple[str, ...] = ()
    saves: tuple[str, ...] = ()
    stored_tokens: int = 0
    planned_saves: tuple[Save, ...] = ()
    fetch_limit_s: float = FETCH_TIMEOUT_S

    def with_source(self, address: str) -> "PartPlan":
        """Return the plan with a source for the shared parts that no store provides."""
        if not self.fetches:
            return self
        shared = [known or address for known in self.fetches[:-1]]
        return replace(self, fetches=(*shared, self.fetches[-1]))


class PartTier:
    """Plan transfers from the contents of all stores, which are tracked by events.

    Parameters
    ----------
    client : PartStoreClient
        Makes the calls.
    newest_version : callable
        Returns the target weight version of a model, or ``None``.
    watch : SuspensionWatch
        Reports suspensions of the machine, after which cached state may be outdated.
    loads : LoadTracker
        Tokens of the fetches in progress at each store.
    readers : ReaderAssignment
        Decides whether this instance reads a store itself.

    Attributes
    ----------
    permit : FetchPermit
        Permission to fetch parts of older weights.
    targets_confirmed_at_s : callable
        Returns the loop time at which the store last confirmed the target weights.
    hears_most : callable
        Returns whether most instances have just reported to this one.
    """

    def __init__(
        self,
        client: PartStoreClient,
        newest_version: Callable[[str], int | None],
        watch: SuspensionWatch,
        loads: LoadTracker,
        readers: ReaderAssignment,
    ) -> None:
        self._loads = loads
        self._readers = readers
        self._watch = watch
        self._fetches_resume_at_s = float("-inf")
        self.permit = FetchPermit(watch)
        self.targets_confirmed_at_s: Callable[[], float] = lambda: float("-inf")
        self.hears_most: Callable[[], bool] = lambda: False
        watch.subscribe(self._suspend_fetches)
        self._client = client
        self._newest_version = newest_version
        self._stores: dict[StoreId, StoreFollower] = {}
        self._tasks: dict[StoreId, asyncio.Task[None]] = {}
        self._pending = PendingSaves[PartKey, StoreId](PENDING_SAVE_LIFETIME_S)
        self._floors: dict[str, FetchFloor] = {}
        self._clock = RemoteClock()

    @property
    def stores(self) -> tuple[StoreFollower, ...]:
        """All stores of the configuration."""
        return tuple(self._stores.values())

    @callback
    def set_stores(self, nodes: Sequence[KvStoreNode]) -> None:
        """Follow the stores of a new configuration, and drop all others."""
        wanted = {node.name: node for node in nodes}
        for name in tuple(self._stores):
            if wanted.get(name) != self._stores[name].node:
                self._tasks.pop(name).cancel()
                del self._stores[name]
        for name, node in wanted.items():
            if name not in self._stores:
                follower = StoreFollower(
                    node,
                    self._client,
                    self._readers,
                    self._note_stored,
                    self.note_clock,
                )
                self._stores[name] = follower
                self._tasks[name] = asyncio.get_running_loop().create_task(
                    follower.async_run(), name=f"kv_store_{name}"
                )

    @callback
    def stop(self) -> None:
        """Stop following all stores."""
        for task in self._tasks.values():
            task.cancel()

    @callback
    def clock_ms(self) -> int | None:
        """Return the upstreams' current clock time in milliseconds, if known."""
        return self._clock.read_ms(_now_s())

    @callback
    def note_floor(self, model: str, floor: FetchFloor) -> None:
        """Record a model's fetch floor, unless a higher one is known.

        A lease holder that was paused may announce an older floor.
        """
        self._floors[model] = max(floor, self.floor(model))

    @callback
    def plan(
        self,
        parts: Sequence[PromptPart],
        salt: str,
        model: str,
        version: int | None,
        token_bytes: int,
    ) -> PartPlan:
        """Return what to fetch and save for a prompt, whose last part is not shared."""
        if not self._stores or version is None:
            return PartPlan()
        self._watch.check()
        newest = self._newest_version(model)
        is_newest = newest is None or version >= newest
        limit_s = self._fetch_limit_s(is_newest)
        floor = self.floor(model)
        self._pending.drop_expired(_now_s())
        # The same for all parts, since the saves of this plan are not pending yet.
        views = [(found, self._view(found)) for found in self._stores.values()]
        readable = [(view, found.parts) for found, view in views if found.is_usable]
        writable = [view for found, view in views if found.may_save]
        fetches: list[str] = []
        saves: list[str] = []
        planned_saves: list[Save] = []
        stored_tokens = 0
        for part in parts[:-1]:
            key = (salt, part.name)
            source = None
            if limit_s > 0.0 and floor.allows(version, part.name):
                source = _fastest_store(readable, key, part.tokens, token_bytes)
            fetches.append(self._stores[source].node.address if source else "")
            stored_tokens += part.tokens if source else 0
            is_missing = is_newest and not any(key in held for _, held in readable)
            save = self._choose_save(key, part.tokens, writable) if is_missing else None
            saves.append(self._stores[save.store].node.address if save else "")
            planned_saves += [save] if save else []
        return PartPlan(
            (*fetches, ""),
            (*saves, ""),
            stored_tokens,
            tuple(planned_saves),
            limit_s or FETCH_TIMEOUT_S,
        )

    @callback
    def mark_saves_pending(self, plan: PartPlan) -> None:
        """Record that a plan is being sent, so that its saves are not planned again."""
        now_s = _now_s()
        for save in plan.planned_saves:
            self._pending.add(save.key, save.store, save.tokens, now_s)

    @property
    def floors(self) -> dict[str, FetchFloor]:
        """Latest fetch floor of each model."""
        return self._floors

    @callback
    def floor(self, model: str) -> FetchFloor:
        """Return the latest fetch floor of a model."""
        return self._floors.get(model, FetchFloor())

    def _suspend_fetches(self) -> None:
        """Fetch nothing until reports of other instances had time to arrive."""
        now_s = _now_s()
        self._fetches_resume_at_s = now_s + PERMIT_LIFETIME_S
        self.permit.withdraw(now_s)
        for follower in self._stores.values():
            follower.distrust(self._fetches_resume_at_s)

    def _fetch_limit_s(self, is_newest: bool) -> float:
        """Return how long a fetch planned now may take; 0 if it may not be planned.

        For parts of older weights, reports of instances other than the holder don't
        show that the floors are up to date: all of these instances may be cut off from
        the holder.
        """
        now_s = _now_s()
        permit_left_s = self.permit.left_s(now_s)
        if now_s < self._fetches_resume_at_s:
            return 0.0
        return fetch_limit_s(
            FetchEvidence(
                is_newest=is_newest,
                permit_left_s=permit_left_s,
                targets_age_s=now_s - self.targets_confirmed_at_s(),
                hears_most=is_newest and permit_left_s <= 0.0 and self.hears_most(),
            )
        )

    def _view(self, follower: StoreFollower) -> StoreView:
        node = follower.node
        return StoreView(
            name=node.name,
            capacity_tokens=node.capacity_tokens,
            used_tokens=follower.used_tokens + self._pending.tokens(node.name),
            first_byte_s=node.first_byte_s,
            bandwidth_mbps=node.bandwidth_mbps,
            queued_tokens=self._loads.fetching_tokens(node.address, _now_s()),
        )

    def _choose_save(
        self, key: PartKey, tokens: int, views: Sequence[StoreView]
    ) -> Save | None:
        if self._pending.is_pending(key):
            return None
        name = choose_store(key[1], tokens, views) if views else None
        return Save(key, name, rounded_tokens(tokens)) if name is not None else None

    @callback
    def drain_unsent(self) -> dict[str, RelayedEvents]:
        """Return the events to relay that were read since the last call, by store."""
        return {
            name: follower.drain_unsent()
            for name, follower in self._stores.items()
            if follower.is_relaying()
        }

    @callback
    def apply_relayed(self, name: StoreId, relayed: RelayedEvents) -> Missed:
        """Apply relayed events of a store; return what was missed before them."""
        follower = self._stores.get(name)
        return Missed.NOTHING if follower is None else follower.apply_relayed(relayed)

    @callback
    def part_list(self, name: StoreId) -> StoreList | None:
        """Return the list of all parts of a store, if this instance knows it."""
        follower = self._stores.get(name)
        return follower.part_list() if follower is not None else None

    @callback
    def apply_list(self, name: StoreId, part_list: StoreList) -> None:
        """Apply another instance's list of all parts of a store."""
        follower = self._stores.get(name)
        if follower is not None:
            follower.apply_list(part_list)

    @callback
    def note_clock(self, clock_ms: int) -> None:
        """Record a reading of the upstreams' clock, in milliseconds."""
        self._clock.note(clock_ms, _now_s())

    def _note_stored(self, key: PartKey) -> None:
        self._pending.discard(key)


def _fastest_store(
    readable: Sequence[tuple[StoreView, Container[PartKey]]],
    key: PartKey,
    tokens: int,
    token_bytes: int,
) -> StoreId | None:
    """Return the store with the shortest transfer of a part.

    ``None`` means that no store has the part, or that all transfers take too long.

    Parameters
    ----------
    readable : sequence of tuple
        Stores that may be read, with the parts that each holds.
    """
    times_s = [
        (transfer_s(view, tokens, token_bytes), view.name)
        for view, held in readable
        if key in held
    ]
    soonest_s, name = min(times_s, default=(MAX_TRANSFER_S, None))
    return None if soonest_s >= MAX_TRANSFER_S else name


def _now_s() -> float:
    return asyncio.get_running_loop().time()
