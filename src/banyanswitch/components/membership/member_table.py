"""Member records known to one instance, and the rules for merging them."""

from collections.abc import Iterable

import xxhash
from msgspec.structs import replace

from banyanswitch.components.membership.const import (
    BUCKET_DIGEST_BYTES,
    DIGEST_BUCKETS,
    TOMBSTONE_S,
)
from banyanswitch.components.membership.models import Member, MemberState

_DIGEST_MASK = (1 << (8 * BUCKET_DIGEST_BYTES)) - 1


def merge(known: Member, received: Member) -> Member:
    """Return the record that results from two records of one member.

    The higher incarnation wins, then the higher revision, then the worse state. The
    leaving flag is kept until a higher incarnation.
    """
    if received.incarnation != known.incarnation:
        return received if received.incarnation > known.incarnation else known
    newest = max(known, received, key=lambda record: (record.revision, record.state))
    is_leaving = known.is_leaving or received.is_leaving
    if newest.is_leaving == is_leaving:
        return newest
    return replace(newest, is_leaving=is_leaving)


class MemberTable:
    """Members by identifier, with digests of their records.

    Dead members are retained for ``TOMBSTONE_S``, so that late rumours do not revive
    them. They are not part of the digests.
    """

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._buckets: list[dict[str, int]] = [{} for _ in range(DIGEST_BUCKETS)]
        self._digests = [0] * DIGEST_BUCKETS
        self._died_at_s: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._members)

    def get(self, instance: str) -> Member | None:
        """Return a member, also a dead one; ``None`` if it is unknown."""
        return self._members.get(instance)

    def members(self) -> Iterable[Member]:
        """Return all members, dead ones included."""
        return self._members.values()

    def live(self) -> list[Member]:
        """Return the members that are not dead."""
        return [m for m in self._members.values() if m.state is not MemberState.DEAD]

    def dead(self) -> list[Member]:
        """Return the dead members whose records are still retained."""
        return [self._members[instance] for instance in self._died_at_s]

    def put(self, received: Member, now_s: float) -> bool:
        """Merge a record into the table; a dead member that is unknown is not added.

        Returns
        -------
        is_changed : bool
            Whether the stored record of the member changed.
        """
        known = self._members.get(received.instance)
        if known is None:
            if received.state is MemberState.DEAD:
                return False
            self._store(received, now_s)
            return True
        merged = merge(known, received)
        if merged == known:
            return False
        self._store(merged, now_s)
        return True

    def remove_expired(self, now_s: float) -> None:
        """Remove members that have been dead for longer than ``TOMBSTONE_S``."""
        expired = [
            i for i, at_s in self._died_at_s.items() if at_s + TOMBSTONE_S < now_s
        ]
        for instance in expired:
            del self._died_at_s[instance]
            del self._members[instance]
            del self._buckets[_bucket_of(instance)][instance]

    def digests(self) -> bytes:
        """Return the digests of all buckets, concatenated."""
        return b"".join(
            digest.to_bytes(BUCKET_DIGEST_BYTES, "big") for digest in self._digests
        )

    def in_different_buckets(self, digests: bytes) -> list[Member]:
        """Return the members in buckets whose digest differs from the given one."""
        if len(digests) != DIGEST_BUCKETS * BUCKET_DIGEST_BYTES:
            return []
        ours = self.digests()
        members: list[Member] = []
        for index, bucket in enumerate(self._buckets):
            start = index * BUCKET_DIGEST_BYTES
            end = start + BUCKET_DIGEST_BYTES
            if ours[start:end] != digests[start:end]:
                members.extend(self._members[instance] for instance in bucket)
        return members

    def _store(self, member: Member, now_s: float) -> None:
        bucket = _bucket_of(member.instance)
        hashes = self._buckets[bucket]
        record_hash = _record_hash(member)
        self._digests[bucket] ^= hashes.get(member.instance, 0) ^ record_hash
        hashes[member.instance] = record_hash
        self._members[member.instance] = member
        if member.state is MemberState.DEAD:
            self._died_at_s.setdefault(member.instance, now_s)
            return
        self._died_at_s.pop(member.instance, None)


def _bucket_of(instance: str) -> int:
    return xxhash.xxh32_intdigest(instance.encode()) % DIGEST_BUCKETS


def _record_hash(member: Member) -> int:
    if member.state is MemberState.DEAD:
        return 0
    text = (
        f"{member.instance}|{member.incarnation}|{member.revision}"
        f"|{member.state.value}|{member.is_leaving}"
    )
    return xxhash.xxh64_intdigest(text.encode()) & _DIGEST_MASK
