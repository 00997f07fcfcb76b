"""Who reads a source for all, and how often the list of instances is walked."""

from collections.abc import Iterator

import pytest

from banyanswitch.components.peers.const import MAX_DIRECT_READERS
from banyanswitch.components.peers.reader_assignment import ReaderAssignment
from banyanswitch.interfaces import Peer
from tests.components.lease.conftest import make_peer

NAMES = [f"n{number}" for number in range(91)]
STORES = [f"store/s{number}" for number in range(27)]


class CountingPeers(tuple[Peer, ...]):
    """A list of instances that counts how often it is walked."""

    walks = 0

    def __iter__(self) -> Iterator[Peer]:
        CountingPeers.walks += 1
        return super().__iter__()


class Directory:
    """Implements ``PeerDirectory``; the list is made anew when it changes."""

    def __init__(self, name: str, names: list[str]) -> None:
        self.name = name
        self.set_names(names)

    def set_names(self, names: list[str]) -> None:
        self._peers = CountingPeers(make_peer(name) for name in names)

    def this_instance(self) -> Peer:
        return make_peer(self.name)

    def peers(self) -> tuple[Peer, ...]:
        return self._peers


@pytest.mark.parametrize("store", STORES[:5])
def test_all_instances_agree_on_the_readers(store: str) -> None:
    choices = {name: ReaderAssignment(Directory(name, NAMES)) for name in NAMES}
    readers = {name for name, choice in choices.items() if choice.is_reader(store, 2)}
    assert len(readers) == 2
    for choice in choices.values():
        assert {peer.instance for peer in choice.readers(store, 2)} == readers


def test_few_instances_all_read() -> None:
    names = NAMES[:MAX_DIRECT_READERS]
    choices = [ReaderAssignment(Directory(name, names)) for name in names]
    assert all(choice.is_reader(STORES[0], 2) for choice in choices)


def test_a_changed_list_is_noticed() -> None:
    directory = Directory("n0", NAMES[:1])
    choice = ReaderAssignment(directory)
    assert not choice.is_relayed()
    directory.set_names(NAMES)
    assert choice.is_relayed()


def test_the_list_is_walked_once_for_all_stores_of_many_reports() -> None:
    """27 stores are asked for in each of some 100 reports a second."""
    choice = ReaderAssignment(Directory("n0", NAMES))
    for store in STORES:
        choice.is_reader(store, 2)
    CountingPeers.walks = 0
    for _ in range(100):
        for store in STORES:
            choice.is_relayed()
            choice.is_reader(store, 2)
    assert CountingPeers.walks == 0
