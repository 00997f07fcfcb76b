"""Last load report of each upstream."""

from collections.abc import Callable
from dataclasses import replace

from banyanswitch.components.upstream_load.const import (
    LEAVING_HOLD_S,
    REPORT_LIFETIME_S,
)
from banyanswitch.identifiers import UpstreamId, WeightVersion
from banyanswitch.interfaces import UpstreamLoad


class LoadTable:
    """Keep the newest report; leaving holds until a clearly later report ends it.

    Parameters
    ----------
    on_change : callable
        Called with the upstream when it begins or stops to leave or to load,
        and when it serves another weight version.
    """

    def __init__(self, on_change: Callable[[UpstreamId], None]) -> None:
        self._on_change = on_change
        self._loads: dict[UpstreamId, UpstreamLoad] = {}
        self._reports: dict[UpstreamId, UpstreamLoad] = {}
        self._leaving_at_s: dict[UpstreamId, float] = {}

    def get(self, upstream: UpstreamId) -> UpstreamLoad | None:
        """Return the last report, with a leaving state that still holds."""
        return self._loads.get(upstream)

    def reported(self, upstream: UpstreamId) -> UpstreamLoad | None:
        """Return the last report as the upstream gave it.

        Only this is passed on: a held leaving state that came back from others
        would hold for ever.
        """
        return self._reports.get(upstream)

    def is_accepting(self, upstream: UpstreamId, now_s: float) -> bool:
        """Return whether new work may go to the upstream."""
        load = self._loads.get(upstream)
        if load is None:
            return True
        if load.is_leaving:
            return False
        is_old = now_s - load.received_at_s > REPORT_LIFETIME_S
        return is_old or not load.is_loading

    def put(self, load: UpstreamLoad) -> None:
        """Take in a report."""
        known = self._loads.get(load.upstream)
        is_old = known is not None and load.received_at_s < known.received_at_s
        if is_old and not load.is_leaving:
            return
        if load.is_leaving:
            last_s = self._leaving_at_s.get(load.upstream, load.received_at_s)
            self._leaving_at_s[load.upstream] = max(last_s, load.received_at_s)
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
