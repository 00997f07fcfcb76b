"""Client that requests the load of an upstream."""

from typing import Protocol

import aiohttp
import msgspec

from banyanswitch.components.http1.library_limits import async_read_limited
from banyanswitch.components.upstream_load.const import POLL_TIMEOUT_S
from banyanswitch.config.models import Upstream
from banyanswitch.exceptions import UpstreamNotSentError
from banyanswitch.identifiers import UpstreamId, WeightVersion
from banyanswitch.interfaces import UpstreamLoad


class LoadPoller(Protocol):
    """Client that requests the load of an upstream."""

    async def async_poll(self, upstream: Upstream, now_s: float) -> UpstreamLoad:
        """Request the load of an upstream.

        Parameters
        ----------
        now_s : float
            Event loop time to store as the time of the report.

        Raises
        ------
        UpstreamError
            If the upstream did not return a valid load.
        """


class _LoadResponse(msgspec.Struct, frozen=True):
    upstream: str
    running_requests: int
    queued_requests: int
    queued_prefill_tokens: int
    weight_version: str | None = None
    is_leaving: bool = False
    is_loading: bool = False


class HttpLoadPoller:
    """Request loads over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session whose headers identify this instance.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT_S)
        self._decoder = msgspec.json.Decoder(_LoadResponse)

    async def async_poll(self, upstream: Upstream, now_s: float) -> UpstreamLoad:
        """Request the load of an upstream."""
        url = f"{upstream.url.rstrip('/')}/engine/load"
        try:
            async with self._session.get(url, timeout=self._timeout) as response:
                response.raise_for_status()
                answer = self._decoder.decode(await async_read_limited(response))
        except (
            aiohttp.ClientError,
            aiohttp.EofStream,
            TimeoutError,
            msgspec.MsgspecError,
        ) as error:
            reason = f"{upstream.name} did not report its load"
            raise UpstreamNotSentError(reason) from error
        return UpstreamLoad(
            upstream=UpstreamId(upstream.name),
            running_requests=answer.running_requests,
            queued_requests=answer.queued_requests,
            queued_prefill_tokens=answer.queued_prefill_tokens,
            weight_version=_version(answer.weight_version),
            is_leaving=answer.is_leaving,
            is_loading=answer.is_loading,
            received_at_s=now_s,
        )


def _version(name: str | None) -> WeightVersion | None:
    return None if name is None else WeightVersion(name)
