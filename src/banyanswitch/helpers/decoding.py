"""Decoding of documents that others have written."""

from typing import Final

import msgspec

DECODING_ERRORS: Final = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
"""Errors of msgspec's decoders for unreadable input. Deeply nested input ends with a
`RecursionError`, which is no `msgspec.MsgspecError`."""
