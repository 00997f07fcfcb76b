"""Contract tests of the stand-in for the table service and the object store."""

import aiohttp
import pytest
from aiohttp.test_utils import TestClient

from banyanswitch_standins.table import TableStandIn
from tests.standins.conftest import Serve, encoded


def write(
    key: str, text: str | None = "x", revision: int | None = None
) -> dict[str, object]:
    value = None if text is None else encoded(text)
    return {"key": key, "value": value, "expected_revision": revision}


async def transact(client: TestClient, *writes: object) -> aiohttp.ClientResponse:
    return await client.post("/table/transact", json={"writes": list(writes)})


async def test_transaction_applies_all_writes_or_none(serve: Serve) -> None:
    client = await serve(TableStandIn())
    first = await transact(client, write("a", revision=0), write("b"))
    assert (await first.json()) == {"revisions": [1, 1]}
    second = await transact(client, write("b", "y"), write("a", "y", revision=0))
    assert second.status == 409
    assert await second.json() == {"failed_keys": ["a"]}
    read = await client.post("/table/get", json={"keys": ["b", "a", "none"]})
    assert await read.json() == {
        "items": [
            {"key": "b", "revision": 1, "value": encoded("x")},
            {"key": "a", "revision": 1, "value": encoded("x")},
        ]
    }


async def test_revisions_never_repeat_after_a_delete(serve: Serve) -> None:
    client = await serve(TableStandIn())
    await transact(client, write("a"))
    await transact(client, write("a", None, revision=1))
    again = await transact(client, write("a", revision=0))
    assert (await again.json()) == {"revisions": [3]}


@pytest.mark.parametrize(
    ("query", "keys"),
    [
        ({"prefix": "a/"}, ["a/1", "a/2", "a/3"]),
        ({"prefix": "a/", "after": "a/1", "limit": 1}, ["a/2"]),
        ({"prefix": "a/", "after": "a/3"}, []),
        ({"prefix": "", "after": "a/3"}, ["b/1"]),
        ({"prefix": "b/", "after": "a/1"}, ["b/1"]),
    ],
)
async def test_query_returns_items_in_key_order(
    serve: Serve, query: dict[str, object], keys: list[str]
) -> None:
    client = await serve(TableStandIn())
    await transact(client, *(write(k) for k in ("a/2", "b/1", "a/1", "a/3")))
    response = await client.post("/table/query", json={"after": "", "limit": 9} | query)
    assert [item["key"] for item in (await response.json())["items"]] == keys


async def test_oversized_and_malformed_requests_are_refused(serve: Serve) -> None:
    client = await serve(TableStandIn())
    many = await transact(client, *(write(str(i)) for i in range(101)))
    large = await transact(client, write("a", "x" * (256 * 1024 + 1)))
    assert (many.status, large.status) == (413, 413)
    bad = await client.post("/table/transact", data=b"{")
    assert bad.status == 400


async def test_writes_above_the_rate_get_retry_after(serve: Serve) -> None:
    client = await serve(TableStandIn(writes_per_s=2.0))
    statuses = [(await transact(client, write("a"))).status for _ in range(4)]
    assert statuses[:2] == [200, 200]
    assert 429 in statuses
    limited = await transact(client, *(write(str(i)) for i in range(2)))
    assert float(limited.headers["Retry-After"]) > 0


async def test_lost_response_does_not_undo_the_write(serve: Serve) -> None:
    client = await serve(TableStandIn())
    await client.post(
        "/faults",
        json={"route": "/table/transact", "kind": "lose_answer", "skip": 1, "times": 1},
    )
    assert (await transact(client, write("a", "first"))).status == 200
    with pytest.raises(aiohttp.ClientError):
        await transact(client, write("a", "second"))
    read = await (await client.post("/table/get", json={"keys": ["a"]})).json()
    assert read["items"][0]["value"] == encoded("second")


async def test_fault_by_caller(serve: Serve) -> None:
    client = await serve(TableStandIn())
    await client.post(
        "/faults", json={"route": "/table", "kind": "fail", "caller": "entry-1"}
    )
    writes = {"writes": [write("a")]}
    for caller, status in (("entry-1", 503), ("entry-2", 200)):
        headers = {"X-Banyan-Caller": caller}
        response = await client.post("/table/transact", json=writes, headers=headers)
        assert response.status == status
    await client.delete("/faults")
    assert (await transact(client, write("a"))).status == 200


async def test_objects_are_stored_listed_and_deleted(serve: Serve) -> None:
    client = await serve(TableStandIn())
    await client.put("/objects/configuration/7", data=b"content")
    assert await (await client.get("/objects/configuration/7")).read() == b"content"
    listed = await (await client.get("/objects?prefix=conf")).json()
    assert listed == {"names": ["configuration/7"]}
    await client.delete("/objects/configuration/7")
    assert (await client.get("/objects/configuration/7")).status == 404


async def test_unknown_fault_kind_is_refused(serve: Serve) -> None:
    client = await serve(TableStandIn())
    response = await client.post("/faults", json={"route": "/", "kind": "unknown"})
    assert response.status == 400
