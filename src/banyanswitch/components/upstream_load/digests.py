"""Encoding of the loads of a group as a digest."""

from collections.abc import Iterable, Sequence

import xxhash

from banyanswitch.components.upstream_load.const import TOKENS_PER_UNIT
from banyanswitch.components.upstream_load.models import (
    LoadDigest,
    LoadEntry,
    LoadFlag,
)
from banyanswitch.config.models import Upstream
from banyanswitch.identifiers import UpstreamId, WeightVersion
from banyanswitch.interfaces import UpstreamLoad


def members_hash(upstreams: Iterable[Upstream]) -> int:
    """Return a hash of the names of a group's upstreams in the given order."""
    names = "|".join(upstream.name for upstream in upstreams)
    return xxhash.xxh32_intdigest(names.encode())


def version_names(loads: Iterable[UpstreamLoad | None]) -> tuple[str, ...]:
    """Return the distinct weight versions of the loads in sorted order."""
    return tuple(sorted({load.weight_version or "" for load in loads if load}))


def encode_load(load: UpstreamLoad | None, versions: Sequence[str]) -> LoadEntry | None:
    """Return the digest entry of a load, or ``None`` if the load is unknown."""
    if load is None:
        return None
    flags = LoadFlag(0)
    if load.is_leaving:
        flags |= LoadFlag.LEAVING
    if load.is_loading:
        flags |= LoadFlag.LOADING
    return LoadEntry(
        running_requests=load.running_requests,
        queued_requests=load.queued_requests,
        queued_prefill_units=-(-load.queued_prefill_tokens // TOKENS_PER_UNIT),
        flags=int(flags),
        version_index=versions.index(load.weight_version or ""),
    )


def decode_loads(
    digest: LoadDigest, upstreams: Sequence[Upstream], now_s: float
) -> list[UpstreamLoad]:
    """Return the known loads of a digest.

    The list is empty if the sender's configuration has other upstreams, because the
    entries are matched to upstreams by position.
    """
    if digest.members_hash != members_hash(upstreams):
        return []
    pairs = zip(digest.entries, upstreams, strict=False)
    return [
        _decode(entry, upstream.name, digest.versions, now_s)
        for entry, upstream in pairs
        if entry is not None
    ]


def _decode(
    entry: LoadEntry, name: UpstreamId, versions: Sequence[str], now_s: float
) -> UpstreamLoad:
    version = versions[entry.version_index]
    return UpstreamLoad(
        upstream=name,
        running_requests=entry.running_requests,
        queued_requests=entry.queued_requests,
        queued_prefill_tokens=entry.queued_prefill_units * TOKENS_PER_UNIT,
        weight_version=WeightVersion(version) if version else None,
        is_leaving=bool(entry.flags & LoadFlag.LEAVING),
        is_loading=bool(entry.flags & LoadFlag.LOADING),
        received_at_s=now_s,
    )
