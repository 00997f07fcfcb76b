"""Client for KV stores: manifests, deletion of blocks and store status."""

from dataclasses import dataclass

import aiohttp
import msgspec

from banyanswitch.components.kv_cache.const import CONTROL_TIMEOUT_S
from banyanswitch.components.kv_cache.errors import StoreUnavailableError
from banyanswitch.components.kv_cache.http_requests import (
    STATUS_NOT_FOUND,
    STATUS_OK,
    HttpResponse,
    async_request,
)


@dataclass(frozen=True, slots=True)
class StoreStatus:
    """Capacity and use of the tiers of a store, in bytes."""

    memory_used_bytes: int
    memory_bytes: int
    disk_used_bytes: int
    disk_bytes: int


class KvStoreClient:
    """Send requests to KV stores.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session owned by the component; the client does not close it.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def async_put_manifest(self, url: str, name: str, content: bytes) -> None:
        """Write a manifest.

        Raises
        ------
        StoreUnavailableError
            If the store did not confirm the write.
        """
        response = await self._async_request("PUT", f"{url}/manifests/{name}", content)
        _check_status(response, STATUS_OK)

    async def async_get_manifest(self, url: str, name: str) -> bytes | None:
        """Return a manifest, or ``None`` if it does not exist.

        Raises
        ------
        StoreUnavailableError
            If the manifest could not be read.
        """
        response = await self._async_request("GET", f"{url}/manifests/{name}")
        if response.status == STATUS_NOT_FOUND:
            return None
        _check_status(response, STATUS_OK)
        return response.body

    async def async_delete_manifest(self, url: str, name: str) -> None:
        """Delete a manifest, if it exists.

        Raises
        ------
        StoreUnavailableError
            If the store did not confirm the deletion.
        """
        response = await self._async_request("DELETE", f"{url}/manifests/{name}")
        _check_status(response, STATUS_OK, STATUS_NOT_FOUND)

    async def async_delete_block(self, url: str, name: str) -> None:
        """Delete a block, if it exists.

        Raises
        ------
        StoreUnavailableError
            If the store did not confirm the deletion.
        """
        response = await self._async_request("DELETE", f"{url}/blocks/{name}")
        _check_status(response, STATUS_OK, STATUS_NOT_FOUND)

    async def async_status(self, url: str) -> StoreStatus:
        """Return the capacity and use of a store.

        Raises
        ------
        StoreUnavailableError
            If the status could not be read or decoded.
        """
        response = await self._async_request("GET", f"{url}/status")
        _check_status(response, STATUS_OK)
        try:
            return msgspec.json.decode(response.body, type=StoreStatus)
        except msgspec.MsgspecError as error:
            raise StoreUnavailableError(
                f"the store's status could not be decoded: {error}"
            ) from error

    async def _async_request(
        self, method: str, url: str, body: bytes | None = None
    ) -> HttpResponse:
        return await async_request(
            self._session,
            method,
            url,
            body=body,
            timeout_s=CONTROL_TIMEOUT_S,
            error_type=StoreUnavailableError,
        )


def _check_status(response: HttpResponse, *statuses: int) -> None:
    if response.status not in statuses:
        raise StoreUnavailableError(
            f"the store responded with status {response.status}"
        )
