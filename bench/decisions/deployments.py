"""Sizes and traffic of the simulated deployments."""

from dataclasses import dataclass, field

from banyanswitch.config.models import ReusePolicy


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """Deployment of a model service with its stores and traffic.

    Parameters
    ----------
    long_per_s, short_per_s : float
        Rates of long prompts, including returning ones, and of short prompts, in
        requests per second.
    mean_returns : float
        Mean number of times that a long prompt returns.
    gap_s : tuple of float
        Shortest and longest time until a long prompt returns, in seconds.
    first_pieces : tuple of int
        Minimum and maximum number of pieces of a new long prompt.
    growth_pieces : tuple of int
        Minimum and maximum number of pieces by which a prompt grows between uses.
    shared_pieces : int
        Number of leading pieces that all long prompts of a workspace share.
    cache_pieces : int
        Capacity of the cache of one upstream, in pieces.
    loads_at_once : int
        Number of concurrent weight loads that run at full speed; also the limit of
        concurrent loads in a swap.
    entries_per_workspace : int
        Number of entries that the callers of a workspace use.
    background_share : float
        Share of a link for the exports and prefetches of all entries.
    link_share : float
        Share of a link for each workspace, divided among its entries.
    client_delay_s : float
        One-way network delay between caller and entry, in seconds.
    """

    name: str
    upstreams: int
    failure_domains: int
    entries: int
    entries_per_workspace: int = 3
    workspaces: int = 10
    slots: int = 16
    prefill_tokens_per_s: float = 8_000.0
    decode_s_per_token: float = 0.03
    cache_pieces: int = 100
    piece_tokens: int = 4_000
    piece_size_bytes: int = 256_000_000
    stores: int = 2
    store_memory_bytes: int = 512_000_000_000
    store_disk_bytes: int = 4_500_000_000_000
    link_bytes_per_s: float = 1.25e9
    disk_bytes_per_s: float = 2e9
    background_share: float = 0.5
    link_share: float = 0.5
    load_s: float = 1.0
    loads_at_once: int = 2
    long_per_s: float = 0.3
    short_per_s: float = 1.0
    mean_returns: float = 4.0
    gap_s: tuple[float, float] = (120.0, 28_800.0)
    first_pieces: tuple[int, int] = (6, 30)
    growth_pieces: tuple[int, int] = (1, 2)
    shared_pieces: int = 2
    short_tokens: tuple[int, int] = (200, 800)
    short_output_tokens: int = 40
    long_output_tokens: int = 200
    client_delay_s: float = 0.001
    reuse: ReusePolicy = field(default_factory=ReusePolicy)


KIM_PHAT = Deployment(
    name="kim-phat",
    upstreams=6,
    failure_domains=3,
    entries=6,
    reuse=ReusePolicy(first_token_weight=1.0, recompute_weight=0.2, link_weight=0.1),
)

YUSHAN = Deployment(
    name="yushan",
    upstreams=9,
    failure_domains=4,
    entries=8,
    load_s=2.0,
    loads_at_once=3,
    long_per_s=0.4,
    short_per_s=1.5,
    client_delay_s=0.003,
    reuse=ReusePolicy(first_token_weight=0.2, recompute_weight=1.0, link_weight=0.1),
)

LETTER_SCALE = Deployment(
    name="letter-scale",
    upstreams=8,
    failure_domains=3,
    entries=4,
    workspaces=60,
    slots=96,
    decode_s_per_token=0.045,
    cache_pieces=200,
    piece_size_bytes=64_000_000,
    store_memory_bytes=1_000_000_000_000,
    store_disk_bytes=8_000_000_000_000,
    long_per_s=1.6,
    short_per_s=23.0,
    first_pieces=(3, 9),
    gap_s=(120.0, 7_200.0),
    shared_pieces=1,
    short_output_tokens=358,
    long_output_tokens=358,
)

DEPLOYMENTS = (KIM_PHAT, YUSHAN, LETTER_SCALE)
