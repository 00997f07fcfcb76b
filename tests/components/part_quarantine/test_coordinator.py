"""Instances that report the ends of upstreams, and what they withhold together."""

import asyncio
import itertools
import random
from collections.abc import AsyncIterator, Callable

import pytest

from banyanswitch.components.forwarding.models import PromptPart, RequestMetadata
from banyanswitch.components.forwarding.request_content import RequestContent
from banyanswitch.components.http1.models import Request
from banyanswitch.components.part_quarantine.coordinator import PartQuarantine
from banyanswitch.components.part_quarantine.models import QuarantineReport
from banyanswitch.components.part_quarantine.row_store import QuarantineStore
from banyanswitch.decisions.part_quarantine import Combination
from banyanswitch.exceptions import PlatformUnavailableError
from tests.components.forwarding.fakes import record
from tests.components.part_quarantine.eras import FixedEra
from tests.fakes.peers import FakeNetwork
from tests.fakes.table import FakeTable

pytestmark = pytest.mark.looptime(noop_cycles=1)
RETENTION_S = 3.0
TRIAL_S = 8.0
SETTLED_S = 1.0


BODIES = itertools.count()


def request(parts: str, body: bytes | None = None) -> RequestContent:
    """Return a request with one-letter shared parts; no other one has its body."""
    metadata = RequestMetadata(
        attempt=b"a1",
        host="h",
        key=None,
        time_left_s=5.0,
        model="m",
        parts=tuple(PromptPart(part, 100) for part in [*parts, "own"]),
        prompt_tokens=1000,
        output_tokens=10,
    )
    content = b"%d" % next(BODIES) if body is None else body
    return RequestContent(Request(b"POST", b"/x", (), content, 0.0), metadata, None)


class Node:
    """Instance whose reports reach the others at once."""

    def __init__(
        self, nodes: list["Node"], table: FakeTable, network: FakeNetwork
    ) -> None:
        number = len(nodes)
        peer = network.add(number)
        self._nodes = nodes
        self.quarantine = PartQuarantine(peer)
        self.quarantine.on_evidence = self.report
        self.eras = FixedEra()
        self.store = QuarantineStore(
            quarantine=self.quarantine,
            table=table,
            eras=self.eras,
            peers=peer,
            generator=random.Random(number),
        )
        self.task = asyncio.create_task(self.store.async_run())
        nodes.append(self)

    def report(self) -> None:
        report = self.quarantine.report(RETENTION_S)
        for node in self._nodes:
            if node is not self:
                node.quarantine.apply(report)

    def end(
        self,
        name: str,
        parts: str,
        response_age_s: float | None = 0.1,
        body: bytes | None = None,
    ) -> None:
        broken = request(parts, body)
        self.quarantine.note_broken(record(name), broken, response_age_s)

    def serve(self, served: RequestContent, upstream: str = "other") -> None:
        """Serve a request that was sent to an upstream just now."""
        sent_at_s = asyncio.get_running_loop().time()
        self.quarantine.note_served(
            served, record(upstream), sent_at_s, has_read_parts=True
        )

    def is_withheld(self, parts: str, body: bytes | None = None) -> bool:
        return bool(self.quarantine.withheld(request(parts, body)))


StartNodes = Callable[[], list[Node]]


@pytest.fixture
async def table() -> FakeTable:
    return FakeTable(latency_s=0.01)


@pytest.fixture
async def start(table: FakeTable) -> AsyncIterator[StartNodes]:
    nodes: list[Node] = []
    network = FakeNetwork()

    def start_nodes() -> list[Node]:
        for _ in range(3):
            Node(nodes, table, network)
        return nodes

    yield start_nodes
    for node in nodes:
        node.task.cancel()


async def async_end_upstreams(nodes: list[Node], parts: str, count: int = 3) -> None:
    """Let upstreams end, each under a request of another instance."""
    for number in range(count):
        nodes[number % len(nodes)].end(f"u{number}", parts)
        await asyncio.sleep(SETTLED_S)


# Guards against crashes that no instance sees often enough to act.
async def test_ends_seen_by_different_instances_count_together(
    start: StartNodes,
) -> None:
    nodes = start()
    for node in nodes:
        node.serve(request("a"))
    nodes[0].end("u0", "ax")
    await asyncio.sleep(SETTLED_S)
    nodes[1].end("u1", "ax")
    await asyncio.sleep(SETTLED_S)
    nodes[2].serve(request("a"))
    assert not nodes[0].is_withheld("ax")
    nodes[2].end("u2", "ax")
    await asyncio.sleep(SETTLED_S)
    for node in nodes:
        assert node.is_withheld("bx") == node.is_withheld("ax")
        assert node.is_withheld("ax")
        assert not node.is_withheld("ab")


