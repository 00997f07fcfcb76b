"""Keyed signatures (HMAC) of short messages, with key rotation."""

import hashlib
import hmac
from dataclasses import dataclass

SIGNATURE_BYTES = 32
MIN_PREFIX_BYTES = 16


@dataclass(frozen=True, slots=True)
class SigningKeys:
    """Signing keys of the instances.

    Parameters
    ----------
    previous : bytes or None
        Key that is still accepted during a rotation.
    """

    current: bytes
    previous: bytes | None = None

    def sign(self, purpose: bytes, content: bytes) -> bytes:
        """Return the signature of ``content``.

        Parameters
        ----------
        purpose : bytes
            Name of the use; a signature is valid only for its own purpose.
        """
        return _signature(self.current, purpose, content)

    def is_valid(self, purpose: bytes, content: bytes, signature: bytes) -> bool:
        """Return whether ``signature`` is complete and was made by one of the keys."""
        if len(signature) != SIGNATURE_BYTES:
            return False
        return self.is_valid_prefix(purpose, content, signature)

    def is_valid_prefix(self, purpose: bytes, content: bytes, prefix: bytes) -> bool:
        """Return whether a signature by one of the keys starts with ``prefix``.

        A prefix shorter than `MIN_PREFIX_BYTES` is not valid.
        """
        if len(prefix) < MIN_PREFIX_BYTES:
            return False
        for key in (self.current, self.previous):
            if key is None:
                continue
            expected = _signature(key, purpose, content)[: len(prefix)]
            if hmac.compare_digest(expected, prefix):
                return True
        return False


def _signature(key: bytes, purpose: bytes, content: bytes) -> bytes:
    return hmac.digest(key, purpose + b"\0" + content, hashlib.sha256)
