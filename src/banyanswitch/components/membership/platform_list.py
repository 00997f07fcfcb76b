"""Client of the platform's list of instances."""

from typing import Protocol

import aiohttp
import msgspec

from banyanswitch.components.http1.library_limits import async_read_limited
from banyanswitch.components.membership.const import LIST_TIMEOUT_S
from banyanswitch.components.membership.models import ListedInstance
from banyanswitch.exceptions import PlatformUnavailableError


class InstanceList(Protocol):
    """The platform's list of instances, which lags behind their actual state."""

    async def async_read(self) -> tuple[ListedInstance, ...]:
        """Return the list.

        Raises
        ------
        PlatformUnavailableError
            If the list can't be read.
        """


class _ListedItem(msgspec.Struct, frozen=True):
    instance: str
    failure_domain: str
    state: str
    peer_address: str = ""
    http_url: str = ""


class _ListAnswer(msgspec.Struct, frozen=True):
    instances: tuple[_ListedItem, ...]


class HttpInstanceList:
    """Read the list over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session with headers that identify this instance.
    base_url : str
        URL of the platform's service.
    """

    def __init__(self, session: aiohttp.ClientSession, base_url: str) -> None:
        self._session = session
        self._url = f"{base_url.rstrip('/')}/instances"
        self._timeout = aiohttp.ClientTimeout(total=LIST_TIMEOUT_S)

    async def async_read(self) -> tuple[ListedInstance, ...]:
        """Return the list.

        Raises
        ------
        PlatformUnavailableError
            If the list can't be read.
        """
        try:
            async with self._session.get(self._url, timeout=self._timeout) as response:
                response.raise_for_status()
                body = await async_read_limited(response)
            answer = msgspec.json.decode(body, type=_ListAnswer)
        except (
            aiohttp.ClientError,
            aiohttp.EofStream,
            TimeoutError,
            msgspec.MsgspecError,
        ) as error:
            raise PlatformUnavailableError(
                f"the platform's list of instances can't be read from {self._url}"
            ) from error
        return tuple(_listed_instance(item) for item in answer.instances)


def _listed_instance(item: _ListedItem) -> ListedInstance:
    return ListedInstance(
        instance=item.instance,
        failure_domain=item.failure_domain,
        is_leaving=item.state == "leaving",
        peer_address=item.peer_address,
        http_url=item.http_url,
    )
