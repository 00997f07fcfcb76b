"""Table of the last load report of each upstream."""

from collections.abc import Callable
from dataclasses import replace

from banyanswitch.components.upstream_load.const import (
    LEAVING_HOLD_S,
    REPORT_LIFETIME_S,
)
from banyanswitch.identifiers import UpstreamId, WeightVersion
from banyanswitch.interfaces import UpstreamLoad


class LoadTable:
    """Store the newest load report of each upstream.

    A leaving state persists until a report without it that is at least
    ``LEAVING_HOLD_S`` later than the last report with it.

    Parameters
    ----------
    on_change : callable
        Called with the upstream on its first report and when its leaving state,
        loading state or weight version changes.
    """

    def __init__(self, on_change: Callable[[UpstreamId], None]) -> None:
        self._on_change = on_change
        self._loads: dict[UpstreamId, UpstreamLoad] = {}
        self._reports: dict[UpstreamId, UpstreamLoad] = {}
        self._leaving_at_s: dict[UpstreamId, float] = {}

    def get(self, upstream: UpstreamId) -> UpstreamLoad | None:
        """Return the last report with the persisted leaving state applied."""
        return self._loads.get(upstream)

    def reported(self, upstream: UpstreamId) -> UpstreamLoad | None:
        """Return the last report without the persisted leaving state.

        Digests contain only this report. If they contained the persisted leaving
        state, instances would renew it for one another and it would never expire.
        """
        return self._reports.get(upstream)

    def is_accepting(self, upstream: UpstreamId, now_s: float) -> bool:
        """Return whether new requests may be sent to the upstream.

        A loading state expires after ``REPORT_LIFETIME_S``; a leaving state does not.
        """
        load = self._loads.get(upstream)
        if load is None:
            return True
        if load.is_leaving:
            return False
        is_outdated = now_s - load.received_at_s > REPORT_LIFETIME_S
        return is_outdated or not load.is_loading

    def put(self, load: UpstreamLoad) -> None:
        """Store a report.

        A report older than the stored one is ignored unless it has the leaving state.
        """
        known = self._loads.get(load.upstream)
        is_outdated = known is not None and load.received_at_s < known.received_at_s
        if is_outdated and not load.is_leaving:
            return
        if load.is_leaving:
            last_leaving_at_s = self._leaving_at_s.get(
                load.upstream, load.received_at_s
            )
            self._leaving_at_s[load.upstream] = max(
                last_leaving_at_s, load.received_at_s
            )
        self._reports[load.upstream] = load
        is_leaving = self._is_leaving(load)
        is_same = load.is_leaving == is_leaving
        stored = load if is_same else replace(load, is_leaving=is_leaving)
        self._loads[load.upstream] = stored
        if known is None or _state(known) != _state(stored):
            self._on_change(load.upstream)

    def _is_leaving(self, load: UpstreamLoad) -> bool:
        leaving_at_s = self._leaving_at_s.get(load.upstream)
        if leaving_at_s is None:
            return False
        if load.is_leaving or load.received_at_s < leaving_at_s + LEAVING_HOLD_S:
            return True
        del self._leaving_at_s[load.upstream]
        return False


def _state(load: UpstreamLoad) -> tuple[bool, bool, WeightVersion | None]:
    return load.is_leaving, load.is_loading, load.weight_version
