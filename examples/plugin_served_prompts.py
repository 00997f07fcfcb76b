"""Example of a plug-in: counts the prompts that each upstream has served."""

from collections import Counter
from typing import Final

from banyanswitch.components.routing.models import PromptServed
from banyanswitch.core import REGISTRY, Kernel, callback
from banyanswitch.identifiers import UpstreamId

DOMAIN: Final = "served_prompts"


class ServedPrompts:
    """Number of prompts served by each upstream."""

    def __init__(self) -> None:
        self._counts: Counter[UpstreamId] = Counter()

    @callback
    def note(self, message: PromptServed) -> None:
        """Take in that an upstream gave the first token for a prompt."""
        self._counts[message.attempt.place.upstream] += 1

    def count(self, upstream: UpstreamId) -> int:
        """Return the number for one upstream."""
        return self._counts[upstream]


async def async_setup(kernel: Kernel) -> None:
    """Provide `ServedPrompts`."""
    served = ServedPrompts()
    kernel.bus.subscribe(PromptServed, served.note)
    kernel.provide(ServedPrompts, served)


REGISTRY.register(DOMAIN, async_setup, depends_on=("routing",))
