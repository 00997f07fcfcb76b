"""Each event of the run is accepted once and in order; other events are not."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from banyanswitch.components.streams.verifier import EventVerifier, StreamFault
from banyanswitch.identifiers import RunId

RUN = RunId("run-a")
OTHER = RunId("run-b")
TOKENS = 6


def _event(offset: int, run: RunId = RUN) -> bytes:
    return f'id: {run}:{offset}\ndata: {{"t":{offset}}}\n\n'.encode()


def _done(offset: int) -> bytes:
    return f"id: {RUN}:{offset}\ndata: [DONE]\n\n".encode()


def _complete_stream() -> bytes:
    return b"".join(_event(offset) for offset in range(TOKENS)) + _done(TOKENS)


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.integers(1, len(_complete_stream()) - 1), max_size=12))
def test_any_split_gives_the_same_events(split_points: list[int]) -> None:
    verifier = EventVerifier(RUN)
    content = _complete_stream()
    bounds = [0, *sorted(set(split_points)), len(content)]
    passed = b""
    for start, end in zip(bounds, bounds[1:], strict=False):
        chunk = verifier.feed(content[start:end])
        assert chunk.fault is None
        passed += chunk.content
    assert passed == content
    assert verifier.is_done


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.integers(0, TOKENS), max_size=30))
def test_duplicates_and_gaps_never_reach_the_caller(offsets: list[int]) -> None:
    verifier = EventVerifier(RUN)
    passed: list[bytes] = []
    for offset in offsets:
        chunk = verifier.feed(_event(offset))
        if chunk.event_count:
            passed.append(chunk.content)
    assert passed == [_event(offset) for offset in range(len(passed))]


def test_event_of_another_run_is_a_fault() -> None:
    verifier = EventVerifier(RUN)
    chunk = verifier.feed(_event(0) + _event(1, OTHER) + _event(1))
    assert chunk.content == _event(0)
    assert chunk.fault is StreamFault.FOREIGN_RUN


def test_missing_event_is_a_fault() -> None:
    verifier = EventVerifier(RUN, next_offset=2)
    assert verifier.feed(_event(3)).fault is StreamFault.MISSING_EVENT


def test_event_over_the_size_limit_is_a_fault() -> None:
    verifier = EventVerifier(RUN)
    assert verifier.feed(b"x" * 300_000).fault is StreamFault.MALFORMED_EVENT


# Guards against the head of a second answer inside an event, where the first answer has
# no length and breaks off.
@pytest.mark.parametrize("run", [RUN, OTHER])
def test_second_answer_after_a_cut_stream_never_reaches_the_caller(run: RunId) -> None:
    first = _complete_stream()
    events = b"".join(_event(offset, run) for offset in range(TOKENS))
    second = f"HTTP/1.1 200 OK\r\nX-Banyan-Run-Id: {run}\r\n\r\n".encode() + events
    for cut in range(len(first)):
        received = first[:cut] + second
        for read_bytes in (len(received), cut, cut + 20, len(second)):
            verifier = EventVerifier(RUN)
            passed = b""
            for part in (received[:read_bytes], received[read_bytes:]):
                chunk = verifier.feed(part)
                passed += chunk.content
                if chunk.fault is not None:
                    break
            assert first.startswith(passed)
            assert passed in first[:cut]
