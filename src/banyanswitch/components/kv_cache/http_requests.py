"""HTTP requests to upstreams and KV stores, with typed errors."""

from dataclasses import dataclass

import aiohttp

from banyanswitch.components.http1.library_limits import async_read_limited
from banyanswitch.components.kv_cache.errors import TransferError

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNPROCESSABLE = 422


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status and complete body of a response."""

    status: int
    body: bytes


async def async_request(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    *,
    body: bytes | None,
    timeout_s: float,
    error_type: type[TransferError],
) -> HttpResponse:
    """Send a request and return its response.

    Raises
    ------
    TransferError
        Of type ``error_type``, if the request failed or timed out.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with session.request(method, url, data=body, timeout=timeout) as response:
            return HttpResponse(response.status, await async_read_limited(response))
    except (TimeoutError, aiohttp.ClientError, aiohttp.EofStream, OSError) as error:
        raise error_type(f"{method} {url} failed: {error!r}") from error
