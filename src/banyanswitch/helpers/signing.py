"""Keyed signatures over short messages, with rotation of the key."""

import hashlib
import hmac
from dataclasses import dataclass

SIGNATURE_BYTES = 32
MIN_PREFIX_BYTES = 16


@dataclass(frozen=True, slots=True)
class SigningKeys:
    """Keys of the instances; the previous one is accepted during a rotation."""

    current: bytes
    previous: bytes | None = None

    def sign(self, purpose: bytes, content: bytes) -> bytes:
        """Return the signature of ``content``; ``purpose`` separates uses."""
        return _signature(self.current, purpose, content)

    def is_valid(self, purpose: bytes, content: bytes, signature: bytes) -> bool:
        """Return whether one of the keys made the whole signature."""
        if len(signature) != SIGNATURE_BYTES:
            return False
        return self.is_valid_prefix(purpose, content, signature)

    def is_valid_prefix(self, purpose: bytes, content: bytes, prefix: bytes) -> bool:
        """Return whether one of the keys made a signature that starts so."""
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
