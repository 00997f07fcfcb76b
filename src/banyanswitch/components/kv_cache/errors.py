"""Errors of transfers between upstreams and KV stores."""

from banyanswitch.exceptions import BanyanswitchError


class TransferError(BanyanswitchError):
    """A transfer did not succeed; the prompt is recomputed."""


class StoreUnavailableError(TransferError):
    """A KV store can't be reached or did not take a call."""


class StoredPrefixLostError(TransferError):
    """A manifest or a block is missing or damaged."""


class ManifestRefusedError(TransferError):
    """A manifest is of another workspace, weight version or prompt."""


class UpstreamTransferError(TransferError):
    """An upstream did not carry a transfer out."""
