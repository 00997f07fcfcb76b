"""Digests of keys and requests."""

import hashlib


def key_digest(bearer_key: str) -> str:
    """Return the SHA-256 digest of a bearer key in hexadecimal."""
    return hashlib.sha256(bearer_key.encode()).hexdigest()


def text_digest(text: str) -> str:
    """Return the SHA-256 digest of a text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return a digest that distinguishes requests with the same idempotency key."""
    digest = hashlib.sha256()
    digest.update(method.encode())
    digest.update(b"\0")
    digest.update(path.encode())
    digest.update(b"\0")
    digest.update(body)
    return digest.hexdigest()
