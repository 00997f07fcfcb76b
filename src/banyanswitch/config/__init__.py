"""Library for operators: build, validate, parse and render a configuration."""

from banyanswitch.config.documents import parse, render
from banyanswitch.config.models import (
    Configuration,
    KvStore,
    Limits,
    Link,
    Priority,
    Retention,
    ReusePolicy,
    Service,
    ServiceKind,
    SwapPolicy,
    Upstream,
    WeightRelease,
    Workspace,
)
from banyanswitch.config.validation import validate

__all__ = [
    "Configuration",
    "KvStore",
    "Limits",
    "Link",
    "Priority",
    "Retention",
    "ReusePolicy",
    "Service",
    "ServiceKind",
    "SwapPolicy",
    "Upstream",
    "WeightRelease",
    "Workspace",
    "parse",
    "render",
    "validate",
]
