"""Items, objects and messages that store and replicate a configuration."""

from dataclasses import dataclass

from banyanswitch.config.records import RecordChange
from banyanswitch.identifiers import InstanceId


@dataclass(frozen=True, slots=True)
class Head:
    """Table item that identifies the accepted content.

    Parameters
    ----------
    digest : bytes
        SHA-256 digest of the manifest of the complete content.
    attempt : str
        Identity of the attempt that wrote the head.
    snapshot_revision : int
        Latest revision with a snapshot; 0 if there is none.
    snapshot_digest : bytes
        Digest of the manifest of that revision.
    snapshot_name : str
        Object with its ``Snapshot``; empty if there is none.
    """

    revision: int
    digest: bytes
    operator: str
    attempt: str
    accepted_at_unix_s: float
    snapshot_revision: int
    snapshot_digest: bytes
    snapshot_name: str


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Stored object that lists the objects of one complete content.

    Parameters
    ----------
    manifest : bytes
        Digests of all buckets.
    objects : tuple of str
        Object name of each bucket; empty for a bucket without records. A name is
        never reused for another object, so superseded objects can be deleted.
    """

    manifest: bytes
    objects: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SupersededObjects:
    """Table item that lists objects to which no later head refers."""

    superseded_at_unix_s: float
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Delta:
    """Changes of one accepted revision.

    Parameters
    ----------
    base_digest : bytes
        Digest of the content that the changes apply to.
    digest : bytes
        Digest of the resulting content.
    change_count : int
        Number of records that changed.
    changes : tuple of RecordChange or None
        ``None`` if they are too large; the content is then stored as a snapshot.
    """

    revision: int
    base_digest: bytes
    digest: bytes
    operator: str
    attempt: str
    accepted_at_unix_s: float
    change_count: int
    changes: tuple[RecordChange, ...] | None


@dataclass(frozen=True, slots=True)
class RevisionAnnounced:
    """Announcement of the active revision of an instance."""

    instance: InstanceId
    peer_address: str
    revision: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class DeltasRequested:
    """Request for the content after the active revision of the sender."""

    peer_address: str
    revision: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class DeltasDelivered:
    """Consecutive deltas, oldest first."""

    deltas: tuple[Delta, ...]


@dataclass(frozen=True, slots=True)
class ManifestDelivered:
    """Digests of all buckets, for an instance that can't be updated by deltas."""

    peer_address: str
    revision: int
    manifest: bytes


@dataclass(frozen=True, slots=True)
class BucketsRequested:
    """Request for the content of some buckets."""

    peer_address: str
    indexes: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Bucket:
    """Compressed content of one bucket."""

    index: int
    content: bytes


@dataclass(frozen=True, slots=True)
class BucketsDelivered:
    """Requested buckets, as many as fit into a message."""

    peer_address: str
    buckets: tuple[Bucket, ...]
