"""Reading of whole bodies within a limit."""

from collections.abc import Awaitable, Callable

from banyanswitch.exceptions import UpstreamBrokenError


async def async_read_body(
    async_part: Callable[[], Awaitable[bytes | None]],
    max_bytes: int,
    on_size: Callable[[int], None] = lambda _: None,
) -> bytes:
    """Return a whole body.

    Parameters
    ----------
    async_part : callable
        Returns the next part, or ``None`` at the end.
    max_bytes : int
        Maximum size, in bytes.
    on_size : callable
        Called with the size read so far after each part, in bytes.

    Raises
    ------
    UpstreamBrokenError
        If the body is longer, or the connection fails before its end.
    """
    content = bytearray()
    while (part := await async_part()) is not None:
        content += part
        on_size(len(content))
        if len(content) > max_bytes:
            reason = (
                f"the response's body is longer than the limit of {max_bytes} bytes"
            )
            raise UpstreamBrokenError(reason)
    return bytes(content)
