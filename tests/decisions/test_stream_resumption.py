"""A resumed stream goes on only where its first version is certain."""

import pytest

from banyanswitch.decisions.stream_resumption import (
    OriginSearch,
    StreamOrigin,
    origin_of_resumed_stream,
)
from banyanswitch.identifiers import ServiceName

LLM = ServiceName("llm")
OTHER = ServiceName("other")
V1 = StreamOrigin(LLM, "v1")
FOUND = OriginSearch(V1)
NOT_FOUND = OriginSearch()


def versions(*names: str) -> frozenset[str]:
    return frozenset(names)


def test_noted_origin_counts_whatever_is_served() -> None:
    assert origin_of_resumed_stream(FOUND, {LLM, OTHER}, {LLM: versions("v2")}) == V1
    assert origin_of_resumed_stream(FOUND, {LLM}, {LLM: None}) == V1


def test_stream_of_a_service_that_the_route_has_left_does_not_go_on() -> None:
    assert origin_of_resumed_stream(FOUND, {OTHER}, {OTHER: versions("v1")}) is None


@pytest.mark.parametrize(
    ("known", "expected"),
    [
        ({LLM: versions("v1")}, V1),
        ({LLM: versions("v1", "v2")}, None),
        ({LLM: versions()}, None),
        ({LLM: None}, None),
        ({}, None),
    ],
)
def test_origin_without_a_note_must_be_the_only_possible_one(
    known: dict[ServiceName, frozenset[str] | None], expected: StreamOrigin | None
) -> None:
    assert origin_of_resumed_stream(NOT_FOUND, {LLM}, known) == expected


def test_same_version_of_two_services_is_not_one_origin() -> None:
    known = {LLM: versions("v1"), OTHER: versions("v1")}
    assert origin_of_resumed_stream(NOT_FOUND, {LLM, OTHER}, known) is None


def test_origin_is_not_guessed_after_an_incomplete_search() -> None:
    search = OriginSearch(is_complete=False)
    assert origin_of_resumed_stream(search, {LLM}, {LLM: versions("v1")}) is None
