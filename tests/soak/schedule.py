"""Faults of one run, drawn from its seed."""

import random
from dataclasses import dataclass
from enum import Enum

from tests.soak.proxy import Mode


class Action(Enum):
    """Fault of a process."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    HANG_UP = "hang_up"


@dataclass(frozen=True, slots=True)
class LinkFault:
    """A mode of one proxy for a time; a reset takes none."""

    at_s: float
    proxy: int
    mode: Mode | None
    for_s: float


@dataclass(frozen=True, slots=True)
class ProcessFault:
    """A fault of one process; a pause has a duration."""

    at_s: float
    process: int
    action: Action
    for_s: float


@dataclass(frozen=True, slots=True)
class NewWeights:
    """A weight version is named."""

    at_s: float
    version: int


Fault = LinkFault | ProcessFault | NewWeights


def draw_faults(
    seed: int, *, proxies: int, processes: int, length_s: float
) -> list[Fault]:
    """Return the faults of a run in the order of their times; they may overlap."""
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
    named_at_s = sorted(
        generator.uniform(0.0, length_s) for _ in range(generator.randint(0, 2))
    )
    faults += [NewWeights(at_s, 2 + number) for number, at_s in enumerate(named_at_s)]
    return sorted(faults, key=lambda fault: fault.at_s)
