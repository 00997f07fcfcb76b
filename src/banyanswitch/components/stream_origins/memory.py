"""Origins that this instance remembers."""

import asyncio
from collections import OrderedDict

from banyanswitch.components.stream_origins.const import MAX_ORIGINS, STREAM_LIFETIME_S
from banyanswitch.core import callback
from banyanswitch.decisions.stream_resumption import StreamOrigin


class OriginMemory:
    """Origins of streams by the attempt that brought their first event.

    The oldest ones are forgotten after `STREAM_LIFETIME_S`, or when there are too many.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._origins: OrderedDict[bytes, tuple[float, StreamOrigin]] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of remembered origins."""
        return len(self._origins)

    @callback
    def note(self, stream: bytes, origin: StreamOrigin) -> None:
        """Remember an origin; the first one of a stream is kept.

        Noting it again prolongs the time for which it is remembered.
        """
        self._forget_expired()
        _, origin = self._origins.pop(stream, (0.0, origin))
        self._origins[stream] = (self._loop.time() + STREAM_LIFETIME_S, origin)
        if len(self._origins) > MAX_ORIGINS:
            self._origins.popitem(last=False)

    @callback
    def find(self, stream: bytes) -> StreamOrigin | None:
        """Return the origin of a stream, if it is remembered."""
        self._forget_expired()
        found = self._origins.get(stream)
        return None if found is None else found[1]

    def items(self) -> list[tuple[bytes, StreamOrigin]]:
        """Return all remembered origins."""
        self._forget_expired()
        return [(stream, origin) for stream, (_, origin) in self._origins.items()]

    def _forget_expired(self) -> None:
        now_s = self._loop.time()
        while self._origins:
            stream, (expires_at_s, _) = next(iter(self._origins.items()))
            if expires_at_s > now_s:
                return
            del self._origins[stream]
