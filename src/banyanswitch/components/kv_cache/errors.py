"""Errors of transfers between upstreams and KV stores."""

from banyanswitch.exceptions import BanyanswitchError


class TransferError(BanyanswitchError):
    """A transfer failed; the prompt is recomputed."""


class StoreUnavailableError(TransferError):
    """A KV store can't be reached or failed to serve a request."""


class StoredPrefixLostError(TransferError):
    """A manifest or a block is missing or damaged."""


class ManifestRefusedError(TransferError):
    """A manifest belongs to another workspace, weight version or prompt."""


class UpstreamTransferError(TransferError):
    """An upstream did not complete a transfer."""
