"""Compact form of a group's loads."""

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


def upstream_hash(upstream: UpstreamId) -> int:
    """Return the hash that stands for an upstream in a digest."""
    return xxhash.xxh32_intdigest(upstream.encode())


def version_names(loads: Iterable[UpstreamLoad]) -> tuple[str, ...]:
    """Return the weight versions of the loads, each once, in their order."""
    return tuple(sorted({load.weight_version or "" for load in loads}))


def encode_load(load: UpstreamLoad, versions: Sequence[str]) -> LoadEntry:
    """Return the compact form of one load."""
    flags = LoadFlag(0)
    if load.is_leaving:
        flags |= LoadFlag.LEAVING
    if load.is_loading:
        flags |= LoadFlag.LOADING
    return LoadEntry(
        upstream_hash=upstream_hash(load.upstream),
        running_requests=load.running_requests,
        queued_requests=load.queued_requests,
        queued_prefill_units=-(-load.queued_prefill_tokens // TOKENS_PER_UNIT),
        flags=int(flags),
        version_index=versions.index(load.weight_version or ""),
    )


def decode_loads(
    digest: LoadDigest, upstreams: Sequence[Upstream], now_s: float
) -> list[UpstreamLoad]:
    """Return the loads of those upstreams that the configuration here knows."""
    names = {upstream_hash(upstream.name): upstream.name for upstream in upstreams}
    return [
        _decode(entry, names[entry.upstream_hash], digest.versions, now_s)
        for entry in digest.entries
        if entry.upstream_hash in names
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
