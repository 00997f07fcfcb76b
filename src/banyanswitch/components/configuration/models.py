"""Items, objects and messages through which a configuration spreads."""

from dataclasses import dataclass

from banyanswitch.config.records import RecordChange
from banyanswitch.identifiers import InstanceId


@dataclass(frozen=True, slots=True)
class Head:
    """Item that names the accepted content.

    Parameters
    ----------
    digest : bytes
        SHA-256 digest of the whole content's manifest.
    attempt : str
        Identity of the attempt that wrote it.
    snapshot_revision : int
        Latest revision whose content is stored as objects.
    snapshot_digest : bytes
        Digest of that revision's manifest.
    snapshot_name : str
        Object that holds its ``Snapshot``; empty if there is none.
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
    """Object that names the objects of one whole content.

    Parameters
    ----------
    manifest : bytes
        Digests of all buckets.
    objects : tuple of str
        Object of each bucket; empty for a bucket without records. No name is used
        twice, so that an object that was given up can be deleted.
    """

    manifest: bytes
    objects: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SupersededObjects:
    """Item that names objects which no later head refers to."""

    superseded_at_unix_s: float
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Delta:
    """What one accepted revision changed.

    Parameters
    ----------
    base_digest : bytes
        Digest of the content that the changes apply to.
    digest : bytes
        Digest of the content that results.
    change_count : int
        Number of records that changed.
    changes : tuple of RecordChange or None
        ``None`` if there are too many; the content is then stored as objects.
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
    """An instance tells which revision it holds."""

    instance: InstanceId
    peer_address: str
    revision: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class DeltasRequested:
    """An instance asks for what came after the revision it holds."""

    peer_address: str
    revision: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class DeltasDelivered:
    """Consecutive deltas, oldest first."""

    deltas: tuple[Delta, ...]


@dataclass(frozen=True, slots=True)
class ManifestDelivered:
    """Digests of all buckets, for an instance that deltas can't bring up to date."""

    peer_address: str
    revision: int
    manifest: bytes


@dataclass(frozen=True, slots=True)
class BucketsRequested:
    """An instance asks for the content of some buckets."""

    peer_address: str
    indexes: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Bucket:
    """Compressed content of one bucket."""

    index: int
    content: bytes


@dataclass(frozen=True, slots=True)
class BucketsDelivered:
    """Some of the buckets that were asked for."""

    peer_address: str
    buckets: tuple[Bucket, ...]
