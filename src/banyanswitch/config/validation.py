"""Validation of a configuration; each finding is reported with its place."""

import re
from collections.abc import Hashable, Iterable, Iterator, Sequence
from typing import Final
from urllib.parse import urlsplit

from banyanswitch.config.models import (
    SCHEMA_VERSION,
    Configuration,
    KvStore,
    Limits,
    Link,
    Retention,
    ReusePolicy,
    Service,
    ServiceKind,
    SwapPolicy,
    Upstream,
    WeightRelease,
    Workspace,
)
from banyanswitch.exceptions import Finding

MAX_NAME_CHARACTERS: Final = 63
MAX_KEYS_PER_WORKSPACE: Final = 16

_NAME_PATTERN: Final = re.compile(
    rf"[A-Za-z0-9][A-Za-z0-9._-]{{0,{MAX_NAME_CHARACTERS - 1}}}"
)
_KEY_DIGEST_PATTERN: Final = re.compile(r"[0-9a-f]{64}")

Findings = Iterator[Finding]


def validate(configuration: Configuration) -> tuple[Finding, ...]:
    """Validate a configuration.

    Returns
    -------
    findings : tuple of Finding
        All findings, grouped by section; empty if the configuration is valid.
    """
    return tuple(_check_configuration(configuration))


def _check_configuration(configuration: Configuration) -> Findings:
    if configuration.schema_version != SCHEMA_VERSION:
        yield Finding("schema_version", f"must be {SCHEMA_VERSION}")
    yield from _check_services(configuration)
    yield from _check_workspaces(configuration.workspaces)
    yield from _check_upstreams(configuration)
    yield from _check_stores(configuration.stores)
    yield from _check_links(configuration)
    yield from _check_releases(configuration)
    yield from _check_retention(configuration.retention)


def _check_services(configuration: Configuration) -> Findings:
    services = configuration.services
    yield from _check_names("services", "name", [service.name for service in services])
    released = {
        (release.service, release.version) for release in configuration.releases
    }
    for index, service in enumerate(services):
        place = f"services[{index}]"
        yield from _check_service(place, service)
        if service.weight_version is None:
            continue
        if (service.name, service.weight_version) not in released:
            yield Finding(f"{place}.weight_version", "is not among the releases")


def _check_service(place: str, service: Service) -> Findings:
    is_model = service.kind is ServiceKind.MODEL
    if is_model and service.weight_version is None:
        yield Finding(f"{place}.weight_version", "is required for a model service")
    if not is_model and service.weight_version is not None:
        yield Finding(f"{place}.weight_version", "must be absent for a plain service")
    yield from _positive(f"{place}.piece_tokens", service.piece_tokens)
    yield from _positive(f"{place}.piece_size_bytes", service.piece_size_bytes)
    yield from _positive(f"{place}.max_prompt_tokens", service.max_prompt_tokens)
    yield from _positive(f"{place}.first_token_target_s", service.first_token_target_s)
    yield from _positive(f"{place}.request_timeout_s", service.request_timeout_s)
    yield from _check_swap(f"{place}.swap", service.swap)
    yield from _check_reuse(f"{place}.reuse", service.reuse)


def _check_swap(place: str, swap: SwapPolicy) -> Findings:
    yield from _positive(f"{place}.loads_at_once", swap.loads_at_once)
    yield from _positive(f"{place}.load_s", swap.load_s)
    yield from _share(f"{place}.min_serving_share", swap.min_serving_share)
    yield from _positive(f"{place}.order_lifetime_s", swap.order_lifetime_s)


def _check_reuse(place: str, reuse: ReusePolicy) -> Findings:
    yield from _not_negative(f"{place}.first_token_weight", reuse.first_token_weight)
    yield from _not_negative(f"{place}.recompute_weight", reuse.recompute_weight)
    yield from _not_negative(f"{place}.link_weight", reuse.link_weight)


def _check_workspaces(workspaces: Sequence[Workspace]) -> Findings:
    names = [workspace.name for workspace in workspaces]
    yield from _check_names("workspaces", "name", names)
    owners: dict[str, str] = {}
    for index, workspace in enumerate(workspaces):
        place = f"workspaces[{index}]"
        yield from _check_key_digests(f"{place}.key_digests", workspace, owners)
        yield from _check_limits(f"{place}.limits", workspace.limits)


def _check_key_digests(
    place: str, workspace: Workspace, owners: dict[str, str]
) -> Findings:
    if len(workspace.key_digests) > MAX_KEYS_PER_WORKSPACE:
        yield Finding(place, f"must have at most {MAX_KEYS_PER_WORKSPACE} digests")
    for index, key_digest in enumerate(workspace.key_digests):
        key_place = f"{place}[{index}]"
        if not _KEY_DIGEST_PATTERN.fullmatch(key_digest):
            yield Finding(key_place, "must be a SHA-256 digest of 64 hex digits")
            continue
        if key_digest in owners:
            yield Finding(key_place, f"is a key of {owners[key_digest]} already")
            continue
        owners[key_digest] = workspace.name


