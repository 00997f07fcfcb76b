"""Fakes of a KV store with two tiers and of its network link."""

from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from banyanswitch.decisions.reuse_models import StoreSpace, StoreTier
from banyanswitch.identifiers import FailureDomainId, PrefixHash, StoreId
from bench.decisions.simulator import Simulator

ERROR_DELAY_S = 0.05


@dataclass(slots=True, eq=False)
class Transfer:
    """Transfer that is queued or in progress on a link."""

    remaining_bytes: float
    started_at_s: float
    on_done: Callable[[float], None]
    on_failed: Callable[[], None]


@dataclass(slots=True, eq=False)
class Link:
    """Link with a bandwidth that sends chunks of imports before those of exports.

    Parameters
    ----------
    usage : list of tuple
        Time, size in bytes and whether it was an export, for each chunk sent.
    """

    simulator: Simulator
    bytes_per_s: float
    chunk_bytes: int
    import_bytes: float = 0.0
    export_bytes: float = 0.0
    is_up: bool = True
    usage: list[tuple[float, float, bool]] = field(default_factory=list)
    _imports: deque[Transfer] = field(default_factory=deque)
    _exports: deque[Transfer] = field(default_factory=deque)
    _is_busy: bool = False

    def transfer(
        self,
        size_bytes: int,
        *,
        is_export: bool,
        on_done: Callable[[float], None],
        on_failed: Callable[[], None],
    ) -> Transfer:
        """Queue a transfer.

        Parameters
        ----------
        on_done : callable
            Called at the end of the transfer with its duration, in seconds.
        on_failed : callable
            Called if the link fails or is down.
        """
        item = Transfer(size_bytes, self.simulator.now_s, on_done, on_failed)
        if not self.is_up:
            self.simulator.call_later(ERROR_DELAY_S, on_failed)
            return item
        (self._exports if is_export else self._imports).append(item)
        self._start_next_chunk()
        return item

    def cancel(self, item: Transfer) -> bool:
        """Cancel a transfer; return false if it has already ended."""
        for queue in (self._imports, self._exports):
            if item in queue:
                queue.remove(item)
                return True
        return False

    def fail(self) -> None:
        """Take the link down and fail all transfers."""
        self.is_up = False
        lost = [*self._imports, *self._exports]
        self._imports.clear()
        self._exports.clear()
        for item in lost:
            item.on_failed()

    def _start_next_chunk(self) -> None:
        queue = self._imports or self._exports
        if self._is_busy or not queue:
            return
        item = queue[0]
        size_bytes = min(item.remaining_bytes, self.chunk_bytes)
        self._is_busy = True
        is_export = queue is self._exports
        self.simulator.call_later(
            size_bytes / self.bytes_per_s,
            lambda: self._chunk_done(item, size_bytes, is_export),
        )

    def _chunk_done(self, item: Transfer, size_bytes: float, is_export: bool) -> None:
        self._is_busy = False
        now_s = self.simulator.now_s
        queue = self._exports if is_export else self._imports
        self.usage.append((now_s, size_bytes, is_export))
        item.remaining_bytes -= size_bytes
        if item in queue and item.remaining_bytes <= 0:
            queue.remove(item)
            item.on_done(now_s - item.started_at_s)
        self._start_next_chunk()


@dataclass(slots=True, eq=False)
class Store:
    """KV store that keeps pieces in memory and on disk."""

    name: StoreId
    failure_domain: FailureDomainId
    link: Link
    memory_bytes: int
    disk_bytes: int
    piece_size_bytes: int
    is_alive: bool = True
    _memory: OrderedDict[PrefixHash, None] = field(default_factory=OrderedDict)
    _disk: OrderedDict[PrefixHash, None] = field(default_factory=OrderedDict)
    _reference_counts: dict[PrefixHash, int] = field(default_factory=dict)
    _manifests: dict[str, tuple[PrefixHash, ...]] = field(default_factory=dict)

    def space(self) -> StoreSpace:
        """Return the free space."""
        size = self.piece_size_bytes
        return StoreSpace(
            store=self.name,
            failure_domain=self.failure_domain,
            memory_free_bytes=self.memory_bytes - len(self._memory) * size,
            disk_free_bytes=self.disk_bytes - len(self._disk) * size,
        )

    @property
    def free_bytes(self) -> int:
        """Free space of both tiers, in bytes."""
        space = self.space()
        return space.memory_free_bytes + space.disk_free_bytes

    def put(self, manifest: str, pieces: Sequence[PrefixHash], tier: StoreTier) -> bool:
        """Store all pieces under a manifest.

        Return false and store none if they do not fit or the store has failed.
        """
        new = [piece for piece in pieces if piece not in self._reference_counts]
        if not self.is_alive or len(new) * self.piece_size_bytes > self.free_bytes:
            return False
        for piece in pieces:
            self._reference_counts[piece] = self._reference_counts.get(piece, 0) + 1
        for piece in new:
            self._place(piece, tier)
        self._manifests[manifest] = tuple(pieces)
        return True

    def delete(self, manifest: str) -> None:
        """Delete a manifest and the pieces that no other manifest lists."""
        for piece in self._manifests.pop(manifest, ()):
            self._reference_counts[piece] -= 1
            if self._reference_counts[piece]:
                continue
            del self._reference_counts[piece]
            self._memory.pop(piece, None)
            self._disk.pop(piece, None)

    def read(self, manifest: str, count: int) -> tuple[PrefixHash, ...] | None:
        """Return leading pieces of a manifest, or ``None`` if it is not available."""
        if not self.is_alive:
            return None
        pieces = self._manifests.get(manifest)
        return pieces[:count] if pieces is not None else None

    def fail(self) -> None:
        """Stop serving and lose all content."""
        self.is_alive = False
        self._memory.clear()
        self._disk.clear()
        self._reference_counts.clear()
        self._manifests.clear()
        self.link.fail()

    def recover(self) -> None:
        """Resume serving without content."""
        self.is_alive = True
        self.link.is_up = True

    def _place(self, piece: PrefixHash, tier: StoreTier) -> None:
        size = self.piece_size_bytes
        space = self.space()
        if tier is StoreTier.DISK and space.disk_free_bytes >= size:
            self._disk[piece] = None
            return
        self._memory[piece] = None
        if len(self._memory) * size > self.memory_bytes:
            oldest, _ = self._memory.popitem(last=False)
            self._disk[oldest] = None
