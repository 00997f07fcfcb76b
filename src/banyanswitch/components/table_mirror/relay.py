"""Reads of table copies from other instances with newer ones."""

import asyncio
import random
from collections.abc import Mapping
from http import HTTPStatus
from typing import Protocol
from urllib.parse import parse_qs, urlencode, urlsplit

import msgspec
import structlog

from banyanswitch.components.http1.client import HttpClient
from banyanswitch.components.http1.models import Request
from banyanswitch.components.http1.reply import Reply
from banyanswitch.components.peers.internal_read import async_read_peer
from banyanswitch.components.table_mirror.const import (
    FEED_LAG_TOLERANCE_S,
    FEED_WAIT_S,
    RELAY_INTERVAL_S,
    RELAY_TIMEOUT_S,
)
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.exceptions import HistoryGoneError, PeerError
from banyanswitch.interfaces import TableChanges

LOGGER = structlog.get_logger(__name__)
TABLE_PATH = "/tables/"
"""Copies as of their newest change, for instances that lag."""
WHOLE_PATH = "/feed/whole/"
"""Copies with a version from which `CHANGES_PATH` continues."""
CHANGES_PATH = "/feed/changes/"
"""Changes after a version, with a wait for the first one."""


def changes_target(table: str, after: int, wait_s: float) -> str:
    """Return the request target for the changes of a table after a version."""
    return f"{CHANGES_PATH}{table}?{urlencode({'after': after, 'wait_s': wait_s})}"


class PeerVersions(Protocol):
    """Table versions that the other instances reported."""

    def table_versions(self, table: str) -> Mapping[str, int]:
        """Return a table's content version by the address of each other instance."""


class TableRelay:
    """Catch up from another instance while this instance's own feed lags.

    Parameters
    ----------
    mirrors : mapping of str to TableMirror
        Copies by the name of their table.
    versions : PeerVersions
        Table versions of the other instances.
    client : HttpClient
        Makes the calls.
    generator : random.Random
        Chooses which instance to ask.
    """

    def __init__(
        self,
        mirrors: Mapping[str, TableMirror],
        versions: PeerVersions,
        client: HttpClient,
        generator: random.Random,
    ) -> None:
        self._mirrors = mirrors
        self._versions = versions
        self._client = client
        self._random = generator
        self._behind_since_s: dict[str, float] = {}

    async def async_run(self) -> None:
        """Compare versions and catch up until cancelled."""
        while True:
            await asyncio.sleep(RELAY_INTERVAL_S)
            for table, mirror in self._mirrors.items():
                await self._async_compare(table, mirror)

    async def async_answer(self, request: Request, reply: Reply) -> None:
        """Answer another instance with a whole copy or with changes."""
        target = urlsplit(request.target.decode("latin-1"))
        directory, _, table = target.path.rpartition("/")
        path = directory + "/"
        mirror = self._mirrors.get(table)
        if mirror is None or not mirror.is_loaded:
            reply.send(HTTPStatus.NOT_FOUND, (), b"")
            return
        if path == TABLE_PATH:
            reply.send(HTTPStatus.OK, (), msgspec.msgpack.encode(mirror.snapshot()))
        elif not mirror.is_connected:
            reply.send(HTTPStatus.SERVICE_UNAVAILABLE, (), b"")
        elif path == WHOLE_PATH:
            reply.send(
                HTTPStatus.OK, (), msgspec.msgpack.encode(mirror.feed_snapshot())
            )
        elif path == CHANGES_PATH:
            await _async_answer_changes(mirror, parse_qs(target.query), reply)
        else:
            reply.send(HTTPStatus.NOT_FOUND, (), b"")

    async def _async_compare(self, table: str, mirror: TableMirror) -> None:
        now_s = asyncio.get_running_loop().time()
        known = self._versions.table_versions(table)
        ahead = [a for a, version in known.items() if version > mirror.content_version]
        if not ahead:
            self._behind_since_s.pop(table, None)
            return
        since_s = self._behind_since_s.setdefault(table, now_s)
        if mirror.is_loaded and now_s - since_s < FEED_LAG_TOLERANCE_S:
            return
        await self._async_read(table, mirror, self._random.choice(ahead))

    async def _async_read(self, table: str, mirror: TableMirror, address: str) -> None:
        try:
            snapshot = await async_read_peer(
                self._client,
                address,
                TABLE_PATH + table,
                timeout_s=RELAY_TIMEOUT_S,
                answer_type=TableChanges,
            )
        except PeerError as error:
            LOGGER.info("relay_failed", table=table, peer=address, reason=str(error))
            return
        before = mirror.content_version
        mirror.apply_snapshot(snapshot)
        mirror.content_version = max(mirror.content_version, snapshot.version)
        LOGGER.info(
            "table_relayed",
            table=table,
            peer=address,
            from_version=before,
            to_version=mirror.content_version,
        )


async def _async_answer_changes(
    mirror: TableMirror, query: Mapping[str, list[str]], reply: Reply
) -> None:
    try:
        after, wait_s = int(query["after"][0]), float(query["wait_s"][0])
    except (KeyError, ValueError):
        reply.send(HTTPStatus.BAD_REQUEST, (), b"")
        return
    await mirror.async_wait_newer(after, min(wait_s, FEED_WAIT_S))
    if not mirror.is_connected:
        reply.send(HTTPStatus.SERVICE_UNAVAILABLE, (), b"")
        return
    try:
        changes = mirror.changes_since(after)
    except HistoryGoneError:
        reply.send(HTTPStatus.GONE, (), b"")
        return
    reply.send(HTTPStatus.OK, (), msgspec.msgpack.encode(changes))
