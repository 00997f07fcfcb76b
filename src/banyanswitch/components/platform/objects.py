"""Object store over HTTP."""

from urllib.parse import quote

from banyanswitch.components.platform.client import STATUS_NOT_FOUND, PlatformClient
from banyanswitch.components.platform.const import ROUTE_OBJECTS


class HttpObjectStore:
    """Objects that are stored and read whole.

    Parameters
    ----------
    client : PlatformClient
        Connection to the object store.
    """

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def async_put(self, name: str, content: bytes) -> None:
        """Store an object whole; a reader never sees a part of it."""
        await self._client.async_call(
            "PUT", _route(name), body=content, has_effect=True
        )

    async def async_get_object(self, name: str) -> bytes | None:
        """Return an object, or ``None`` if there is none."""
        answer = await self._client.async_call("GET", _route(name), has_effect=False)
        if answer.status == STATUS_NOT_FOUND:
            return None
        return answer.body


def _route(name: str) -> str:
    return f"{ROUTE_OBJECTS}/{quote(name)}"
