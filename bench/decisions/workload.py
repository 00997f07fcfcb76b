"""Seeded requests: long prompts that return, and short ones beside them."""

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
    """One request of the workload.

    Parameters
    ----------
    conversation : str
        Names the prompt; a returning prompt has the same.
    turn : int
        How often the prompt was sent before.
    pieces : int
        Whole pieces of the prompt.
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
        """Whether it is a long prompt."""
        return self.pieces > 0


@dataclass(frozen=True, slots=True)
class Surge:
    """A time in which all rates are higher."""

    from_s: float
    until_s: float
    factor: float


def generate(
    deployment: Deployment, duration_s: float, seed: int, surge: Surge | None = None
) -> Iterator[Request]:
    """Yield requests in the order of their times.

    Prompts whose first use lies before the start return during the run as in the
    steady state, but their first return is computed from nothing.
    """
    generator = random.Random(seed)
    heap: list[tuple[float, int, Request]] = []
    numbers = iter(range(10**9))
    new_per_s = deployment.long_per_s / (1.0 + deployment.mean_returns)
    next_new_s = _next(generator, new_per_s, 0.0, surge)
    next_short_s = _next(generator, deployment.short_per_s, 0.0, surge)
    while True:
        at_s = min(next_new_s, next_short_s, heap[0][0] if heap else math.inf)
        if at_s >= duration_s:
            return
        if at_s == next_short_s:
            yield _short(deployment, generator, next(numbers), at_s)
            next_short_s = _next(generator, deployment.short_per_s, at_s, surge)
            continue
        if at_s == next_new_s:
            request = _first(deployment, generator, next(numbers), at_s)
            next_new_s = _next(generator, new_per_s, at_s, surge)
        else:
            _, _, request = heapq.heappop(heap)
            request = replace(request, number=next(numbers))
        yield request
        again = _return(deployment, generator, request)
        if again is not None:
            heapq.heappush(heap, (again.at_s, request.number, again))


@lru_cache(maxsize=16_384)
def piece_hashes(
    deployment: Deployment, request_key: "PromptKey", version: WeightVersion
) -> tuple[PrefixHash, ...]:
    """Return the chained hashes of a prompt under a weight version."""
    hashes = []
    for index in range(request_key.pieces):
        owner = request_key.conversation
        if index < deployment.shared_pieces:
            owner = request_key.workspace
        digest = xxhash.xxh3_128_hexdigest(f"{version}/{owner}/{index}".encode())
        hashes.append(PrefixHash(digest))
    return tuple(hashes)


@dataclass(frozen=True, slots=True)
class PromptKey:
    """What the pieces of a prompt depend on."""

    workspace: WorkspaceId
    conversation: str
    pieces: int


def hashes_of(
    deployment: Deployment, request: Request, version: WeightVersion
) -> tuple[PrefixHash, ...]:
    """Return the chained hashes of a request under a weight version."""
    key = PromptKey(request.workspace, request.conversation, request.pieces)
    return piece_hashes(deployment, key, version)


def _next(
    generator: random.Random, rate_per_s: float, now_s: float, surge: Surge | None
) -> float:
    factor = 1.0
    if surge is not None and surge.from_s <= now_s < surge.until_s:
        factor = surge.factor
    at_s = now_s + generator.expovariate(rate_per_s * factor)
    if surge is not None and now_s < surge.from_s < at_s:
        return surge.from_s + generator.expovariate(rate_per_s * surge.factor)
    return at_s


def _workspace(deployment: Deployment, generator: random.Random) -> WorkspaceId:
    # A few are large: the share falls with the square root of the rank.
    weights = [1.0 / math.sqrt(rank + 1) for rank in range(deployment.workspaces)]
    rank = generator.choices(range(deployment.workspaces), weights)[0]
    return WorkspaceId(f"w{rank}")


def _short(
    deployment: Deployment, generator: random.Random, number: int, at_s: float
) -> Request:
    return Request(
        number=number,
        at_s=at_s,
        workspace=_workspace(deployment, generator),
        conversation=f"s{number}",
        turn=0,
        pieces=0,
        prompt_tokens=generator.randint(*deployment.short_tokens),
        output_tokens=deployment.short_output_tokens,
        priority=Priority.INTERACTIVE,
    )


def _first(
    deployment: Deployment, generator: random.Random, number: int, at_s: float
) -> Request:
    pieces = generator.randint(*deployment.first_pieces)
    return Request(
        number=number,
        at_s=at_s,
        workspace=_workspace(deployment, generator),
        conversation=f"c{number}",
        turn=0,
        pieces=pieces,
        prompt_tokens=_tokens(deployment, generator, pieces),
        output_tokens=deployment.long_output_tokens,
        priority=Priority.BATCH,
    )


def _return(
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
        prompt_tokens=_tokens(deployment, generator, pieces),
    )


def _tokens(deployment: Deployment, generator: random.Random, pieces: int) -> int:
    piece_tokens = deployment.piece_tokens
    return pieces * piece_tokens + generator.randrange(piece_tokens)
