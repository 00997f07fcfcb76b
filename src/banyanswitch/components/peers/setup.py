"""Setup of the transport between entry processes."""

from typing import cast

from banyanswitch.components.peers.const import DOMAIN, MILLISECONDS_PER_S
from banyanswitch.components.peers.transport import NngPeerTransport
from banyanswitch.core import REGISTRY, Kernel
from banyanswitch.helpers.signing import SigningKeys
from banyanswitch.helpers.wall_clock import SystemWallClock
from banyanswitch.identifiers import InstanceId
from banyanswitch.interfaces import PeerTransport
from banyanswitch.settings import EntrySettings


async def async_setup(kernel: Kernel) -> None:
    """Bind the transport and provide it as ``PeerTransport``."""
    settings = cast(EntrySettings, kernel.settings)
    previous = settings.peer_key_previous
    transport = NngPeerTransport(
        instance=InstanceId(settings.instance),
        incarnation=int(SystemWallClock().now_unix_s() * MILLISECONDS_PER_S),
        listen_address=f"tcp://{settings.host}:{settings.peer_port}",
        advertised_address=None,
        keys=SigningKeys(
            settings.peer_key.encode(), previous.encode() if previous else None
        ),
    )
    await transport.async_start()
    kernel.on_stop(DOMAIN, transport.async_stop)
    kernel.provide(PeerTransport, transport)
    kernel.provide(NngPeerTransport, transport)


REGISTRY.register(DOMAIN, async_setup)
