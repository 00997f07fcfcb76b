"""Random faults of one run, generated from its seed."""

import random
from dataclasses import dataclass
from enum import Enum

from tests.soak.proxy import Mode


class Action(Enum):
    """Fault of a process, caused by a signal."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    HANG_UP = "hang_up"


@dataclass(frozen=True, slots=True)
class LinkFault:
    """Mode of one proxy for a limited time; ``mode=None`` resets its connections."""

    at_s: float
    proxy: int
    mode: Mode | None
    for_s: float


@dataclass(frozen=True, slots=True)
class ProcessFault:
    """Fault of one process; ``for_s`` is the duration of a pause."""

    at_s: float
    process: int
    action: Action
    for_s: float


@dataclass(frozen=True, slots=True)
class NewWeights:
    """An operator sets a new target weight version."""

    at_s: float
    version: int


@dataclass(frozen=True, slots=True)
class BrokenStream:
    """The next stream of an upstream breaks off inside the event after ``after``."""

    at_s: float
    upstream: int
    after: int


@dataclass(frozen=True, slots=True)
class StoreReturn:
    """The store goes away, and returns from a copy that is ``copy_age_s`` old."""

    at_s: float
    copy_age_s: float
    down_s: float


@dataclass(frozen=True, slots=True)
class Limit:
    """An upstream names a limit in its responses from now on, or none."""

    at_s: float
    upstream: str
    limit_per_s: float | None


@dataclass(frozen=True, slots=True)
class PowerLoss:
    """All processes end as the store goes away, just after an upstream has joined.

    The store returns from a copy without its entry or, without a copy, after all
    entries have expired. They are written again ``rewrite_s`` later.
    """

    at_s: float
    joined_s: float
    down_s: float
    has_copy: bool
    rewrite_s: float


@dataclass(frozen=True, slots=True)
class LateOrders:
    """Upstreams have started again and carry out orders of older weights."""

    at_s: float
    count: int


@dataclass(frozen=True, slots=True)
class Silence:
    """All open connections to the store and the upstreams go silent for good."""

    at_s: float


Fault = (
    Limit
    | LinkFault
    | ProcessFault
    | NewWeights
    | BrokenStream
    | StoreReturn
    | PowerLoss
    | LateOrders
    | Silence
)


def generate_faults(
    seed: int, *, proxies: int, processes: int, length_s: float
) -> list[Fault]:
    """Return the faults of a run, sorted by start time; they may overlap."""
    generator = random.Random(seed)
    faults: list[Fault] = []
    for _ in range(generator.randint(3, 7)):
        modes = [None, *(mode for mode in Mode if mode is not Mode.PASS)]
        faults.append(
            LinkFault(
                generator.uniform(0.0, length_s),
                generator.randrange(proxies),
                generator.choice(modes),
                generator.uniform(0.1, 1.5),
            )
        )
    for _ in range(generator.randint(1, 4)):
        faults.append(
            ProcessFault(
                generator.uniform(0.0, length_s),
                generator.randrange(processes),
                generator.choice(list(Action)),
                generator.uniform(0.2, 2.0),
            )
        )
    set_at_s = sorted(
        generator.uniform(0.0, length_s) for _ in range(generator.randint(0, 2))
    )
    faults += [NewWeights(at_s, 2 + number) for number, at_s in enumerate(set_at_s)]
    return sorted(faults, key=lambda fault: fault.at_s)


def generate_broken_streams(
    seed: int, *, upstreams: int, events: int, length_s: float
) -> list[Fault]:
    """Return the breaks of streams in a run, sorted by time."""
    generator = random.Random(f"broken streams {seed}")
    faults: list[Fault] = [
        BrokenStream(
            generator.uniform(0.0, length_s),
            generator.randrange(upstreams),
            generator.randrange(1, events),
        )
        for _ in range(generator.randint(10, 30))
    ]
    return sorted(faults, key=lambda fault: fault.at_s)


def generate_store_returns(seed: int, *, length_s: float) -> list[Fault]:
    """Return the drills of the store in a run; two of three runs have none."""
    generator = random.Random(f"store returns {seed}")
    count = generator.randint(1, 2) if seed % 3 == 0 else 0
    faults: list[Fault] = [
        StoreReturn(
            generator.uniform(0.0, 0.7 * length_s),
            generator.uniform(0.2, 2.0),
            generator.uniform(0.1, 0.8),
        )
        for _ in range(count)
    ]
    return sorted(faults, key=lambda fault: fault.at_s)


def generate_limits(seed: int, *, length_s: float) -> list[Fault]:
    """Return the limits that one upstream names; two of three runs have none."""
    generator = random.Random(f"limits {seed}")
    if seed % 3 != 1:
        return []
    at_s = generator.uniform(0.0, 0.3 * length_s)
    limit_per_s = generator.choice((0.5, 2.0, 5.0))
    faults: list[Fault] = [Limit(at_s, "i-2", limit_per_s)]
    if generator.random() < 0.3:
        faults.append(Limit(generator.uniform(0.7, 0.9) * length_s, "i-2", None))
    return faults


def names_answering_twice(seed: int, names: list[str]) -> list[str]:
    """Return the upstreams that answer requests twice; six of seven runs have none."""
    generator = random.Random(f"second answers {seed}")
    return generator.sample(names, generator.randint(1, 2)) if seed % 7 == 4 else []


def generate_sequences(seed: int, *, length_s: float) -> list[Fault]:
    """Return faults that only harm in a certain order; two of five runs have none."""
    generator = random.Random(f"sequences {seed}")
    at_s = generator.uniform(0.3, 0.6) * length_s
    match seed % 5:
        case 2:
            loss = PowerLoss(
                at_s,
                joined_s=generator.uniform(0.3, 1.0),
                down_s=generator.uniform(0.1, 1.0),
                has_copy=generator.random() < 0.5,
                rewrite_s=generator.uniform(0.8, 2.0),
            )
            return [loss]
        case 3:
            weights = [NewWeights(0.1, 2), NewWeights(0.3 * length_s, 3)]
            return [*weights, LateOrders(0.9 * length_s, 2)]
        case 4:
            return [Silence(at_s)]
    return []
