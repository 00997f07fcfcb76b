"""Errors of transfers between upstreams and KV stores."""

from banyanswitch.exceptions import BanyanswitchError


class TransferError(BanyanswitchError):
    """A request for a transfer, or to a KV store or an upstream's KV cache, failed.

    After a failed import the prompt is recomputed.
    """


class StoreUnavailableError(TransferError):
    """A KV store can't be reached or failed to serve a request."""


class StoredPrefixLostError(TransferError):
    """A stored prefix can't be imported: it is missing, damaged or being freed."""


class ManifestRefusedError(TransferError):
    """A manifest belongs to another workspace, weight version or prompt."""


class UpstreamTransferError(TransferError):
    """An upstream failed to serve a request to its KV cache."""