def _check_limits(place: str, limits: Limits) -> Findings:
    yield from _positive(f"{place}.requests_per_s", limits.requests_per_s)
    yield from _positive(f"{place}.concurrent_requests", limits.concurrent_requests)
    yield from _share(f"{place}.link_share", limits.link_share)


def _check_upstreams(configuration: Configuration) -> Findings:
    upstreams = configuration.upstreams
    yield from _check_names("upstreams", "name", [item.name for item in upstreams])
    yield from _unique("upstreams", "url", [item.url for item in upstreams])
    services = {service.name for service in configuration.services}
    for index, upstream in enumerate(upstreams):
        place = f"upstreams[{index}]"
        if upstream.service not in services:
            yield Finding(f"{place}.service", f"{upstream.service!r} is not a service")
        yield from _check_upstream(place, upstream)


def _check_upstream(place: str, upstream: Upstream) -> Findings:
    yield from _url(f"{place}.url", upstream.url)
    yield from _name(f"{place}.failure_domain", upstream.failure_domain)
    yield from _positive(f"{place}.slots", upstream.slots)
    yield from _positive(f"{place}.prefill_tokens_per_s", upstream.prefill_tokens_per_s)


def _check_stores(stores: Sequence[KvStore]) -> Findings:
    yield from _check_names("stores", "name", [store.name for store in stores])
    for index, store in enumerate(stores):
        place = f"stores[{index}]"
        yield from _url(f"{place}.url", store.url)
        yield from _name(f"{place}.failure_domain", store.failure_domain)
        yield from _not_negative(f"{place}.memory_bytes", store.memory_bytes)
        yield from _not_negative(f"{place}.disk_bytes", store.disk_bytes)


def _check_links(configuration: Configuration) -> Findings:
    links: Sequence[Link] = configuration.links
    stores = {store.name for store in configuration.stores}
    yield from _unique("links", "store", [link.store for link in links])
    for index, link in enumerate(links):
        place = f"links[{index}]"
        if link.store not in stores:
            yield Finding(f"{place}.store", f"{link.store!r} is not a store")
        yield from _positive(f"{place}.bytes_per_s", link.bytes_per_s)
        yield from _share(f"{place}.background_share", link.background_share)


def _check_releases(configuration: Configuration) -> Findings:
    releases: Sequence[WeightRelease] = configuration.releases
    kinds = {service.name: service.kind for service in configuration.services}
    identities = [(release.service, release.version) for release in releases]
    yield from _unique("releases", "version", identities)
    for index, release in enumerate(releases):
        place = f"releases[{index}]"
        yield from _name(f"{place}.version", release.version)
        yield from _url(f"{place}.source", release.source)
        kind = kinds.get(release.service)
        if kind is None:
            yield Finding(f"{place}.service", f"{release.service!r} is not a service")
        if kind is ServiceKind.PLAIN:
            yield Finding(f"{place}.service", "must be a model service")


def _check_retention(retention: Retention) -> Findings:
    yield from _positive("retention.idempotency_s", retention.idempotency_s)
    yield from _positive("retention.audit_s", retention.audit_s)


def _check_names(section: str, field_name: str, names: Sequence[str]) -> Findings:
    for index, name in enumerate(names):
        yield from _name(f"{section}[{index}].{field_name}", name)
    yield from _unique(section, field_name, names)


def _unique(section: str, field_name: str, values: Iterable[Hashable]) -> Findings:
    first_index: dict[Hashable, int] = {}
    for index, value in enumerate(values):
        if value in first_index:
            reason = f"is the same as in {section}[{first_index[value]}]"
            yield Finding(f"{section}[{index}].{field_name}", reason)
            continue
        first_index[value] = index


def _name(place: str, value: str) -> Findings:
    if _NAME_PATTERN.fullmatch(value):
        return
    reason = (
        f"must have 1 to {MAX_NAME_CHARACTERS} letters, digits, '.', '_' or '-' "
        "and begin with a letter or digit"
    )
    yield Finding(place, reason)


def _url(place: str, value: str) -> Findings:
    try:
        parts = urlsplit(value)
        is_valid = parts.scheme in {"http", "https"} and bool(parts.hostname)
        is_valid = is_valid and parts.port != 0
    except ValueError:
        is_valid = False
    if not is_valid:
        yield Finding(place, "must be an http or https URL with a host")


def _positive(place: str, value: float) -> Findings:
    if not 0 < value < float("inf"):
        yield Finding(place, "must be > 0")


def _not_negative(place: str, value: float) -> Findings:
    if not 0 <= value < float("inf"):
        yield Finding(place, "must be >= 0")


def _share(place: str, value: float) -> Findings:
    if not 0 <= value <= 1:
        yield Finding(place, "must be from 0 to 1")
