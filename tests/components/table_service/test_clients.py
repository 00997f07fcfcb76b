"""Contract of the platform clients, tested against the stand-in."""

import pytest

from banyanswitch.exceptions import (
    ConditionFailedError,
    PlatformError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from banyanswitch.interfaces import Item, Write, WriteClass
from tests.components.table_service.conftest import Platform

CLAIM = WriteClass.CLAIM
TRANSACT = "/table/transact"


async def test_transaction_is_all_or_nothing(platform: Platform) -> None:
    await platform.table.async_transact([Write("a", b"\x00\xff", 0)], CLAIM)
    with pytest.raises(ConditionFailedError) as caught:
        await platform.table.async_transact(
            [Write("a", b"2", 0), Write("b", b"2", 0)], CLAIM
        )
    assert caught.value.keys == ("a",)
    items = await platform.table.async_get(["a", "b"])
    assert items == (Item("a", 1, b"\x00\xff"),)


async def test_query_pages_in_the_order_of_keys(platform: Platform) -> None:
    writes = [Write(key, b"v", 0) for key in ("p/b", "p/a", "q/a", "p/c")]
    await platform.table.async_transact(writes, CLAIM)
    first = await platform.table.async_query("p/", limit=2)
    rest = await platform.table.async_query("p/", after=first[-1].key)
    assert [item.key for item in (*first, *rest)] == ["p/a", "p/b", "p/c"]


async def test_recreated_item_has_a_higher_revision(
    platform: Platform,
) -> None:
    (first,) = await platform.table.async_transact([Write("a", b"1", 0)], CLAIM)
    await platform.table.async_transact([Write("a", None, first)], CLAIM)
    (last,) = await platform.table.async_transact([Write("a", b"2", 0)], CLAIM)
    assert last > first


@pytest.mark.parametrize(
    ("kind", "error_type", "is_applied"),
    [
        ("fail", PlatformUnavailableError, False),
        ("refuse", PlatformOutcomeUnknownError, False),
        ("lose_answer", PlatformOutcomeUnknownError, True),
        ("delay", PlatformOutcomeUnknownError, False),
    ],
)
async def test_error_tells_whether_a_write_may_have_been_applied(
    platform: Platform, kind: str, error_type: type[PlatformError], is_applied: bool
) -> None:
    await platform.async_add_fault(TRANSACT, kind)
    with pytest.raises(error_type):
        await platform.table.async_transact([Write("a", b"1", 0)], CLAIM)
    assert bool(await platform.table.async_get(["a"])) is is_applied


@pytest.mark.parametrize("kind", ["fail", "refuse", "lose_answer", "delay"])
async def test_read_that_fails_is_unavailable(platform: Platform, kind: str) -> None:
    await platform.async_add_fault("/table/get", kind)
    with pytest.raises(PlatformUnavailableError):
        await platform.table.async_get(["a"])


async def test_stopped_service_is_unavailable(platform: Platform) -> None:
    await platform.async_stop_server()
    with pytest.raises(PlatformUnavailableError):
        await platform.table.async_transact([Write("a", b"1", 0)], CLAIM)


async def test_objects_are_stored_and_deleted(platform: Platform) -> None:
    objects = platform.objects
    assert await objects.async_get_object("answers/a b") is None
    await objects.async_put("answers/a b", b"\x00content")
    assert await objects.async_get_object("answers/a b") == b"\x00content"
    await objects.async_delete_object("answers/a b")
    await objects.async_delete_object("answers/a b")
    assert await objects.async_get_object("answers/a b") is None
