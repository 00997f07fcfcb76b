"""Budgets of one instance for the links between stores and upstreams."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

from banyanswitch.decisions.token_bucket import TokenBucket
from banyanswitch.decisions.upstream_pool import StoreView
from banyanswitch.identifiers import StoreId, WorkspaceId

ACCOUNTING_WINDOW_S: Final = 600.0
"""Window in which the use of a link stays within the declared share."""

WORKSPACE_BURST_S: Final = 60.0
"""Time for which a workspace can accumulate its share of a link."""

BACKGROUND_BURST_S: Final = 10.0
"""Time for which the background share of a link can accumulate."""

RATE_SMOOTHING: Final = 0.2
"""Weight of the latest transfer in the moving average of the rate."""

RATE_HALF_LIFE_S: Final = 60.0
"""Time in which the average rate moves half of the way back to the declared rate."""

MAX_QUEUE_S: Final = 5.0
"""Maximum expected time of this instance's unfinished transfers to start an export."""

DEFAULT_PIECE_SIZE_BYTES: Final = 256_000_000
MIN_RETRY_DELAY_S: Final = 2.0
MAX_RETRY_DELAY_S: Final = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkSettings:
    """Limits for the use of one link by one instance.

    Parameters
    ----------
    bytes_per_s : float
        Declared rate of the link, in bytes per second.
    background_share : float
        Share of the link for the exports and prefetches of the whole system.
    entries : int
        Number of entry instances among which the background share is divided.
    min_burst_bytes : int
        Minimum burst size of a budget, in bytes; the size of one piece.
    """

    store: StoreId
    bytes_per_s: float
    background_share: float
    entries: int = 1
    min_burst_bytes: int = DEFAULT_PIECE_SIZE_BYTES


class WorkspaceShare(Protocol):
    """Function that returns a workspace's share of each link through this instance."""

    def __call__(self, workspace: WorkspaceId) -> float:
        """Return the share, from 0 to 1."""


@dataclass(frozen=True, slots=True)
class _UnfinishedTransfer:
    size_bytes: int
    started_at_s: float


