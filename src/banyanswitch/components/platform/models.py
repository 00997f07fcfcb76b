"""Messages of the table service's HTTP interface."""

from dataclasses import dataclass, field

from banyanswitch.interfaces import Item, Write


@dataclass(frozen=True, slots=True)
class GetRequest:
    """Body of a read of single items."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class QueryRequest:
    """Body of a read of a range of items."""

    prefix: str
    after: str
    limit: int


@dataclass(frozen=True, slots=True)
class ItemsAnswer:
    """Items that a read found."""

    items: tuple[Item, ...] = ()


@dataclass(frozen=True, slots=True)
class TransactRequest:
    """Body of a transaction."""

    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class TransactAnswer:
    """Result of a transaction."""

    revisions: tuple[int, ...] = ()
    failed_keys: tuple[str, ...] = field(default=())
