"""Example of a plug-in that counts the prompts served by each upstream."""

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
        """Count a prompt for which an upstream returned the first token."""
        self._counts[message.attempt.place.upstream] += 1

    def count(self, upstream: UpstreamId) -> int:
        """Return the number for one upstream."""
        return self._counts[upstream]


async def async_setup(kernel: Kernel) -> None:
    """Set up the component and provide ``ServedPrompts``."""
    served = ServedPrompts()
    kernel.bus.subscribe(PromptServed, served.note)
    kernel.provide(ServedPrompts, served)


REGISTRY.register(DOMAIN, async_setup, depends_on=("routing",))
