"""JSON documents of a configuration."""

import dataclasses
from collections.abc import Iterator
from typing import Any, get_args, get_origin, get_type_hints

import msgspec

from banyanswitch.config.models import Configuration
from banyanswitch.config.validation import validate
from banyanswitch.exceptions import ConfigurationError, Finding


def render(configuration: Configuration) -> str:
    """Return the JSON document of a valid configuration.

    Raises
    ------
    ConfigurationError
        With every finding, if the configuration is not valid.
    """
    findings = validate(configuration)
    if findings:
        raise ConfigurationError(findings)
    compact = msgspec.json.encode(configuration)
    return msgspec.json.format(compact, indent=2).decode() + "\n"


def parse(document: str | bytes) -> Configuration:
    """Parse and validate a JSON document.

    Raises
    ------
    ConfigurationError
        If the document is not a valid configuration. If it has unknown fields or
        wrong types, only these are reported, with the first wrong type of each
        array element; otherwise every finding of `validate`.
    """
    try:
        content = msgspec.json.decode(document)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigurationError([Finding("document", str(error))]) from error
    if not isinstance(content, dict):
        raise ConfigurationError([Finding("document", "must be a JSON object")])
    findings = [*_unknown_fields("", Configuration, content), *_type_findings(content)]
    if findings:
        raise ConfigurationError(findings)
    configuration = msgspec.convert(content, Configuration)
    findings = list(validate(configuration))
    if findings:
        raise ConfigurationError(findings)
    return configuration


def _unknown_fields(place: str, expected: Any, content: object) -> Iterator[Finding]:
    """Yield a finding for each unknown field; ``msgspec`` ignores unknown fields."""
    if get_origin(expected) is tuple and isinstance(content, list):
        for index, element in enumerate(content):
            element_place = f"{place}[{index}]"
            yield from _unknown_fields(element_place, get_args(expected)[0], element)
        return
    if not dataclasses.is_dataclass(expected) or not isinstance(content, dict):
        return
    known = get_type_hints(expected)
    for name, value in content.items():
        field_place = f"{place}.{name}" if place else name
        if name not in known:
            yield Finding(field_place, "is not a known field")
            continue
        yield from _unknown_fields(field_place, known[name], value)


def _type_findings(content: dict[str, Any]) -> Iterator[Finding]:
    """Yield one finding for each array element or other field with a wrong type."""
    for name, expected in get_type_hints(Configuration).items():
        if name not in content:
            continue
        value = content[name]
        if get_origin(expected) is not tuple:
            yield from _conversion_findings(name, expected, value)
            continue
        if not isinstance(value, list):
            yield Finding(name, "must be an array")
            continue
        for index, element in enumerate(value):
            place = f"{name}[{index}]"
            yield from _conversion_findings(place, get_args(expected)[0], element)


def _conversion_findings(place: str, expected: Any, value: object) -> Iterator[Finding]:
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at `$")
        yield Finding(place + path.rstrip("`"), reason)
