"""Options to serve one request, with their costs."""

from dataclasses import dataclass

from banyanswitch.decisions.cache_view import StoredPrefix
from banyanswitch.decisions.placement_models import (
    ImportFirst,
    Place,
    PlacementRequest,
)
from banyanswitch.decisions.upstream_pool import StoreView, UpstreamView
from banyanswitch.identifiers import UpstreamId


@dataclass(slots=True)
class ImportSource:
    """Store from which the request's prefix can be imported.

    Parameters
    ----------
    allowed_bytes : float
        Bytes that the workspace may import from the store now.
    """

    stored: StoredPrefix
    view: StoreView
    allowed_bytes: float

    @property
    def piece_size_bytes(self) -> int:
        """Return the mean size of one piece, in bytes."""
        return max(1, self.stored.size_bytes // max(1, self.stored.pieces))


@dataclass(slots=True)
class ServingOption:
    """One option to serve a request, with its cost.

    Parameters
    ----------
    import_bytes : int
        Bytes to import before the request is sent; 0 for no import.
    saved_s : float
        Prefill time that the import saves, in seconds.
    """

    upstream: UpstreamId
    cost: float
    first_token_s: float
    cached_pieces: int
    prefill_tokens: int
    import_bytes: int = 0
    import_s: float = 0.0
    saved_s: float = 0.0


@dataclass(slots=True)
class QueueEstimate:
    """Estimated queue of one upstream, for one request.

    Parameters
    ----------
    wait_s : float
        Expected time until the request starts, in seconds.
    cost_s : float
        Extra cost of queued work that may be served first, in seconds.
    """

    wait_s: float
    cost_s: float


def compute_option(
    request: PlacementRequest,
    view: UpstreamView,
    queue: QueueEstimate,
    cached_pieces: int,
    known_pieces: int,
) -> ServingOption:
    """Return the option to use the pieces cached at the upstream and prefill the rest.

    Parameters
    ----------
    cached_pieces : int
        Number of leading pieces cached at this upstream.
    known_pieces : int
        Number of leading pieces that some upstream or store holds.
    """
    rate = view.prefill_tokens_per_s
    tokens = max(0, request.prompt_tokens - cached_pieces * request.piece_tokens)
    first_token_s = queue.wait_s + tokens / rate
    recomputed_tokens = max(0, known_pieces - cached_pieces) * request.piece_tokens
    cost = request.reuse.first_token_weight * (first_token_s + queue.cost_s)
    cost += request.reuse.recompute_weight * recomputed_tokens / rate
    return ServingOption(view.upstream, cost, first_token_s, cached_pieces, tokens)


def import_options(
    request: PlacementRequest,
    view: UpstreamView,
    queue: QueueEstimate,
    cached_pieces: int,
    source: ImportSource,
) -> tuple[ServingOption, ...]:
    """Return the option to import missing pieces first.

    The import covers as many pieces as the workspace may import now. The result is
    empty if it may import none.
    """
    stored = source.stored
    piece_size = source.piece_size_bytes
    missing = stored.pieces - cached_pieces
    if missing * piece_size > source.allowed_bytes:
        missing = int(source.allowed_bytes // piece_size)
    if missing <= 0:
        return ()
    rate = view.prefill_tokens_per_s
    pieces = cached_pieces + missing
    size_bytes = missing * piece_size
    link_s = size_bytes / source.view.bytes_per_s
    import_s = link_s + source.view.queued_bytes / source.view.bytes_per_s
    if stored.is_on_disk:
        import_s += size_bytes / source.view.disk_bytes_per_s
    tokens = max(0, request.prompt_tokens - pieces * request.piece_tokens)
    recomputed_tokens = (stored.pieces - pieces) * request.piece_tokens
    first_token_s = max(import_s, queue.wait_s) + tokens / rate
    cost = request.reuse.first_token_weight * (first_token_s + queue.cost_s)
    cost += request.reuse.link_weight * link_s
    cost += request.reuse.recompute_weight * recomputed_tokens / rate
    option = ServingOption(view.upstream, cost, first_token_s, pieces, tokens)
    option.import_bytes = size_bytes
    option.import_s = import_s
    option.saved_s = missing * request.piece_tokens / rate
    return (option,)


def to_place_command(
    request: PlacementRequest, option: ServingOption, source: ImportSource | None
) -> Place:
    """Return the command that executes an option."""
    import_first = None
    if source is not None and option.import_bytes:
        import_first = ImportFirst(
            store=source.stored.store,
            manifest=source.stored.manifest,
            pieces=option.cached_pieces,
            size_bytes=option.import_bytes,
            expected_s=option.import_s,
            give_up_after_s=option.import_s + option.saved_s,
        )
    return Place(
        run=request.run,
        upstream=option.upstream,
        expected_first_token_s=option.first_token_s,
        expected_cached_pieces=option.cached_pieces,
        prefill_tokens=option.prefill_tokens,
        piece_hashes=request.piece_hashes,
        import_first=import_first,
        priority=request.priority,
    )
