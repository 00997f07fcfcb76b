"""Admission of requests."""

from collections.abc import Sequence

from banyanswitch.components.addresses.const import ENTRIES_PER_WORKSPACE
from banyanswitch.components.admission.const import (
    DEFAULT_CAPACITY,
    DOMAIN,
    REPORT_LAG_S,
    SMALLEST_BATCH_PIECES,
)
from banyanswitch.components.admission.gate import AdmissionGate
from banyanswitch.config.models import Service, Upstream
from banyanswitch.core import REGISTRY, Kernel
from banyanswitch.decisions.admission_models import AdmissionPolicy
from banyanswitch.interfaces import ConfigurationView, PeerDirectory


async def async_setup(kernel: Kernel) -> None:
    """Provide the `AdmissionGate`."""
    directory = kernel.require(PeerDirectory)
    configuration = kernel.require(ConfigurationView)

    def serving_entries() -> int:
        return min(ENTRIES_PER_WORKSPACE, len(directory.peers()))

    def policy(service: Service) -> AdmissionPolicy:
        upstreams = configuration.upstreams(service.name)
        slots = sum(upstream.slots for upstream in upstreams)
        instances_each = len(directory.peers()) / max(1, len(upstreams))
        return AdmissionPolicy(
            capacity=slots or DEFAULT_CAPACITY,
            batch_spacing_s=spacing_base_s(service, upstreams) * instances_each,
        )

    kernel.provide(AdmissionGate, AdmissionGate(kernel, serving_entries, policy))


def spacing_base_s(service: Service, upstreams: Sequence[Upstream]) -> float:
    """Return the time in which one upstream should get one more batch request.

    It is the lag of load reports, or less where the smallest batch request is done
    sooner than reports could show it.
    """
    rates = [upstream.prefill_tokens_per_s for upstream in upstreams]
    if not rates:
        return REPORT_LAG_S
    smallest_s = SMALLEST_BATCH_PIECES * service.piece_tokens / min(rates)
    return min(REPORT_LAG_S, smallest_s)


REGISTRY.register(DOMAIN, async_setup, depends_on=("configuration", "membership"))
