"""Commit of a new configuration in one conditional transaction."""

import asyncio
from dataclasses import dataclass
from typing import Final

import msgspec
import structlog

from banyanswitch.components.audit.codec import batch_key, encode_batch
from banyanswitch.components.audit.models import AuditKind, AuditRecord
from banyanswitch.components.configuration.codec import (
    delta_key,
    encode_delta,
    encode_head,
    encode_superseded,
    superseded_key,
)
from banyanswitch.components.configuration.const import (
    HEAD_KEY,
    MAX_DELTA_BYTES,
    REVISIONS_PER_SNAPSHOT,
)
from banyanswitch.components.configuration.errors import (
    AcceptanceUnknownError,
    RevisionConflictError,
)
from banyanswitch.components.configuration.models import (
    Delta,
    Head,
    SupersededObjects,
)
from banyanswitch.components.configuration.repository import (
    EMPTY_CONTENT,
    AcceptedHead,
    ConfigurationRepository,
    Content,
)
from banyanswitch.components.configuration.snapshots import (
    SnapshotWriter,
    StoredSnapshot,
)
from banyanswitch.config.models import Configuration
from banyanswitch.config.records import RecordChange, difference, to_records
from banyanswitch.exceptions import (
    ConditionFailedError,
    PlatformError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from banyanswitch.interfaces import ObjectStore, TableStore, Write, WriteClass

LOGGER = structlog.get_logger(__name__)

MAX_TRIES: Final = 5
RETRY_INTERVAL_S: Final = 0.5


@dataclass(frozen=True, slots=True)
class Author:
    """Operator, attempt identity and time of a change."""

    operator: str
    attempt: str
    now_unix_s: float


@dataclass(frozen=True, slots=True)
class Acceptance:
    """Result of an accepted change.

    Parameters
    ----------
    changes : tuple of RecordChange
        Changed records; empty if the configuration was already active.
    """

    revision: int
    changes: tuple[RecordChange, ...]


class ConfigurationAcceptor:
    """Commit a configuration atomically.

    Regardless of the size of a change, the transaction writes the head, one delta,
    the audit record and, if a snapshot replaced objects, a list of these objects. A
    change that is too large for a delta is stored as objects before the transaction;
    nothing refers to them until the head is written.
    """

    def __init__(self, table: TableStore, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects
        self._repository = ConfigurationRepository(table, objects)
        self._snapshots = SnapshotWriter(objects, self._repository)

    async def async_apply(
        self,
        configuration: Configuration,
        author: Author,
        expected_revision: int | None = None,
    ) -> Acceptance:
        """Commit a valid configuration.

        Parameters
        ----------
        expected_revision : int, optional
            Revision that the change is based on; any other current revision is a
            conflict.

        Raises
        ------
        RevisionConflictError
            If another change was accepted first.
        AcceptanceUnknownError
            If it is unknown whether the change was accepted.
        PlatformError
            If the platform can't be read or rejected the change.
        """
        accepted = await self._repository.async_head()
        _check_expected_revision(accepted.head, expected_revision)
        before = await self._async_content(accepted.head)
        changes = difference(dict(before.records.items()), to_records(configuration))
        if not changes:
            return Acceptance(before.revision, ())
        after = Content(before.revision + 1, before.records.with_changes(changes))
        delta = _make_delta(before, after, changes, author)
        snapshot = await self._async_store_snapshot(accepted.head, after, delta)
        head = _make_head(accepted.head, after, delta, snapshot)
        try:
            await self._async_commit(accepted, head, delta, snapshot)
        except RevisionConflictError:
            await self._async_delete_objects(snapshot)
            raise
        return Acceptance(after.revision, changes)

    async def _async_content(self, head: Head | None) -> Content:
        if head is None:
            return EMPTY_CONTENT
        return await self._repository.async_content(head, EMPTY_CONTENT)

    async def _async_store_snapshot(
        self, head: Head | None, after: Content, delta: Delta
    ) -> StoredSnapshot | None:
        latest_revision = head.snapshot_revision if head is not None else 0
        is_due = after.revision - latest_revision >= REVISIONS_PER_SNAPSHOT
        if delta.changes is not None and not is_due:
            return None
        return await self._snapshots.async_write(head, after.records, delta.attempt)

    async def _async_delete_objects(self, snapshot: StoredSnapshot | None) -> None:
        """Delete the objects written for a change that was not accepted."""
        if snapshot is None:
            return
        try:
            for name in snapshot.written:
                await self._objects.async_delete_object(name)
        except PlatformError as error:
            LOGGER.warning("objects_not_deleted", reason=str(error))

    async def _async_commit(
        self,
        accepted: AcceptedHead,
        head: Head,
        delta: Delta,
        snapshot: StoredSnapshot | None,
    ) -> None:
        writes = [
            Write(HEAD_KEY, encode_head(head), accepted.item_revision),
            Write(delta_key(delta.revision), encode_delta(delta), 0),
            _audit_write(delta),
        ]
        if snapshot is not None and snapshot.superseded:
            writes.append(_superseded_write(delta, snapshot))
        is_outcome_unknown = False
        for try_number in range(MAX_TRIES):
            if try_number > 0:
                await asyncio.sleep(RETRY_INTERVAL_S)
            try:
                await self._table.async_transact(writes, WriteClass.CONFIGURATION)
                return
            except ConditionFailedError:
                if await self._async_is_committed(delta, is_outcome_unknown):
                    return
            except PlatformOutcomeUnknownError:
                is_outcome_unknown = True
            except PlatformUnavailableError:
                if not is_outcome_unknown:
                    raise
        raise AcceptanceUnknownError(delta.attempt)

    async def _async_is_committed(self, delta: Delta, is_outcome_unknown: bool) -> bool:
        """Return whether the delta in the table was written by this attempt.

        Returns ``False`` if no delta is stored; the transaction is then repeated.
        A repeated transaction fails its condition if the first one was applied.
        Therefore the identity of the attempt decides, not the failed condition.

        Raises
        ------
        RevisionConflictError
            If another attempt wrote the delta, or if the delta can't be read and no
            earlier transaction of this attempt may have been applied.
        AcceptanceUnknownError
            If the delta can't be read and an earlier transaction of this attempt may
            have been applied.
        """
        try:
            stored = await self._repository.async_delta(delta.revision)
        except PlatformError as error:
            if is_outcome_unknown:
                raise AcceptanceUnknownError(delta.attempt) from error
            raise RevisionConflictError(delta.revision, "unknown", 0.0) from error
        if stored is None:
            return False
        if stored.attempt == delta.attempt:
            return True
        raise RevisionConflictError(
            stored.revision,
            stored.operator,
            stored.accepted_at_unix_s,
        )


def _check_expected_revision(head: Head | None, expected_revision: int | None) -> None:
    revision = head.revision if head else 0
    if expected_revision is None or expected_revision == revision:
        return
    if head is None:
        raise RevisionConflictError(0, "nobody", 0.0)
    raise RevisionConflictError(revision, head.operator, head.accepted_at_unix_s)


def _make_delta(
    before: Content, after: Content, changes: tuple[RecordChange, ...], author: Author
) -> Delta:
    is_small = len(msgspec.msgpack.encode(changes)) <= MAX_DELTA_BYTES
    return Delta(
        revision=after.revision,
        base_digest=before.records.digest,
        digest=after.records.digest,
        operator=author.operator,
        attempt=author.attempt,
        accepted_at_unix_s=author.now_unix_s,
        change_count=len(changes),
        changes=changes if is_small else None,
    )


def _make_head(
    before: Head | None,
    after: Content,
    delta: Delta,
    snapshot: StoredSnapshot | None,
) -> Head:
    snapshot_revision = before.snapshot_revision if before else 0
    snapshot_digest = before.snapshot_digest if before else b""
    snapshot_name = before.snapshot_name if before else ""
    if snapshot is not None:
        snapshot_revision = after.revision
        snapshot_digest = after.records.digest
        snapshot_name = snapshot.name
    return Head(
        revision=after.revision,
        digest=after.records.digest,
        operator=delta.operator,
        attempt=delta.attempt,
        accepted_at_unix_s=delta.accepted_at_unix_s,
        snapshot_revision=snapshot_revision,
        snapshot_digest=snapshot_digest,
        snapshot_name=snapshot_name,
    )


def _superseded_write(delta: Delta, snapshot: StoredSnapshot) -> Write:
    superseded = SupersededObjects(delta.accepted_at_unix_s, snapshot.superseded)
    return Write(superseded_key(delta.revision), encode_superseded(superseded))


def _audit_write(delta: Delta) -> Write:
    record = AuditRecord(
        at_unix_s=delta.accepted_at_unix_s,
        kind=AuditKind.CONFIGURATION,
        actor=delta.operator,
        subject=f"revision {delta.revision}",
        detail=f"{delta.change_count} records changed",
        identity=delta.attempt,
    )
    return Write(batch_key((record,)), encode_batch((record,)))
