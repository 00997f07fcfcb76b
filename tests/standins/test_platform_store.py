"""Contract tests of the users' platform's store that returns from an older copy."""

import asyncio
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
import pytest
from aiohttp.test_utils import TestClient, TestServer

from banyanswitch_standins.users_platform.drill import StoreDrill
from banyanswitch_standins.users_platform.store import (
    HEADER_ERA,
    EraFault,
    PlatformStore,
)
from tests.standins.conftest import encoded


@dataclass(frozen=True)
class Answer:
    status: int
    era: str | None
    body: dict


@dataclass
class Setup:
    store: PlatformStore
    client: TestClient

    async def async_transact(
        self, key: str, value: str, expected: int | None = None
    ) -> Answer:
        name = {"table": "lease", "part": "", "key": key}
        conditions = [] if expected is None else [{**name, "ver": expected}]
        document = {
            "expectedRevision": conditions,
            "put": [{**name, "value": encoded(value)}],
        }
        return await self.async_call("POST", "/-/rows-tx", json=document)

    async def async_get(self, table: str) -> Answer:
        return await self.async_call("GET", "/-/rows-get", params={"table": table})

    async def async_feed(self, table: str, after: int, wait_ms: int = 0) -> Answer:
        params = {"table": table, "after": str(after), "waitMs": str(wait_ms)}
        return await self.async_call("GET", "/-/rows-feed", params=params)

    async def async_return(self) -> None:
        self.store.go_away()
        await self.store.async_return_from_copy()

    async def async_call(self, method: str, path: str, **options: object) -> Answer:
        async with self.client.request(method, path, **options) as response:
            body = await response.read()
            is_json = response.content_type == "application/json"
            return Answer(
                response.status,
                response.headers.get(HEADER_ERA),
                json.loads(body) if is_json else {},
            )


@pytest.fixture
async def setup() -> AsyncIterator[Setup]:
    store = PlatformStore()
    client = TestClient(TestServer(store.make_app()))
    await client.start_server()
    yield Setup(store, client)
    await client.close()


def keys(answer: Answer) -> list[str]:
    return [row["key"] for row in answer.body["rows"]]


def values(answer: Answer) -> dict[str, str]:
    return {row["key"]: row["value"] for row in answer.body["rows"]}


async def answers_of_each_kind(setup: Setup) -> list[Answer]:
    """Return answers with 200, 410, 412, 404, 500 and 503."""
    store = setup.store
    answers = [
        await setup.async_transact("a", "1"),
        await setup.async_get("lease"),
        await setup.async_feed("lease", 0),
        await setup.async_feed("lease", store.version + 1),
        await setup.async_transact("a", "2", expected=store.version + 1),
        await setup.async_call("GET", "/-/other"),
        await setup.async_call("GET", "/-/rows-feed", params={"after": "x"}),
    ]
    store.faults.is_down = True
    answers += [
        await setup.async_transact("a", "3"),
        await setup.async_get("lease"),
        await setup.async_feed("lease", 0),
    ]
    store.faults.is_down = False
    return answers


async def test_all_answers_carry_the_era(setup: Setup) -> None:
    for era in ("1", "2", "3"):
        answers = await answers_of_each_kind(setup)
        assert [answer.status for answer in answers] == [
            *(200, 200, 200, 410, 412, 404, 500),
            *(503, 503, 503),
        ]
        assert {answer.era for answer in answers} == {era}
        setup.store.take_copy()
        await setup.async_return()


async def test_store_without_a_copy_cannot_return(setup: Setup) -> None:
    with pytest.raises(RuntimeError):
        await setup.store.async_return_from_copy()
    assert (await setup.async_get("op")).era == "1"


async def test_writes_since_the_copy_are_lost(setup: Setup) -> None:
    await setup.async_transact("kept", "1")
    await setup.async_transact("changed", "1")
    setup.store.take_copy()
    before = await setup.async_get("lease")
    await setup.async_transact("changed", "2")
    await setup.async_transact("new", "1")
    await setup.store.async_put("lease", "kept", None)
    await setup.async_return()
    after = await setup.async_get("lease")
    assert after.body["rows"] == before.body["rows"]
    assert after.body["ver"] == before.body["ver"]
    assert after.body["nowMs"] >= before.body["nowMs"]


async def test_clock_continues_across_a_return(setup: Setup) -> None:
    setup.store.take_copy()
    first_ms = (await setup.async_get("op")).body["nowMs"]
    await asyncio.sleep(0.05)
    await setup.async_return()
    assert (await setup.async_get("op")).body["nowMs"] >= first_ms + 50


async def test_return_restores_the_history_of_the_copy(setup: Setup) -> None:
    await setup.async_transact("a", "1")
    await setup.async_transact("b", "1")
    setup.store.take_copy()
    await setup.async_transact("lost", "1")
    setup.store.discard_history()
    assert (await setup.async_feed("lease", 0)).status == 410
    await setup.async_return()
    assert keys(await setup.async_feed("lease", 0)) == ["a", "b"]


async def test_versions_are_given_out_again(setup: Setup) -> None:
    await setup.async_transact("a", "1")
    setup.store.take_copy()
    old = await setup.async_transact("a", "old era")
    await setup.async_return()
    new = await setup.async_transact("b", "new era")
    assert (old.body["ver"], new.body["ver"]) == (2, 2)
    assert (old.era, new.era) == ("1", "2")


