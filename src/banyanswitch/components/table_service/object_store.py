"""Client of the platform's object store."""

from urllib.parse import quote

from banyanswitch.components.table_service.http_client import PlatformClient
from banyanswitch.exceptions import PlatformError

STATUS_NOT_FOUND = 404
FIRST_UNSUCCESSFUL_STATUS = 300


class HttpObjectStore:
    """Object store over HTTP; implements ``ObjectStore``.

    Parameters
    ----------
    client : PlatformClient
        HTTP client of the service.
    """

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def async_put(self, name: str, content: bytes) -> None:
        """Store an object atomically; a reader never sees a part of it.

        Raises
        ------
        PlatformError
            If the service did not confirm that the object is stored.
        """
        response = await self._client.async_write("PUT", _path(name), content)
        if response.status >= FIRST_UNSUCCESSFUL_STATUS:
            raise PlatformError(f"object refused with status {response.status}")

    async def async_get_object(self, name: str) -> bytes | None:
        """Return an object, or ``None`` if it doesn't exist.

        Raises
        ------
        PlatformError
            If the object could not be read.
        """
        response = await self._client.async_read("GET", _path(name))
        if response.status == STATUS_NOT_FOUND:
            return None
        if response.status >= FIRST_UNSUCCESSFUL_STATUS:
            raise PlatformError(f"object not read, status {response.status}")
        return response.body

    async def async_delete_object(self, name: str) -> None:
        """Delete an object; a missing object is not an error.

        Raises
        ------
        PlatformError
            If the service did not confirm the deletion.
        """
        response = await self._client.async_write("DELETE", _path(name), b"")
        if response.status == STATUS_NOT_FOUND:
            return
        if response.status >= FIRST_UNSUCCESSFUL_STATUS:
            raise PlatformError(f"object not deleted, status {response.status}")


def _path(name: str) -> str:
    return "/objects/" + quote(name, safe="/")
