"""Slowness that upstreams reported to this instance and to others."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from banyanswitch.core import callback
from banyanswitch.decisions.slowness import (
    LIFETIME_S,
    USUAL,
    SlownessReport,
    aged_slowness,
    bounded_slowness,
    is_usual,
    slowness_report,
)
from banyanswitch.identifiers import UpstreamId


@dataclass(slots=True)
class _Observation:
    slowness: float
    at_s: float


class UpstreamSlowness:
    """Keep the newest slowness that each upstream reported to any instance.

    One observation is kept per upstream, whichever instance made it, so neither memory
    nor the time of a look-up grows with the number of instances. The instances pass
    their own observations on, each one once; a lost one is replaced by the next.
    """

    def __init__(self) -> None:
        self.is_reported = False
        self._newest: dict[UpstreamId, _Observation] = {}
        self._unreported: dict[UpstreamId, _Observation] = {}

    @callback
    def note_response(
        self,
        upstream: UpstreamId,
        slowness: float | None,
        now_s: float,
        *,
        answered_by: str | None = None,
    ) -> None:
        """Record the slowness in a response that this instance received.

        Parameters
        ----------
        slowness : float or None
            Duration of work relative to the usual one; ``None`` if not reported.
        answered_by : str or None
            Upstream that responded, if it named itself. The report of another one at
            the same address is ignored.
        """
        if slowness is None or answered_by not in (None, upstream):
            return
        bounded = bounded_slowness(slowness)
        expected = self.slowness(upstream, now_s)
        self._note(upstream, bounded, now_s)
        if is_usual(bounded) and is_usual(expected):
            # The others assume the usual speed anyway.
            self._unreported.pop(upstream, None)
            return
        self._unreported[upstream] = _Observation(bounded, now_s)

    @callback
    def note_reports(self, reports: Mapping[str, SlownessReport], now_s: float) -> None:
        """Record what another instance observed."""
        for name, report in reports.items():
            if report.age_s < LIFETIME_S:
                at_s = now_s - report.age_s
                self._note(UpstreamId(name), report.slowness, at_s)

    def _note(self, upstream: UpstreamId, slowness: float, at_s: float) -> None:
        self.is_reported = True
        known = self._newest.get(upstream)
        if known is None:
            self._newest[upstream] = _Observation(slowness, at_s)
        elif at_s >= known.at_s:
            known.slowness, known.at_s = slowness, at_s

    @callback
    def slowness(self, upstream: UpstreamId, now_s: float) -> float:
        """Return the slowness to expect of an upstream; 1.0 is as usual."""
        known = self._newest.get(upstream)
        if known is None:
            return USUAL
        return aged_slowness(known.slowness, now_s - known.at_s)

    @callback
    def age_s(self, upstream: UpstreamId, now_s: float) -> float | None:
        """Return the age of an upstream's last report, or ``None`` without one."""
        known = self._newest.get(upstream)
        if known is None or now_s - known.at_s >= LIFETIME_S:
            return None
        return now_s - known.at_s

    @callback
    def take_unreported(
        self, now_s: float, upstreams: Iterable[str] | None = None
    ) -> dict[str, SlownessReport]:
        """Return this instance's observations that are not passed on yet.

        Parameters
        ----------
        upstreams : iterable of str, optional
            Upstreams to return the observations of; by default, all.
        """
        names = tuple(self._unreported) if upstreams is None else upstreams
        reports: dict[str, SlownessReport] = {}
        for name in map(UpstreamId, names):
            observed = self._unreported.pop(name, None)
            if observed is None or now_s - observed.at_s >= LIFETIME_S:
                continue
            reports[name] = slowness_report(observed.slowness, now_s - observed.at_s)
        return reports

    @callback
    def known_reports(
        self, upstreams: Iterable[str], now_s: float
    ) -> dict[str, SlownessReport]:
        """Return the newest reports of some upstreams."""
        reports: dict[str, SlownessReport] = {}
        for name in upstreams:
            known = self._newest.get(UpstreamId(name))
            if known is None or now_s - known.at_s >= LIFETIME_S:
                continue
            reports[name] = slowness_report(known.slowness, now_s - known.at_s)
        return reports

    @callback
    def forget_expired(self, now_s: float) -> None:
        """Forget the observations that no longer count."""
        oldest_s = now_s - LIFETIME_S
        for observations in (self._newest, self._unreported):
            expired = [n for n, seen in observations.items() if seen.at_s <= oldest_s]
            for name in expired:
                del observations[name]
