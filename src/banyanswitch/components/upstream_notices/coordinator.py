"""Rests and departures that upstreams announce in their responses."""

import asyncio
from typing import Final

import structlog

from banyanswitch.components.forwarding.models import UpstreamRecord
from banyanswitch.core import callback
from banyanswitch.decisions.upstream_notices import (
    ResponseNotice,
    UpstreamNotice,
    updated_notice,
)
from banyanswitch.identifiers import UpstreamId

LOGGER = structlog.get_logger(__name__)
Start = tuple[UpstreamId, int]
"""Name and start time of an upstream, in ms; a restarted upstream is another one."""

MAX_NOTICES: Final = 2_000
"""Number of starts that are remembered; at the target size of 780 upstreams, it covers
two full replacements."""

NO_NOTICE: Final = UpstreamNotice()


class UpstreamNotices:
    """Keep what upstreams have said of themselves to this instance."""

    def __init__(self) -> None:
        self._notices: dict[Start, UpstreamNotice] = {}

    @callback
    def note_response(self, record: UpstreamRecord, response: ResponseNotice) -> None:
        """Record what a response of an upstream says."""
        now_s = asyncio.get_running_loop().time()
        start = (record.name, record.started_at_ms)
        known = self._notices.get(start, NO_NOTICE)
        notice = updated_notice(known, response, now_s)
        if notice == known:
            return
        self._notices[start] = notice
        if len(self._notices) > MAX_NOTICES:
            del self._notices[next(iter(self._notices))]
        if notice.is_leaving and not known.is_leaving:
            LOGGER.info("upstream_leaving_named", upstream=record.name)
        if known.rests_until_s < now_s < notice.rests_until_s:
            LOGGER.info(
                "upstream_rests",
                upstream=record.name,
                rest_s=round(notice.rests_until_s - now_s, 3),
            )

    @callback
    def may_send(self, record: UpstreamRecord, now_s: float) -> bool:
        """Return whether an upstream may get a request from this instance."""
        return self._notice(record).may_send(now_s)

    @callback
    def is_leaving(self, record: UpstreamRecord) -> bool:
        """Return whether an upstream has said that it leaves."""
        return self._notice(record).is_leaving

    @callback
    def rests_until_s(self, record: UpstreamRecord) -> float:
        """Return the loop time until which an upstream rests, in seconds."""
        return self._notice(record).rests_until_s

    def _notice(self, record: UpstreamRecord) -> UpstreamNotice:
        if not self._notices:
            return NO_NOTICE
        return self._notices.get((record.name, record.started_at_ms), NO_NOTICE)
