"""Stand-in for a KV store with a memory tier and a disk tier."""

from collections import OrderedDict
from typing import Final

from aiohttp import web

from banyanswitch_standins.app import StandIn, build_json_response
from banyanswitch_standins.faults import FaultKind, has_fault
from banyanswitch_standins.rates import SharedLink

CHUNK_BYTES: Final = 64 * 1024


class StoreFullError(Exception):
    """A block could not be written completely.

    The memory tier has no room for it and its least recently used other block, if any,
    does not fit on disk; or the block was removed, replaced or moved to disk while it
    was being written.
    """


class KvStoreStandIn(StandIn):
    """Store of blocks that spill from memory to disk, and of manifests.

    The least recently used blocks spill first. A read of a block that is still being
    written returns the bytes received so far.

    Parameters
    ----------
    memory_bytes : int
        Capacity of the memory tier, in bytes.
    disk_bytes : int
        Capacity of the disk tier, in bytes; it is simulated in memory.
    bytes_per_s : float
        Bandwidth that all block transfers share, in bytes per second; 0 means no limit.
    """

    def __init__(
        self,
        *,
        memory_bytes: int = 64 * 1024 * 1024,
        disk_bytes: int = 256 * 1024 * 1024,
        bytes_per_s: float = 0.0,
    ) -> None:
        super().__init__()
        self._memory_bytes = memory_bytes
        self._disk_bytes = disk_bytes
        self._link = SharedLink(bytes_per_s)
        self._memory: OrderedDict[str, bytearray] = OrderedDict()
        self._disk: dict[str, bytearray] = {}
        self._manifests: dict[str, bytes] = {}
        self._memory_used_bytes = 0
        self._disk_used_bytes = 0

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of the store."""
        router.add_get("/status", self._handle_status)
        router.add_put("/blocks/{name:.+}", self._handle_put_block)
        router.add_get("/blocks/{name:.+}", self._handle_get_block)
        router.add_delete("/blocks/{name:.+}", self._handle_delete_block)
        router.add_put("/manifests/{name:.+}", self._handle_put_manifest)
        router.add_get("/manifests/{name:.+}", self._handle_get_manifest)
        router.add_delete("/manifests/{name:.+}", self._handle_delete_manifest)

    async def _handle_status(self, _request: web.Request) -> web.Response:
        status = {
            "memory_used_bytes": self._memory_used_bytes,
            "memory_bytes": self._memory_bytes,
            "disk_used_bytes": self._disk_used_bytes,
            "disk_bytes": self._disk_bytes,
        }
        return build_json_response(status)

    async def _handle_put_block(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        self._remove(name)
        block = bytearray()
        self._memory[name] = block
        try:
            async for chunk in request.content.iter_chunked(CHUNK_BYTES):
                await self._link.async_transfer(len(chunk))
                self._append(name, block, chunk)
        except StoreFullError:
            self._remove(name)
            return build_json_response({"code": "full"}, status=507)
        return build_json_response({"size_bytes": len(block)})

    async def _handle_get_block(self, request: web.Request) -> web.StreamResponse:
        name = request.match_info["name"]
        block = self._memory.get(name, self._disk.get(name))
        if block is None:
            return build_json_response({"code": "not_found"}, status=404)
        if name in self._memory:
            self._memory.move_to_end(name)
        content = _apply_faults(request, bytes(block))
        response = web.StreamResponse()
        response.content_length = len(content)
        await response.prepare(request)
        for start in range(0, len(content), CHUNK_BYTES):
            chunk = content[start : start + CHUNK_BYTES]
            await self._link.async_transfer(len(chunk))
            await response.write(chunk)
        await response.write_eof()
        return response

    async def _handle_delete_block(self, request: web.Request) -> web.Response:
        self._remove(request.match_info["name"])
        return build_json_response({})

    async def _handle_put_manifest(self, request: web.Request) -> web.Response:
        self._manifests[request.match_info["name"]] = await request.read()
        return build_json_response({})

    async def _handle_get_manifest(self, request: web.Request) -> web.Response:
        content = self._manifests.get(request.match_info["name"])
        if content is None:
            return build_json_response({"code": "not_found"}, status=404)
        return web.Response(body=content, content_type="application/json")

    async def _handle_delete_manifest(self, request: web.Request) -> web.Response:
        self._manifests.pop(request.match_info["name"], None)
        return build_json_response({})

    def _append(self, name: str, block: bytearray, chunk: bytes) -> None:
        if self._memory.get(name) is not block:
            raise StoreFullError
        while self._memory_used_bytes + len(chunk) > self._memory_bytes:
            self._spill_oldest(keep=name)
        block.extend(chunk)
        self._memory_used_bytes += len(chunk)

    def _spill_oldest(self, keep: str) -> None:
        oldest = next((name for name in self._memory if name != keep), None)
        if oldest is None:
            raise StoreFullError
        block = self._memory[oldest]
        if self._disk_used_bytes + len(block) > self._disk_bytes:
            raise StoreFullError
        del self._memory[oldest]
        self._memory_used_bytes -= len(block)
        self._disk[oldest] = block
        self._disk_used_bytes += len(block)

    def _remove(self, name: str) -> None:
        block = self._memory.pop(name, None)
        if block is not None:
            self._memory_used_bytes -= len(block)
        block = self._disk.pop(name, None)
        if block is not None:
            self._disk_used_bytes -= len(block)


def _apply_faults(request: web.Request, content: bytes) -> bytes:
    if has_fault(request, FaultKind.TORN):
        return content[: len(content) // 2]
    if has_fault(request, FaultKind.CORRUPT):
        return bytes(len(content))
    return content