# Guards against one end that counts several times because reports repeat it.
async def test_repeated_reports_of_one_end_count_once(start: StartNodes) -> None:
    nodes = start()
    nodes[0].end("u0", "x")
    nodes[1].end("u0", "x")
    for _ in range(5):
        nodes[0].report()
        nodes[1].report()
        await asyncio.sleep(SETTLED_S)
    assert not nodes[2].is_withheld("x")


# Guards against requests sent by an instance that has just started.
async def test_instance_that_starts_learns_from_the_others(
    start: StartNodes,
) -> None:
    nodes = start()
    await async_end_upstreams(nodes, "x")
    later = Node(nodes, FakeTable(is_down=True), FakeNetwork())
    nodes[0].report()
    assert later.is_withheld("x")
    later.task.cancel()


# Guards against crashes that begin anew after a restart of all instances.
async def test_withheld_parts_survive_all_instances(
    start: StartNodes, table: FakeTable
) -> None:
    nodes = start()
    await async_end_upstreams(nodes, "x")
    for node in nodes:
        node.task.cancel()
    started = Node([], table, FakeNetwork())
    await asyncio.sleep(SETTLED_S)
    assert started.is_withheld("x")
    started.task.cancel()


# Guards against more trials than one of all instances together.
async def test_one_instance_tries_a_part(start: StartNodes) -> None:
    nodes = start()
    await async_end_upstreams(nodes, "x")
    tried = request("x")
    tries = [node.quarantine.async_try(tried) for node in nodes]
    assert not any(await asyncio.gather(*tries))
    await asyncio.sleep(TRIAL_S)
    tries = [node.quarantine.async_try(tried) for node in nodes]
    assert sum(map(bool, await asyncio.gather(*tries))) == 1
    tries = [node.quarantine.async_try(tried) for node in nodes]
    assert not any(await asyncio.gather(*tries))
    await asyncio.sleep(2 * TRIAL_S)
    tries = [node.quarantine.async_try(tried) for node in nodes]
    assert not any(await asyncio.gather(*tries))


async def test_nothing_is_tried_while_the_store_is_down(
    start: StartNodes, table: FakeTable
) -> None:
    nodes = start()
    await async_end_upstreams(nodes, "x")
    await asyncio.sleep(TRIAL_S)
    table.is_down = True
    with pytest.raises(PlatformUnavailableError):
        await table.async_get(["quarantine/x"])
    assert await nodes[0].quarantine.async_try(request("x")) is None
    assert nodes[0].is_withheld("x")


# Guards against a part that stays withheld at other instances after it was served.
async def test_served_part_is_released_everywhere(
    start: StartNodes, table: FakeTable
) -> None:
    nodes = start()
    await async_end_upstreams(nodes, "x")
    await asyncio.sleep(SETTLED_S)
    assert len(await table.async_query("quarantine/")) == 1
    nodes[1].serve(request("x"))
    for node in nodes:
        node.report()
    await asyncio.sleep(SETTLED_S)
    assert not any(node.is_withheld("x") for node in nodes)
    assert await table.async_query("quarantine/") == ()


# Guards against a first part that is withheld longer than needed to tell it apart.
async def test_combination_narrows_when_one_part_is_served(start: StartNodes) -> None:
    nodes = start()
    await async_end_upstreams(nodes, "ax")
    assert nodes[0].is_withheld("ax")
    assert not nodes[0].is_withheld("bx")
    assert not nodes[0].is_withheld("ab")
    nodes[1].serve(request("ab"))
    for node in nodes:
        assert node.is_withheld("bx")
        assert not node.is_withheld("ab")


async def test_request_that_was_answered_for_long_counts_for_nothing(
    start: StartNodes,
) -> None:
    nodes = start()
    for number in range(4):
        nodes[0].end(f"u{number}", "x", response_age_s=2.0)
        await asyncio.sleep(SETTLED_S)
    assert not nodes[0].is_withheld("x")
    assert nodes[0].quarantine.report(RETENTION_S) == QuarantineReport()


