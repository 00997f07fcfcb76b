"""Reading of whole bodies within a limit."""

from collections.abc import Awaitable, Callable

from banyanswitch.exceptions import UpstreamBrokenError


async def async_read_body(
    async_part: Callable[[], Awaitable[bytes | None]], max_bytes: int
) -> bytes:
    """Return a whole body.

    Parameters
    ----------
    async_part : callable
        Returns the next part, or ``None`` at the end.
    max_bytes : int
        Maximum size, in bytes.

    Raises
    ------
    UpstreamBrokenError
        If the body is longer, or the connection fails before its end.
    """
    content = bytearray()
    while (part := await async_part()) is not None:
        content += part
        if len(content) > max_bytes:
            reason = (
                f"the response's body is longer than the limit of {max_bytes} bytes"
            )
            raise UpstreamBrokenError(reason)
    return bytes(content)
