"""Fixture of a gateway on loopback with simulated upstreams and a fake platform."""

import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace
from typing import cast

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from banyanswitch.components import admission, gateway, metrics, routing
from banyanswitch.components.addresses import AddressCoordinator
from banyanswitch.components.gateway.server import CallerServer
from banyanswitch.config.models import (
    Limits,
    Service,
    ServiceKind,
    Upstream,
    Workspace,
)
from banyanswitch.core import Kernel
from banyanswitch.helpers.digests import key_digest
from banyanswitch.helpers.run_identity import RunIdentityCodec
from banyanswitch.helpers.signing import SigningKeys
from banyanswitch.identifiers import (
    FailureDomainId,
    InstanceId,
    ServiceName,
    UpstreamId,
    WeightVersion,
    WorkspaceId,
)
from banyanswitch.interfaces import (
    ClaimResult,
    ClaimState,
    ConfigurationView,
    IdempotencyStore,
    Peer,
    PeerDirectory,
    StoredAnswer,
    UpstreamDirectory,
)
from banyanswitch.settings import load_settings
from banyanswitch_standins.engine import EngineStandIn
from banyanswitch_standins.plain import PlainStandIn

MODEL = ServiceName("model")
PLAIN = ServiceName("plain")
VERSION = WeightVersion("v1")
DOMAIN = FailureDomainId("fd-1")
KEYS = SigningKeys(b"0123456789abcdef")
MAX_BODY_BYTES = 200_000


@dataclass
class FakeConfiguration:
    """One model service, one plain service, two workspaces."""

    upstream_urls: dict[UpstreamId, str]
    revision: int = 1
    limits: Limits = field(default_factory=Limits)

    def service(self, name: ServiceName) -> Service | None:
        return {item.name: item for item in self.services()}.get(name)

    def services(self) -> tuple[Service, ...]:
        return (
            Service(
                name=MODEL,
                kind=ServiceKind.MODEL,
                weight_version=VERSION,
                max_prompt_tokens=1000,
                piece_tokens=500,
            ),
            Service(name=PLAIN, kind=ServiceKind.PLAIN),
        )

    def workspace_by_key_digest(self, digest: str) -> Workspace | None:
        for name in ("w1", "w2"):
            if digest == key_digest(f"key-{name}"):
                return Workspace(
                    name=WorkspaceId(name), key_digests=(digest,), limits=self.limits
                )
        return None

    def upstreams(self, service: ServiceName) -> tuple[Upstream, ...]:
        names = [name for name in self.upstream_urls if name.startswith(service)]
        return tuple(self._upstream(name) for name in names)

    def upstream(self, name: UpstreamId) -> Upstream | None:
        return self._upstream(name) if name in self.upstream_urls else None

    def _upstream(self, name: UpstreamId) -> Upstream:
        return Upstream(
            name=name,
            service=ServiceName(name.split("-", maxsplit=1)[0]),
            url=self.upstream_urls[name],
            failure_domain=DOMAIN,
        )


class FakeLoads:
    """No upstream has reported its load, and all accept requests."""

    def load(self, _upstream: UpstreamId) -> None:
        return None

    def is_accepting(self, _upstream: UpstreamId) -> bool:
        return True


class FakeDirectory:
    """Directory with this instance only."""

    def peers(self) -> tuple[Peer, ...]:
        return (self.this_instance(),)

    def this_instance(self) -> Peer:
        return Peer(InstanceId("i1"), DOMAIN, "tcp://127.0.0.1:1", "http://i1", 1)


@dataclass
class FakeIdempotencyStore:
    """In-memory store of claims and responses."""

    answers: dict[str, tuple[str, StoredAnswer | None]] = field(default_factory=dict)

    async def async_claim(self, workspace: str, key: str, digest: str) -> ClaimResult:
        known = self.answers.setdefault(f"{workspace}/{key}", (digest, None))
        if known[0] != digest:
            return ClaimResult(ClaimState.DIGEST_MISMATCH, "")
        if known[1] is not None:
            return ClaimResult(ClaimState.ANSWERED, "", known[1])
        return ClaimResult(ClaimState.CLAIMED, "a")

    async def async_check_claim(self, *_arguments: object) -> None:
        return None

    async def async_complete(
        self, workspace: str, key: str, _attempt: str, answer: StoredAnswer
    ) -> None:
        digest, _ = self.answers[f"{workspace}/{key}"]
        self.answers[f"{workspace}/{key}"] = (digest, answer)


@dataclass
class Api:
    """A running gateway and its upstreams."""

    session: aiohttp.ClientSession
    configuration: FakeConfiguration
    engine: EngineStandIn
    plain: PlainStandIn
    server: CallerServer

    def headers(self, workspace: str = "w1", **more: str) -> dict[str, str]:
        return {"Authorization": f"Bearer key-{workspace}", **more}


async def _async_serve(application: web.Application) -> TestServer:
    server = TestServer(application)
    await server.start_server()
    return server


@pytest.fixture
async def api() -> AsyncIterator[Api]:
    engine = EngineStandIn(
        service=MODEL, version=VERSION, decode_tokens_per_s=1000.0, load_s=0.0
    )
    plain = PlainStandIn()
    servers = [
        await _async_serve(engine.build_application()),
        await _async_serve(plain.build_application()),
    ]
    names = (UpstreamId("model-1"), UpstreamId("plain-1"))
    urls = [str(server.make_url("")) for server in servers]
    configuration = FakeConfiguration(dict(zip(names, urls, strict=True)))
    flags = {
        "instance": "i1",
        "failure_domain": DOMAIN,
        "peer_key": "0123456789abcdef",
        "table_url": "http://127.0.0.1:1",
        "max_body_bytes": MAX_BODY_BYTES,
    }
    settings = replace(load_settings(flags, {}).settings, port=0)
    kernel = Kernel(settings)
    kernel.provide(ConfigurationView, cast(ConfigurationView, configuration))
    kernel.provide(UpstreamDirectory, cast(UpstreamDirectory, FakeLoads()))
    kernel.provide(PeerDirectory, FakeDirectory())
    kernel.provide(IdempotencyStore, cast(IdempotencyStore, FakeIdempotencyStore()))
    kernel.provide(RunIdentityCodec, RunIdentityCodec(KEYS))
    kernel.provide(random.Random, random.Random(7))
    kernel.provide(AddressCoordinator, AddressCoordinator(FakeDirectory(), 5.0))
    for component in (metrics, admission, routing, gateway):
        await component.async_setup(kernel)
    server = kernel.require(CallerServer)
    async with aiohttp.ClientSession(f"http://127.0.0.1:{server.port}") as session:
        yield Api(session, configuration, engine, plain, server)
    await kernel.async_stop()
    for stand_in in servers:
        await stand_in.close()