# Guards against a row that the store has back from an older copy.
async def test_outdated_row_withholds_nothing(
    start: StartNodes, table: FakeTable
) -> None:
    nodes = start()
    await async_end_upstreams(nodes, "x")
    await asyncio.sleep(SETTLED_S)
    (row,) = await table.async_query("quarantine/")
    nodes[0].serve(request("x"))
    await asyncio.sleep(SETTLED_S)
    table.items[row.key] = row
    for node in nodes:
        node.eras.number = 2
    await asyncio.sleep(2 * SETTLED_S)
    assert not any(node.is_withheld("x") for node in nodes)
    assert await table.async_query("quarantine/") == ()


# Guards against a failed task when parts are released while others are stored.
async def test_parts_released_during_a_write_are_not_stored(
    start: StartNodes, table: FakeTable
) -> None:
    nodes = start()
    await async_end_upstreams(nodes, "w")
    await asyncio.sleep(SETTLED_S)
    table.latency_s = 2.0
    for node in nodes:
        for part in "xyz":
            node.quarantine.withhold_stored(Combination("m", frozenset(part)), 0)
    await asyncio.sleep(1.0)
    for node in nodes:
        node.serve(request("xyz"))
    await asyncio.sleep(30.0)
    assert not any(node.task.done() for node in nodes)
    rows = await table.async_query("quarantine/")
    assert len(rows) == 1


# Guards against a row that is thrown away because one of its parts is sound.
async def test_row_is_narrowed_to_the_parts_that_were_not_served(
    start: StartNodes,
) -> None:
    node = start()[0]
    node.serve(request("a"))
    assert not node.quarantine.withhold_stored(Combination("m", frozenset("ax")), 0)
    assert node.is_withheld("bx")
    assert not node.is_withheld("ab")


# Guards against reports that name sound parts for ever after the end of upstreams.
async def test_reports_are_empty_again_after_a_while(start: StartNodes) -> None:
    nodes = start()
    await async_end_upstreams(nodes, "ab", count=2)
    nodes[0].serve(request("ab"))
    assert nodes[0].quarantine.report(RETENTION_S).served
    await asyncio.sleep(40.0)
    assert nodes[0].quarantine.report(RETENTION_S) == QuarantineReport()


# Guards against sound requests withheld when upstreams break off connections and go on.
async def test_upstream_that_answers_afterwards_has_not_ended(
    start: StartNodes,
) -> None:
    nodes = start()
    for number in range(4):
        nodes[number % 3].end(f"u{number}", "x")
        await asyncio.sleep(0.05)
        nodes[(number + 1) % 3].serve(request("y"), f"u{number}")
        for node in nodes:
            node.report()
        await asyncio.sleep(SETTLED_S)
    assert not any(node.is_withheld("x") for node in nodes)


# Guards against an end that is overlooked since its upstream broke off before.
async def test_upstream_that_answered_may_end_later(start: StartNodes) -> None:
    nodes = start()
    for number in range(3):
        nodes[0].end(f"u{number}", "a")
        await asyncio.sleep(0.05)
        nodes[0].serve(request("y"), f"u{number}")
        nodes[0].report()
        await asyncio.sleep(SETTLED_S)
    await async_end_upstreams(nodes, "x")
    assert all(node.is_withheld("x") for node in nodes)


# Guards against an end that is forgiven once the upstream has started again.
async def test_response_after_a_restart_voids_no_end(start: StartNodes) -> None:
    nodes = start()
    for number in range(3):
        nodes[0].end(f"u{number}", "x")
        await asyncio.sleep(2.5)
        nodes[0].serve(request("y"), f"u{number}")
    assert nodes[0].is_withheld("x")


# Guards against requests withheld for long as an upstream was slow to answer again.
async def test_late_response_releases_what_was_withheld(start: StartNodes) -> None:
    nodes = start()
    for number in range(3):
        nodes[number].end(f"u{number}", "", body=b"same")
    await asyncio.sleep(SETTLED_S)
    assert all(node.is_withheld("", body=b"same") for node in nodes)
    nodes[1].serve(request("y"), "u0")
    for node in (*nodes, *nodes):
        node.report()
    assert not any(node.is_withheld("", body=b"same") for node in nodes)


# Guards against a popular request withheld by an instance that has not served it.
async def test_request_that_another_instance_served_before_is_blamed_last(
    start: StartNodes,
) -> None:
    nodes = start()
    nodes[1].serve(request("", b"popular"))
    await asyncio.sleep(0.1)
    for number in range(3):
        for body in (b"popular", b"bad"):
            nodes[0].end(f"u{number}", "", body=body)
    for node in nodes:
        node.report()
    await asyncio.sleep(SETTLED_S)
    for node in nodes:
        assert node.is_withheld("", body=b"bad")
        assert not node.is_withheld("", body=b"popular")
