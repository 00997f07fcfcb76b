"""Validated settings of the serving process, from flags and the environment."""

from collections.abc import Callable, Mapping
from dataclasses import Field, dataclass, field, fields
from enum import Enum
from typing import Any
from urllib.parse import urlsplit

from banyanswitch.exceptions import Finding, SettingsError

ENVIRONMENT_PREFIX = "BANYANSWITCH_"
MIN_SECRET_CHARACTERS = 16

Check = Callable[[Any], str | None]
"""Returns the reason why a value is invalid, or ``None`` if it is valid."""


class SettingSource(Enum):
    """Source of the value of a setting."""

    FLAG = "flag"
    ENVIRONMENT = "environment"
    DEFAULT = "default"


@dataclass(frozen=True, slots=True)
class EffectiveSetting:
    """One setting with its effective value, for ``--check-settings``."""

    name: str
    value: str
    source: SettingSource


def _check_not_empty(value: str) -> str | None:
    return None if value else "is required"


def _check_url(value: str) -> str | None:
    parts = urlsplit(value)
    if parts.scheme in {"http", "https"} and parts.hostname:
        return None
    return "must be an http URL, for example http://127.0.0.1:8080"


def _check_optional_url(value: str) -> str | None:
    return _check_url(value) if value else None


def _check_port(value: int) -> str | None:
    return None if 0 <= value <= 65_535 else "must be from 0 to 65535"


def _check_positive(value: float) -> str | None:
    return None if value > 0 else "must be > 0"


def _check_secret(value: str) -> str | None:
    if len(value) >= MIN_SECRET_CHARACTERS:
        return None
    return f"must have at least {MIN_SECRET_CHARACTERS} characters"


def _check_optional_secret(value: str) -> str | None:
    return _check_secret(value) if value else None


def _setting(
    help_text: str,
    *,
    default: object = "",
    check: Check | None = None,
    is_secret: bool = False,
) -> Any:
    metadata = {"help": help_text, "check": check, "is_secret": is_secret}
    return field(default=default, metadata=metadata, repr=not is_secret)


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """Settings of ``banyanswitch-entry``."""

    instance: str = _setting("name of this instance", check=_check_not_empty)
    failure_domain: str = _setting(
        "failure domain of this instance", check=_check_not_empty
    )
    host: str = _setting("address to listen on", default="127.0.0.1")
    port: int = _setting("port for callers", default=8080, check=_check_port)
    public_url: str = _setting(
        "URL that callers are told to use; empty derives it from host and port",
        check=_check_optional_url,
    )
    peer_port: int = _setting(
        "port for other instances", default=7080, check=_check_port
    )
    peer_seeds: str = _setting("comma-separated peer addresses to ask first")
    peer_key: str = _setting(
        "key that authenticates messages between instances and resume tokens",
        check=_check_secret,
        is_secret=True,
    )
    peer_key_previous: str = _setting(
        "key that is still accepted during a rotation",
        check=_check_optional_secret,
        is_secret=True,
    )
    table_url: str = _setting("URL of the table service", check=_check_url)
    object_url: str = _setting(
        "URL of the object store; empty takes the table service's",
        check=_check_optional_url,
    )
    instance_list_url: str = _setting(
        "URL of the platform's list of instances", check=_check_optional_url
    )
    platform_timeout_s: float = _setting(
        "deadline of one call to the platform", default=2.0, check=_check_positive
    )
    table_writes_per_s: float = _setting(
        "items that all instances together may write to the table in a second",
        default=300.0,
        check=_check_positive,
    )
    address_ttl_s: float = _setting(
        "time for which callers keep an address", default=10.0, check=_check_positive
    )
    drain_timeout_s: float = _setting(
        "longest time that a planned stop waits for streams",
        default=900.0,
        check=_check_positive,
    )
    load_poll_s: float = _setting(
        "time between load reports of one upstream", default=0.5, check=_check_positive
    )
    heartbeat_s: float = _setting(
        "time between heartbeats", default=1.0, check=_check_positive
    )
    lease_s: float = _setting(
        "duration of a lease", default=10.0, check=_check_positive
    )
    claim_s: float = _setting(
        "time after which a claim without a result counts as unknown",
        default=60.0,
        check=_check_positive,
    )
    max_body_bytes: int = _setting(
        "largest request body", default=8 * 1024 * 1024, check=_check_positive
    )
    statsd_host: str = _setting("address of statsd; empty sends no metrics")
    statsd_port: int = _setting("port of statsd", default=8125, check=_check_port)
    log_level: str = _setting("debug, info, warning or error", default="info")
    random_seed: int = _setting(
        "seed of jitter and sampling; 0 takes a random one", default=0
    )

    @property
    def effective_object_url(self) -> str:
        """URL of the object store."""
        return self.object_url or self.table_url