class LinkBudget:
    """Budget of one link, for each workspace and for background transfers.

    Parameters
    ----------
    workspace_share : WorkspaceShare
        Local share of a workspace: its limit divided by the number of entry
        instances that serve it.
    now_s : float
        Event loop time at the start, in seconds.
    """

    def __init__(
        self, settings: LinkSettings, workspace_share: WorkspaceShare, now_s: float
    ) -> None:
        self._settings = settings
        self._workspace_share = workspace_share
        self._workspaces: dict[WorkspaceId, TokenBucket] = {}
        share = settings.background_share / settings.entries
        rate = share * settings.bytes_per_s
        self._background = self._bucket(rate, BACKGROUND_BURST_S, now_s)
        self._observed_bytes_per_s = settings.bytes_per_s
        self._observed_at_s = now_s
        self._unfinished: list[_UnfinishedTransfer] = []
        self._unfinished_bytes = 0
        self._failures = 0
        self._retry_at_s = now_s

    def view(self, now_s: float) -> StoreView:
        """Return the expected state of this link for placement."""
        return StoreView(
            store=self._settings.store,
            bytes_per_s=self._expected_bytes_per_s(now_s),
            queued_bytes=self._unfinished_bytes,
            is_available=now_s >= self._retry_at_s,
        )

    def import_bytes(self, workspace: WorkspaceId, now_s: float) -> float:
        """Return the import budget of a workspace, in bytes."""
        return self._bucket_of(workspace, now_s).level(now_s)

    def export_bytes(self, workspace: WorkspaceId, now_s: float) -> float:
        """Return the export budget of a workspace, in bytes."""
        if now_s < self._retry_at_s:
            return 0.0
        queue_s = self._unfinished_bytes / self._expected_bytes_per_s(now_s)
        if queue_s > MAX_QUEUE_S:
            return 0.0
        return min(
            self._bucket_of(workspace, now_s).level(now_s),
            self._background.level(now_s),
        )

    def start_import(
        self, workspace: WorkspaceId, size_bytes: int, now_s: float
    ) -> bool:
        """Spend budget on an import and return ``True`` if there is enough.

        Otherwise the prefix must be recomputed.
        """
        if not self._bucket_of(workspace, now_s).try_spend(size_bytes, now_s):
            return False
        self._unfinished.append(_UnfinishedTransfer(size_bytes, now_s))
        self._unfinished_bytes += size_bytes
        return True

    def start_export(
        self, workspace: WorkspaceId, size_bytes: int, now_s: float
    ) -> bool:
        """Spend budget on an export or a prefetch and return ``True`` if enough."""
        if self.export_bytes(workspace, now_s) < size_bytes:
            return False
        self._background.try_spend(size_bytes, now_s)
        return self.start_import(workspace, size_bytes, now_s)

    def on_done(self, size_bytes: int, elapsed_s: float, now_s: float) -> None:
        """Record the end of a transfer, update the average rate and reset the failures.

        Time before the end of this instance's previous transfer does not count, so that
        concurrent transfers yield the rate of the link and not a part of it. With an
        ``elapsed_s`` of 0, the rate stays as it is.
        """
        self._failures = 0
        self._update_rate(size_bytes, elapsed_s, now_s)
        self._remove_unfinished(size_bytes)

    def on_cancelled(self, size_bytes: int, elapsed_s: float, now_s: float) -> None:
        """Update the average rate after a transfer that was cancelled as too slow."""
        self._update_rate(size_bytes, elapsed_s, now_s)
        self._remove_unfinished(size_bytes)

    def on_failed(self, size_bytes: int, now_s: float) -> None:
        """Avoid the store for a time that doubles with each consecutive failure."""
        self._remove_unfinished(size_bytes)
        wait_s = min(MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S * 2.0**self._failures)
        self._failures += 1
        self._retry_at_s = max(self._retry_at_s, now_s + wait_s)

    def _update_rate(self, size_bytes: int, elapsed_s: float, now_s: float) -> None:
        effective_s = min(elapsed_s, now_s - self._observed_at_s)
        if size_bytes <= 0 or effective_s <= 0:
            return
        rate = min(size_bytes / effective_s, self._settings.bytes_per_s)
        expected = self._recovered_bytes_per_s(now_s)
        self._observed_bytes_per_s = expected + RATE_SMOOTHING * (rate - expected)
        self._observed_at_s = now_s

    def _remove_unfinished(self, size_bytes: int) -> None:
        for index, transfer in enumerate(self._unfinished):
            if transfer.size_bytes == size_bytes:
                del self._unfinished[index]
                self._unfinished_bytes -= size_bytes
                return

    def _recovered_bytes_per_s(self, now_s: float) -> float:
        # A low rate can keep new transfers from being started. Without them, it would
        # never be corrected, so it moves back to the declared rate with time.
        age_s = max(0.0, now_s - self._observed_at_s)
        weight = 0.5 ** (age_s / RATE_HALF_LIFE_S)
        declared = self._settings.bytes_per_s
        return float(declared + weight * (self._observed_bytes_per_s - declared))

    def _expected_bytes_per_s(self, now_s: float) -> float:
        expected = self._recovered_bytes_per_s(now_s)
        if not self._unfinished:
            return expected
        # An overdue transfer indicates a slow link before it ends.
        first = self._unfinished[0]
        running_s = now_s - max(first.started_at_s, self._observed_at_s)
        if running_s * expected <= first.size_bytes:
            return expected
        return first.size_bytes / running_s

    def _bucket_of(self, workspace: WorkspaceId, now_s: float) -> TokenBucket:
        bucket = self._workspaces.get(workspace)
        if bucket is None:
            rate = self._workspace_share(workspace) * self._settings.bytes_per_s
            bucket = self._bucket(rate, WORKSPACE_BURST_S, now_s)
            self._workspaces[workspace] = bucket
        return bucket

    def _bucket(self, rate_per_s: float, burst_s: float, now_s: float) -> TokenBucket:
        # The burst counts against the window too, so it reduces the refill rate.
        window_bytes = rate_per_s * ACCOUNTING_WINDOW_S
        burst = max(rate_per_s * burst_s, self._settings.min_burst_bytes)
        burst = min(burst, window_bytes)
        refill = (window_bytes - burst) / ACCOUNTING_WINDOW_S
        return TokenBucket(refill, burst, now_s)


class LinkBudgets:
    """Budgets of all links of an instance, read by placement."""

    def __init__(self) -> None:
        self._budgets: dict[StoreId, LinkBudget] = {}

    def put(self, store: StoreId, budget: LinkBudget) -> None:
        """Add or replace the budget of a link."""
        self._budgets[store] = budget

    def get(self, store: StoreId) -> LinkBudget | None:
        """Return the budget of a link."""
        return self._budgets.get(store)

    def stores(self) -> tuple[StoreId, ...]:
        """Return the stores whose links have a budget."""
        return tuple(self._budgets)

    def import_bytes(
        self, store: StoreId, workspace: WorkspaceId, now_s: float
    ) -> float:
        """Return the import budget of a workspace for a store, in bytes."""
        budget = self._budgets.get(store)
        return budget.import_bytes(workspace, now_s) if budget is not None else 0.0


def equal_share(link_share: float, serving_entries: int) -> Callable[..., float]:
    """Return a function that gives each workspace the same share of a link."""
    share = link_share / serving_entries

    def share_of(workspace: WorkspaceId) -> float:
        return share

    return share_of
