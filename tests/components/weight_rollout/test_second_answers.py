"""Loads of model servers that answer each report twice, the second time late."""

import asyncio
import json

import pytest

from banyanswitch.components.forwarding.routing_state import WeightTarget
from banyanswitch.components.http1.client import HttpClient
from banyanswitch.components.weight_rollout.coordinator import WeightRollout
from banyanswitch.identifiers import UpstreamId
from banyanswitch.platform.engines import PlatformEngines
from tests.components.forwarding.fakes import MODEL
from tests.components.state_exchange.test_coordinator import make_nodes
from tests.components.weight_rollout.test_coordinator import CONFIGURATION
from tests.components.weight_rollout.test_order_lease import Setup, now_s
from tests.fakes.http1 import encode_response
from tests.fakes.stuttering import (
    Cut,
    StutteringPool,
    in_one_read,
    own_in_a_later_read,
)

pytestmark = pytest.mark.looptime
LOAD_S = 1.5
UPSTREAM = UpstreamId("u")


class ModelServer:
    """Model server that carries out orders with the expected number."""

    def __init__(self) -> None:
        self.accepted = 0
        self.refused = 0
        self.loaded_at_s = float("inf")

    def respond(self, request: bytes) -> bytes:
        """Return the answer to a report or an order."""
        if request.startswith(b"POST"):
            return encode_response(self._accept(request))
        is_loaded = now_s() >= self.loaded_at_s
        document = {
            "sequence": self.accepted,
            "busy": bool(self.accepted) and not is_loaded,
            "models": [{"name": MODEL, "version": 2 if is_loaded else 1}],
        }
        return encode_response(200, json.dumps(document).encode())

    def _accept(self, request: bytes) -> int:
        order = json.loads(request.split(b"\r\n\r\n", 1)[1])
        if order["expectedRevision"] != self.accepted:
            self.refused += 1
            return 409
        self.accepted += 1
        self.loaded_at_s = now_s() + LOAD_S
        return 202


# Guards against a load that counts as finished too early, or is ordered again, by the
# second answer to an earlier report, which can't be told from a report that lags.
@pytest.mark.parametrize("calls_late", [1, 2, 3])
@pytest.mark.parametrize("cut", [in_one_read, own_in_a_later_read])
async def test_second_answers_to_reports_only_delay_the_end_of_a_load(
    cut: Cut, calls_late: int
) -> None:
    lease = Setup()
    (node,) = make_nodes(1)
    node.routing.apply(CONFIGURATION)
    server = ModelServer()
    rollout = WeightRollout(
        order_lease=lease.order_lease,
        routing=node.routing,
        registry=node.upstreams.registry,
        links=node.links,
        engines=PlatformEngines(
            HttpClient(StutteringPool(server.respond, cut, calls_late))
        ),
        exchange=node.exchange,
        holder="n0",
    )
    lease.leases.renew(1)
    node.routing.targets[MODEL] = WeightTarget(2, {2: now_s()})
    task = asyncio.create_task(rollout.async_run())
    state = node.upstreams.registry.state(UPSTREAM)
    assert state is not None
    while state.weight_versions.get(MODEL) != 2:
        assert now_s() < server.loaded_at_s + 1.0
        lease.leases.renew(1)
        await asyncio.sleep(0.05)
    assert now_s() >= server.loaded_at_s
    assert (server.accepted, server.refused) == (1, 0)
    rollout.cancel_all()
    task.cancel()
