"""Settings of a forwarding process."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardingSettings:
    """Validated settings of a forwarding process.

    Parameters
    ----------
    caller_address, readiness_address, directory_address : str
        Host and port to listen on.
    peer_port : int
        Port for other instances, the same on all of them.
    request_port : int
        Port at which other instances pass on requests, the same on all of them.
    peer_seeds : tuple of str
        Hosts and ports of the instances to contact first.
    store_address : str
        Host and port of the platform's store.
    memory_bytes : int
        Memory of the process.
    client_memory_bytes : int
        Limit of the bytes held for clients, from which on connections are closed.
    max_descriptors : int
        Limit of the process's descriptors.
    entry_interval_s : float
        Interval at which an upstream renews its entry in the store, in seconds.
    drain_s : float
        Time for which a stopping upstream still serves requests, in seconds.
    grace_s : float
        Time from the stop request until the process is killed, in seconds.
    retry_ratio, retry_window_s, retry_slack : float
        Retry budget of one service, shared by all instances. In each window, the
        attempts beyond the first one of each request are limited to the ratio times
        the number of the service's requests, plus the slack.
    lease_s : float
        Time for which a lease excludes the load orders of other instances, in
        seconds.
    weights_deadline_s : float
        Time after a new weight version is named in which requests may still start
        on older weights, in seconds.
    address_ttl_s : float
        Maximum time for which callers cache an address, in seconds.
    cold_over, cold_slack : float
        In any second, a cold upstream may get its service's cold rate times
        ``cold_over`` plus ``cold_slack`` requests from all instances together; without
        both, only the rate counts.
    evacuation_s : float
        Time after which nothing may be sent to an evacuated failure domain any more, in
        seconds.
    """

    instance: str
    failure_domain: str
    host: str
    caller_address: str
    readiness_address: str
    directory_address: str
    peer_port: int
    request_port: int
    peer_seeds: tuple[str, ...]
    store_address: str
    entry_interval_s: float
    memory_bytes: int
    client_memory_bytes: int
    max_descriptors: int
    drain_s: float
    grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    lease_s: float
    weights_deadline_s: float
    address_ttl_s: float
    cold_over: float = 0.0
    cold_slack: float = 0.0
    evacuation_s: float = 5.0


def host_and_port(address: str) -> tuple[str, int]:
    """Split an address into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)
