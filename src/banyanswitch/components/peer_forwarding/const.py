"""Constants of requests that instances pass on."""

from typing import Final

HEADER_PASSED_ON: Final = b"Passed-On"
"""Request header: the sending instance, its attempts so far, and a signature."""

HEADER_REFUSAL: Final = b"Refusal"
"""Response header of a refusal by the other instance itself: `DECLINED` or
`FINAL`."""

HEADER_SOURCE: Final = b"Response-Source"
"""Response header: name and start time, in Unix milliseconds, of the upstream."""

DECLINED: Final = b"declined"
"""The request was sent to no upstream; another instance may take it."""

FINAL: Final = b"final"

SIGNATURE_PURPOSE: Final = b"passed-on request"

MAX_PASSED_ON_REQUESTS: Final = 256
"""Number of requests of other instances that one instance handles at a time. At the
target size it has about 20 of its own, and takes those of twelve others."""

MAX_EXTRA_HEADER_BYTES: Final = 512
"""Size of the headers that are added to a request that is passed on."""
