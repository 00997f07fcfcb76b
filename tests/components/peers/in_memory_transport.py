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

    def send(self, peer_address: str, message: object) -> None:
        self.sent += 1
        self.sent_bytes += len(self.frame(peer_address, message))
        self.recipients.append(peer_address)
        if peer_address in self._transports:
            self._transports[peer_address].deliver(self.frame(peer_address, message))
