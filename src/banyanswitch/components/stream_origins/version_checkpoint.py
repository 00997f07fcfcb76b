"""Checkpoint of the stored software versions in the history of the entries."""

import msgspec
import structlog

from banyanswitch.components.forwarding.protocols import DocumentDecoder
from banyanswitch.components.stream_origins.const import (
    CHECKPOINT_KEY,
    VERSIONS_INTERVAL_S,
)
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.exceptions import PlatformError, PlatformUnavailableError
from banyanswitch.helpers.decoding import DECODING_ERRORS
from banyanswitch.helpers.store_version import era_of
from banyanswitch.identifiers import ServiceName
from banyanswitch.interfaces import TableHistory, TableStore, Write, WriteClass

LOGGER = structlog.get_logger(__name__)
VersionsByService = dict[ServiceName, frozenset[str]]


class VersionCheckpoint:
    """Version of the store up to which all software versions are stored.

    The entries that an instance reads when it starts may not be complete. Entries that
    have expired in an outage are written again some time after the store's return, and
    a store that returns from an older copy has lost entries and stored versions alike.
    Neither can be seen in the rows. An instance that starts therefore reads what was
    written to the entries since the checkpoint, also what was removed again. If the
    store has returned from an older copy since, or has discarded the history, the
    versions that were in use before are not known.

    Parameters
    ----------
    table : TableStore
        Stores the checkpoint.
    history : TableHistory
        History of the entries.
    mirror : TableMirror
        Copy of the entries, which this instance follows from its first read on.
    decoder : DocumentDecoder
        Decodes entries.
    """

    def __init__(
        self,
        *,
        table: TableStore,
        history: TableHistory,
        mirror: TableMirror,
        decoder: DocumentDecoder,
    ) -> None:
        self._table = table
        self._history = history
        self._mirror = mirror
        self._decoder = decoder

    async def async_write(self) -> None:
        """Store that all versions in the entries followed so far are stored."""
        version = self._mirror.followed_version
        if version is None:
            return
        write = Write(CHECKPOINT_KEY, msgspec.json.encode(version))
        try:
            await self._table.async_transact([write], WriteClass.LEASE)
        except PlatformError as error:
            LOGGER.info("version_checkpoint_not_written", reason=str(error))

    async def async_versions_since(self) -> VersionsByService | None:
        """Return the versions in entries from the checkpoint to the copy's first read.

        Returns
        -------
        versions : dict of ServiceName to frozenset of str, or None
            ``None`` if there is no checkpoint.

        Raises
        ------
        HistoryGoneError
            If the store has lost changes since the checkpoint, or discarded them.
        PlatformError
            If the store can't be read, or this instance has not read the entries
            within `VERSIONS_INTERVAL_S`.
        """
        await self._mirror.async_wait_newer(0, VERSIONS_INTERVAL_S)
        followed = self._mirror.followed_version
        if followed is None:
            raise PlatformUnavailableError("the upstreams' entries have not been read")
        items = await self._table.async_get([CHECKPOINT_KEY])
        if not items:
            return None
        try:
            version = msgspec.json.decode(items[0].value, type=int)
        except DECODING_ERRORS as error:
            raise PlatformUnavailableError(f"{CHECKPOINT_KEY}: {error}") from error
        if era_of(version) > era_of(followed):
            raise PlatformUnavailableError("the upstreams' entries are of an older era")
        written = await self._history.async_history(
            self._mirror.table, version, followed
        )
        versions: VersionsByService = {}
        for item in written:
            key = item.key.partition("/")[2]
            record = self._decoder.upstream(key, item.value)
            if record is not None:
                known = versions.get(record.service, frozenset())
                versions[record.service] = known | {record.software_version}
        LOGGER.info(
            "version_checkpoint_read",
            version=version,
            writes=len(written),
            versions={name: sorted(known) for name, known in versions.items()},
        )
        return versions