async def test_later_version_than_the_stores_gets_410(setup: Setup) -> None:
    await setup.async_transact("a", "1")
    setup.store.take_copy()
    later = (await setup.async_transact("a", "2")).body["ver"]
    await setup.async_return()
    assert (await setup.async_feed("lease", later, wait_ms=5000)).status == 410
    assert (await setup.async_feed("lease", later - 1)).status == 200


async def test_feed_answers_a_version_of_the_era_before(setup: Setup) -> None:
    setup.store.take_copy()
    cursor = (await setup.async_transact("a", "old era")).body["ver"]
    await setup.async_return()
    await setup.async_transact("missed", "new era")
    await setup.async_transact("seen", "new era")
    answer = await setup.async_feed("lease", cursor)
    assert (answer.status, keys(answer)) == (200, ["seen"])


async def test_condition_matches_a_version_of_the_era_before(setup: Setup) -> None:
    setup.store.take_copy()
    expected = (await setup.async_transact("holder", "one")).body["ver"]
    await setup.async_return()
    assert (await setup.async_transact("holder", "x", expected)).status == 412
    await setup.async_transact("holder", "another")
    assert (await setup.async_transact("holder", "one", expected)).status == 200
    assert values(await setup.async_get("lease")) == {"holder": encoded("one")}


@pytest.mark.parametrize("is_away", [True, False])
async def test_waiting_feed_calls_are_aborted(setup: Setup, is_away: bool) -> None:
    store = setup.store
    store.take_copy()
    calls = [
        asyncio.create_task(setup.async_feed("lease", 0, wait_ms=30000))
        for _ in range(3)
    ]
    async with asyncio.timeout(5.0):
        while store.call_counts.get("feed", 0) < 3:
            await asyncio.sleep(0.01)
        store.faults.era = EraFault.MISSING
        store.faults.era_times = 1
        if is_away:
            store.go_away()
        else:
            await store.async_return_from_copy()
        results = await asyncio.gather(*calls, return_exceptions=True)
    assert [type(one) for one in results] == [aiohttp.ServerDisconnectedError] * 3
    assert "feed_answer" not in store.call_counts
    # An aborted call is not an answer, so it does not use up the fault.
    assert (await setup.async_get("lease")).era is None


async def test_feed_call_of_the_new_era_waits_for_its_changes(setup: Setup) -> None:
    setup.store.take_copy()
    await setup.async_return()
    call = asyncio.create_task(setup.async_feed("lease", 0, wait_ms=30000))
    await asyncio.sleep(0.05)
    await setup.async_transact("a", "1")
    async with asyncio.timeout(5.0):
        answer = await call
    assert (answer.era, keys(answer)) == ("2", ["a"])


async def test_store_that_is_away_applies_no_transaction(setup: Setup) -> None:
    setup.store.take_copy()
    setup.store.go_away()
    assert (await setup.async_transact("a", "1")).status == 503
    await setup.store.async_return_from_copy()
    assert (await setup.async_get("lease")).body["rows"] == []


async def test_transaction_received_while_the_store_goes_away_is_refused(
    setup: Setup,
) -> None:
    setup.store.take_copy()
    continued = asyncio.Event()

    async def body() -> AsyncIterator[bytes]:
        yield b'{"put": [{"table": "lease", "key": "a",'
        await continued.wait()
        yield b'"value": ""}]}'

    call = asyncio.create_task(setup.async_call("POST", "/-/rows-tx", data=body()))
    async with asyncio.timeout(5.0):
        while "transact" not in setup.store.call_counts:
            await asyncio.sleep(0.01)
        setup.store.go_away()
        continued.set()
        answer = await call
    assert (answer.status, answer.era) == (503, "1")
    assert setup.store.version == 0


@pytest.mark.parametrize(
    ("fault", "value"),
    [
        (EraFault.MISSING, None),
        (EraFault.NOT_A_NUMBER, "new"),
        (EraFault.LOWER, "1"),
    ],
)
async def test_faults_of_the_header(
    setup: Setup, fault: EraFault, value: str | None
) -> None:
    setup.store.take_copy()
    await setup.async_return()
    faults = setup.store.faults
    faults.era, faults.era_times = fault, 2
    eras = [(await setup.async_get("op")).era for _ in range(3)]
    assert eras == [value, value, "2"]
    faults.era_times = None
    answers = await answers_of_each_kind(setup)
    assert {answer.era for answer in answers} == {value}
    faults.era = None
    assert (await setup.async_get("op")).era == "2"


async def test_drill_rewrites_no_rows_of_transactions(setup: Setup) -> None:
    """Tests that the writer decides, and not the table."""
    store = setup.store
    drill = asyncio.create_task(
        StoreDrill(store, 1, rewrite_within_s=0.05).async_run(0.1, 0.05)
    )
    await asyncio.sleep(0.05)
    await setup.async_transact("system", "1")
    await store.async_put("lease", "operator", b"1")
    await drill
    answer = await setup.async_get("lease")
    assert (answer.era, keys(answer)) == ("2", ["operator"])
