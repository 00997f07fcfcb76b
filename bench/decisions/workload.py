"""Seeded generator of long prompts that return and of short prompts."""

import heapq
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace
from functools import lru_cache

import xxhash

from banyanswitch.config.models import Priority
from banyanswitch.identifiers import PrefixHash, WeightVersion, WorkspaceId
from bench.decisions.deployments import Deployment


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """Request of the workload.

    Parameters
    ----------
    conversation : str
        Identifier of the prompt, which stays the same when it returns.
    turn : int
        Number of earlier requests with this prompt.
    pieces : int
        Number of whole pieces of the prompt; 0 for a short one.
    """

    number: int
    at_s: float
    workspace: WorkspaceId
    conversation: str
    turn: int
    pieces: int
    prompt_tokens: int
    output_tokens: int
    priority: Priority

    @property
    def is_long(self) -> bool:
        """Whether the prompt is long."""
        return self.pieces > 0


@dataclass(frozen=True, slots=True)
class Surge:
    """Period in which the rates of new long prompts and short prompts are multiplied.

    Parameters
    ----------
    factor : float
        Factor of the rates.
    """

    from_s: float
    until_s: float
    factor: float


def generate(
    deployment: Deployment, duration_s: float, seed: int, surge: Surge | None = None
) -> Iterator[Request]:
    """Yield requests in the order of their times.

    There are no prompts from before the start, so the rate of returning prompts grows
    from 0 during the run.
    """
    generator = random.Random(seed)
    heap: list[tuple[float, int, Request]] = []
    numbers = iter(range(10**9))
    new_per_s = deployment.long_per_s / (1.0 + deployment.mean_returns)
    next_new_s = _next_arrival_s(generator, new_per_s, 0.0, surge)
    next_short_s = _next_arrival_s(generator, deployment.short_per_s, 0.0, surge)
    while True:
        at_s = min(next_new_s, next_short_s, heap[0][0] if heap else math.inf)
        if at_s >= duration_s:
            return
        if at_s == next_short_s:
            yield _new_short_request(deployment, generator, next(numbers), at_s)
            next_short_s = _next_arrival_s(
                generator, deployment.short_per_s, at_s, surge
            )
            continue
        if at_s == next_new_s:
            request = _new_long_request(deployment, generator, next(numbers), at_s)
            next_new_s = _next_arrival_s(generator, new_per_s, at_s, surge)
        else:
            _, _, request = heapq.heappop(heap)
            request = replace(request, number=next(numbers))
        yield request
        returning = _returning_request(deployment, generator, request)
        if returning is not None:
            heapq.heappush(heap, (returning.at_s, request.number, returning))


@lru_cache(maxsize=16_384)
def piece_hashes(
    deployment: Deployment, key: "PieceHashKey", version: WeightVersion
) -> tuple[PrefixHash, ...]:
    """Return the piece hashes of a prompt under a weight version."""
    hashes = []
    for index in range(key.pieces):
        owner = key.conversation
        if index < deployment.shared_pieces:
            owner = key.workspace
        digest = xxhash.xxh3_128_hexdigest(f"{version}/{owner}/{index}".encode())
        hashes.append(PrefixHash(digest))
    return tuple(hashes)


@dataclass(frozen=True, slots=True)
class PieceHashKey:
    """Fields of a request that determine its piece hashes."""

    workspace: WorkspaceId
    conversation: str
    pieces: int


def request_piece_hashes(
    deployment: Deployment, request: Request, version: WeightVersion
) -> tuple[PrefixHash, ...]:
    """Return the piece hashes of a request under a weight version."""
    key = PieceHashKey(request.workspace, request.conversation, request.pieces)
    return piece_hashes(deployment, key, version)


def _next_arrival_s(
    generator: random.Random, rate_per_s: float, now_s: float, surge: Surge | None
) -> float:
    factor = 1.0
    if surge is not None and surge.from_s <= now_s < surge.until_s:
        factor = surge.factor
    at_s = now_s + generator.expovariate(rate_per_s * factor)
    if surge is not None and now_s < surge.from_s < at_s:
        return surge.from_s + generator.expovariate(rate_per_s * surge.factor)
    return at_s


def _choose_workspace(deployment: Deployment, generator: random.Random) -> WorkspaceId:
    # The share of a workspace falls with the square root of its rank, so a few are
    # large.
    weights = [1.0 / math.sqrt(rank + 1) for rank in range(deployment.workspaces)]
    rank = generator.choices(range(deployment.workspaces), weights)[0]
    return WorkspaceId(f"w{rank}")


def _new_short_request(
    deployment: Deployment, generator: random.Random, number: int, at_s: float
) -> Request:
    return Request(
        number=number,
        at_s=at_s,
        workspace=_choose_workspace(deployment, generator),
        conversation=f"s{number}",
        turn=0,
        pieces=0,
        prompt_tokens=generator.randint(*deployment.short_tokens),
        output_tokens=deployment.short_output_tokens,
        priority=Priority.INTERACTIVE,
    )


def _new_long_request(
    deployment: Deployment, generator: random.Random, number: int, at_s: float
) -> Request:
    pieces = generator.randint(*deployment.first_pieces)
    return Request(
        number=number,
        at_s=at_s,
        workspace=_choose_workspace(deployment, generator),
        conversation=f"c{number}",
        turn=0,
        pieces=pieces,
        prompt_tokens=_prompt_tokens(deployment, generator, pieces),
        output_tokens=deployment.long_output_tokens,
        priority=Priority.BATCH,
    )


def _returning_request(
    deployment: Deployment, generator: random.Random, request: Request
) -> Request | None:
    returns = deployment.mean_returns
    if generator.random() >= returns / (1.0 + returns):
        return None
    shortest_s, longest_s = deployment.gap_s
    gap_s = math.exp(generator.uniform(math.log(shortest_s), math.log(longest_s)))
    pieces = request.pieces + generator.randint(*deployment.growth_pieces)
    return replace(
        request,
        at_s=request.at_s + gap_s,
        turn=request.turn + 1,
        pieces=pieces,
        prompt_tokens=_prompt_tokens(deployment, generator, pieces),
    )


def _prompt_tokens(
    deployment: Deployment, generator: random.Random, pieces: int
) -> int:
    piece_tokens = deployment.piece_tokens
    return pieces * piece_tokens + generator.randrange(piece_tokens)
