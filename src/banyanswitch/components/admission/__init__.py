"""Admission control of requests."""

from collections.abc import Sequence

from banyanswitch.components.addresses.const import ENTRIES_PER_WORKSPACE
from banyanswitch.components.admission.const import (
    DEFAULT_CAPACITY,
    DOMAIN,
    MIN_BATCH_PIECES,
    REPORT_LAG_S,
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
        instances_per_upstream = len(directory.peers()) / max(1, len(upstreams))
        return AdmissionPolicy(
            capacity=slots or DEFAULT_CAPACITY,
            batch_spacing_s=base_batch_spacing_s(service, upstreams)
            * instances_per_upstream,
        )

    kernel.provide(AdmissionGate, AdmissionGate(kernel, serving_entries, policy))


def base_batch_spacing_s(service: Service, upstreams: Sequence[Upstream]) -> float:
    """Return the minimum time between two batch starts per upstream, in seconds.

    This is the lag of load reports, or the prefill time of the smallest batch request
    on the slowest upstream if that is shorter. Such a request is done before a report
    could show it. `async_setup` multiplies the time by the number of instances per
    upstream, because each instance spaces only its own batch starts.
    """
    rates = [upstream.prefill_tokens_per_s for upstream in upstreams]
    if not rates:
        return REPORT_LAG_S
    min_prefill_s = MIN_BATCH_PIECES * service.piece_tokens / min(rates)
    return min(REPORT_LAG_S, min_prefill_s)


REGISTRY.register(DOMAIN, async_setup, depends_on=("configuration", "membership"))
