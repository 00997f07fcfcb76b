"""Assignment of readers, and how often it iterates over the list of instances."""

from collections.abc import Iterator

import pytest

from banyanswitch.components.peers.const import MAX_DIRECT_READERS
from banyanswitch.components.peers.reader_assignment import ReaderAssignment
from banyanswitch.interfaces import Peer
from tests.components.lease.conftest import make_peer

NAMES = [f"n{number}" for number in range(91)]
STORES = [f"store/s{number}" for number in range(27)]


class CountingPeers(tuple[Peer, ...]):
    """A list of instances that counts how often it is iterated over."""

    iterations = 0

    def __iter__(self) -> Iterator[Peer]:
        CountingPeers.iterations += 1
        return super().__iter__()


class Directory:
    """Implements ``PeerDirectory``; a changed list is a new object."""

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


def test_changed_list_is_detected() -> None:
    directory = Directory("n0", NAMES[:1])
    choice = ReaderAssignment(directory)
    assert not choice.is_relayed()
    directory.set_names(NAMES)
    assert choice.is_relayed()


def test_list_is_iterated_once_for_all_stores_of_many_reports() -> None:
    """Each of about 100 reports per second checks 27 stores."""
    choice = ReaderAssignment(Directory("n0", NAMES))
    for store in STORES:
        choice.is_reader(store, 2)
    CountingPeers.iterations = 0
    for _ in range(100):
        for store in STORES:
            choice.is_relayed()
            choice.is_reader(store, 2)
    assert CountingPeers.iterations == 0
