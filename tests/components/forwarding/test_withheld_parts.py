"""Requests with withheld prompt parts reach no upstream; no network."""

import asyncio

import pytest
from structlog.testing import capture_logs

from banyanswitch.components.forwarding.models import Repeatability
from banyanswitch.decisions.part_quarantine import Combination
from tests.components.forwarding.fakes import RETRY_AFTER, SHARED_PARTS
from tests.components.forwarding.instance import Instance

pytestmark = pytest.mark.looptime
WITHHELD = Combination("m", frozenset("x"))
STREAM = Repeatability.RESUMABLE_STREAM


def shared_parts(names: str) -> tuple[tuple[bytes, bytes], ...]:
    return ((SHARED_PARTS, names.encode()),)


# Guards against a refusal that is late, or says nothing of when to come back.
async def test_request_with_a_withheld_part_is_refused_at_once() -> None:
    instance = Instance()
    upstream = instance.add("a", 1)
    instance.quarantine.withhold_stored(WITHHELD, 0)
    refused, handling = instance.send(STREAM, headers=shared_parts("ax"))
    await handling
    assert refused.status == 503
    assert float(refused.headers[RETRY_AFTER]) > 0.0
    served, handling = instance.send(STREAM, headers=shared_parts("ab"))
    await handling
    assert served.status == 200
    assert len(upstream.exchanges) == 1


# Guards against a repeated request that ends one more upstream.
async def test_broken_request_is_not_repeated_once_its_part_is_withheld() -> None:
    instance = Instance()
    broken = instance.add("a", 1, queue_s=1.0, breaks_off=True)
    reply, handling = instance.send(STREAM, headers=shared_parts("x"))
    await asyncio.sleep(0.5)
    other = instance.add("b", 1)
    instance.quarantine.withhold_stored(WITHHELD, 0)
    await handling
    assert len(broken.exchanges) == 1
    assert other.exchanges == []
    assert reply.is_aborted


# Guards against a request that waits for capacity while its part becomes known.
async def test_waiting_request_is_refused_when_its_part_is_withheld() -> None:
    instance = Instance()
    upstream = instance.add("a", 1)
    instance.fill_memory(upstream)
    reply, handling = instance.send(STREAM, headers=shared_parts("x"))
    await asyncio.sleep(0.5)
    assert reply.status is None
    instance.quarantine.withhold_stored(WITHHELD, 0)
    await asyncio.sleep(0.2)
    assert reply.status == 503
    await handling
    assert upstream.exchanges == []


# Guards against a trial that is repeated at other upstreams.
async def test_trial_is_sent_once() -> None:
    instance = Instance()
    upstreams = [instance.add(name, 1, breaks_off=True) for name in "ab"]
    instance.quarantine.withhold_stored(WITHHELD, 0)

    async def async_permit(_parts: Combination) -> bool:
        return True

    instance.quarantine.async_permit_trial = async_permit
    await asyncio.sleep(9.0)
    reply, handling = instance.send(STREAM, headers=shared_parts("x"))
    await handling
    assert reply.is_aborted
    assert sum(len(upstream.exchanges) for upstream in upstreams) == 1


# Guards against sound parts that stay withheld.
async def test_served_trial_releases_the_part() -> None:
    instance = Instance()
    instance.add("a", 1)
    instance.quarantine.withhold_stored(WITHHELD, 0)

    async def async_permit(_parts: Combination) -> bool:
        return True

    instance.quarantine.async_permit_trial = async_permit
    await asyncio.sleep(9.0)
    for _ in range(3):
        reply, handling = instance.send(STREAM, headers=shared_parts("x"))
        await handling
        assert reply.status == 200


# Guards against a log that can't relate a failure to parts in front of the last one.
async def test_failed_attempt_is_logged_with_its_shared_parts() -> None:
    instance = Instance()
    instance.add("a", 1, response_s=1.0, breaks_off=True)
    with capture_logs() as logs:
        _, handling = instance.send(STREAM, headers=shared_parts("abx"))
        await handling
    failed = [line for line in logs if line["event"] == "attempt_failed"]
    assert failed[0]["shared_parts"] == ["a", "b", "x"]
    assert failed[0]["response_age_s"] == pytest.approx(1.0, abs=0.1)


# Guards against a log that can't tell whether two failures were of the same request.
async def test_failed_attempts_are_logged_with_a_digest_of_their_content() -> None:
    instance = Instance()
    instance.add("a", 1, breaks_off=True)
    with capture_logs() as logs:
        for body in (b"same", b"same", b"other"):
            _, handling = instance.send(Repeatability.ONCE, body=body)
            await handling
    digests = [line["content"] for line in logs if line["event"] == "attempt_failed"]
    assert digests[0] == digests[1]
    assert digests[1] != digests[2]
