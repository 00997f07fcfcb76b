"""Peer transport without a socket."""

from banyanswitch.components.peers.datagram_transport import DatagramPeerTransport
from banyanswitch.helpers.signing import SigningKeys
from banyanswitch.identifiers import InstanceId

KEYS = SigningKeys(b"k" * 16, None)


class InMemoryTransport(DatagramPeerTransport):
    """Transport that delivers datagrams in memory, without a socket."""

    def __init__(self, name: str, transports: dict[str, "InMemoryTransport"]) -> None:
        super().__init__(
            instance=InstanceId(name), incarnation=1, host=name, port=1, keys=KEYS
        )
        self._transports = transports
        self.sent = 0
        self.sent_bytes = 0
        self.recipients: list[str] = []
        self.is_cut_off = False

    def send(self, peer_address: str, message: object) -> None:
        self.sent += 1
        self.sent_bytes += len(self.frame(peer_address, message))
        self.recipients.append(peer_address)
        peer = self._transports.get(peer_address)
        if peer is not None and not self.is_cut_off and not peer.is_cut_off:
            peer.deliver(self.frame(peer_address, message))
