"""HTTP calls to upstreams and KV stores, with typed errors."""

from dataclasses import dataclass

import aiohttp

from banyanswitch.components.kv_cache.errors import TransferError

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNPROCESSABLE = 422


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status and whole body of an answer."""

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
    """Make a call and return its answer.

    Raises
    ------
    TransferError
        Of the given type, if no answer came in time.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with session.request(method, url, data=body, timeout=timeout) as response:
            return HttpResponse(response.status, await response.read())
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        raise error_type(f"no answer from {url}: {error!r}") from error