@dataclass(frozen=True, slots=True)
class LoadedSettings:
    """Settings together with the source of each value."""

    settings: EntrySettings
    effective: tuple[EffectiveSetting, ...]


@dataclass(frozen=True, slots=True)
class DescribedSetting:
    """One setting for the help text and the operators' page."""

    name: str
    variable: str
    help_text: str
    default: str


def described_settings() -> tuple[DescribedSetting, ...]:
    """Return all settings in the order of their declaration."""
    return tuple(
        DescribedSetting(
            setting.name,
            ENVIRONMENT_PREFIX + setting.name.upper(),
            setting.metadata["help"],
            str(setting.default),
        )
        for setting in fields(EntrySettings)
    )


def load_settings(
    flags: Mapping[str, object], environment: Mapping[str, str]
) -> LoadedSettings:
    """Merge flags over environment over defaults, and validate the result.

    Raises
    ------
    SettingsError
        If a setting is unknown or invalid; contains all findings.
    """
    findings = _unknown_flags(flags)
    values: dict[str, Any] = {}
    effective: list[EffectiveSetting] = []
    for setting in fields(EntrySettings):
        raw, source = _raw_value(setting, flags, environment)
        value, reason = _convert(setting, raw)
        if reason is not None:
            findings.append(Finding(_place(setting, source), reason))
            continue
        values[setting.name] = value
        effective.append(_describe(setting, value, source))
    if findings:
        raise SettingsError(findings)
    return LoadedSettings(EntrySettings(**values), tuple(effective))


def _unknown_flags(flags: Mapping[str, object]) -> list[Finding]:
    known = {setting.name for setting in fields(EntrySettings)}
    return [
        Finding(f"--{name}", "is not a setting") for name in flags if name not in known
    ]


def _raw_value(
    setting: Field[Any], flags: Mapping[str, object], environment: Mapping[str, str]
) -> tuple[object, SettingSource]:
    if setting.name in flags:
        return flags[setting.name], SettingSource.FLAG
    variable = ENVIRONMENT_PREFIX + setting.name.upper()
    if variable in environment:
        return environment[variable], SettingSource.ENVIRONMENT
    return setting.default, SettingSource.DEFAULT


def _convert(setting: Field[Any], raw: object) -> tuple[Any, str | None]:
    kind: type = type(setting.default)
    try:
        value = kind(raw)
    except (TypeError, ValueError):
        return None, f"must be of type {kind.__name__}"
    check: Check | None = setting.metadata["check"]
    if check is None:
        return value, None
    return value, check(value)


def _place(setting: Field[Any], source: SettingSource) -> str:
    if source is SettingSource.ENVIRONMENT:
        return ENVIRONMENT_PREFIX + setting.name.upper()
    return f"--{setting.name}"


def _describe(
    setting: Field[Any], value: object, source: SettingSource
) -> EffectiveSetting:
    is_secret = setting.metadata["is_secret"]
    shown = "<set>" if is_secret and value else str(value)
    return EffectiveSetting(setting.name, shown, source)
