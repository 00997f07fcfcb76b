"""Changes are committed atomically and once, and conflicts name the other change."""

import asyncio

import pytest

from banyanswitch.components.configuration.const import REVISIONS_PER_SNAPSHOT
from banyanswitch.components.configuration.errors import (
    AcceptanceUnknownError,
    ContentError,
    RevisionConflictError,
)
from banyanswitch.components.configuration.repository import (
    EMPTY_CONTENT,
    ConfigurationRepository,
    Content,
)
from banyanswitch.config import Configuration
from banyanswitch.config.records import from_records
from banyanswitch.exceptions import PlatformUnavailableError
from tests.components.configuration.builders import (
    apply,
    make_configuration,
    with_limit,
)
from tests.fakes.table import FakeTable, TableFault

FEW = make_configuration(10)
MANY = make_configuration(3000)


async def read(table: FakeTable, base: Content = EMPTY_CONTENT) -> Content:
    repository = ConfigurationRepository(table, table)
    accepted = await repository.async_head()
    assert accepted.head is not None
    return await repository.async_content(accepted.head, base)


def configuration_of(content: Content) -> Configuration:
    return from_records(content.records.items())


@pytest.mark.parametrize("configuration", [FEW, MANY], ids=["few", "many"])
async def test_accepted_content_can_be_read(configuration: Configuration) -> None:
    table = FakeTable()
    acceptance = await apply(table, configuration)
    assert acceptance.revision == 1
    assert configuration_of(await read(table)) == configuration


@pytest.mark.parametrize("configuration", [FEW, MANY], ids=["few", "many"])
async def test_a_change_of_any_size_is_one_small_transaction(
    configuration: Configuration,
) -> None:
    table = FakeTable()
    await apply(table, configuration)
    assert table.counts.transactions == 1
    assert table.counts.written_items == 3
    assert max(len(item.value) for item in table.items.values()) < 256 * 1024


async def test_same_content_creates_no_new_revision() -> None:
    table = FakeTable()
    await apply(table, FEW)
    acceptance = await apply(table, FEW)
    assert (acceptance.revision, acceptance.changes) == (1, ())
    assert table.counts.transactions == 1


@pytest.mark.looptime
async def test_conflict_names_the_accepted_change() -> None:
    table = FakeTable(latency_s=0.01)
    await apply(table, FEW)
    results = await asyncio.gather(
        apply(table, with_limit(FEW, 0, 1), operator="lan"),
        apply(table, with_limit(FEW, 1, 1), operator="minh"),
        return_exceptions=True,
    )
    conflicts = [r for r in results if isinstance(r, RevisionConflictError)]
    assert len(conflicts) == 1
    assert (conflicts[0].revision, conflicts[0].operator) in {(2, "lan"), (2, "minh")}
    assert (await read(table)).revision == 2


async def test_change_based_on_an_older_revision_is_a_conflict() -> None:
    table = FakeTable()
    await apply(table, FEW)
    await apply(table, with_limit(FEW, 0, 1), operator="minh", expected_revision=1)
    with pytest.raises(RevisionConflictError) as caught:
        await apply(table, with_limit(FEW, 1, 1), expected_revision=1)
    assert (caught.value.revision, caught.value.operator) == (2, "minh")


@pytest.mark.looptime
@pytest.mark.parametrize("fault", [TableFault.LOSE_ANSWER, TableFault.LOSE_REQUEST])
async def test_lost_response_is_resolved_by_the_attempt_identity(
    fault: TableFault,
) -> None:
    table = FakeTable(write_faults=[fault])
    acceptance = await apply(table, FEW)
    assert acceptance.revision == 1
    assert len([key for key in table.items if key.startswith("audit/")]) == 1
    assert (await read(table)).revision == 1


@pytest.mark.looptime
async def test_lost_response_followed_by_another_change() -> None:
    table = FakeTable(write_faults=[TableFault.LOSE_ANSWER])
    first = asyncio.create_task(apply(table, FEW, operator="lan"))
    await asyncio.sleep(0.1)
    second = await apply(table, with_limit(FEW, 0, 1), operator="minh")
    assert ((await first).revision, second.revision) == (1, 2)


@pytest.mark.looptime
async def test_unknown_outcome_is_reported() -> None:
    table = FakeTable(write_faults=[TableFault.LOSE_REQUEST] * 5)
    with pytest.raises(AcceptanceUnknownError, match="attempt-x"):
        await apply(table, FEW, attempt="attempt-x")


async def test_refused_change_has_no_effect() -> None:
    table = FakeTable(write_faults=[TableFault.REFUSE])
    with pytest.raises(PlatformUnavailableError):
        await apply(table, FEW)
    assert table.items == {}


async def test_snapshot_limits_the_reads_of_a_cold_start() -> None:
    table = FakeTable()
    for number in range(REVISIONS_PER_SNAPSHOT + 3):
        await apply(table, with_limit(FEW, 0, number + 1))
    table.counts.read_calls = table.counts.read_items = 0
    content = await read(table)
    assert content.revision == REVISIONS_PER_SNAPSHOT + 3
    assert table.counts.read_items <= 1 + 3


async def test_damaged_object_is_refused() -> None:
    table = FakeTable()
    await apply(table, MANY)
    name = next(name for name in table.objects if name.startswith("config-bucket-"))
    table.objects[name] = table.objects[name][:-5]
    with pytest.raises(ContentError):
        await read(table)


@pytest.mark.looptime
async def test_change_accepted_after_the_head_was_read_is_a_conflict() -> None:
    table = FakeTable(latency_s=0.01)
    await apply(table, FEW)

    async def async_apply_later() -> object:
        await asyncio.sleep(0.005)
        return await apply(table, with_limit(FEW, 0, 2), operator="minh")

    results = await asyncio.gather(
        apply(table, with_limit(FEW, 0, 1), operator="lan"),
        async_apply_later(),
        return_exceptions=True,
    )
    assert sorted(type(result).__name__ for result in results) == [
        "Acceptance",
        "RevisionConflictError",
    ]


async def test_content_matches_its_head_when_a_later_revision_is_stored() -> None:
    table = FakeTable()
    await apply(table, FEW)
    repository = ConfigurationRepository(table, table)
    accepted = await repository.async_head()
    assert accepted.head is not None
    await apply(table, with_limit(FEW, 0, 1))
    content = await repository.async_content(accepted.head, EMPTY_CONTENT)
    assert content.revision == 1
    assert configuration_of(content) == FEW
