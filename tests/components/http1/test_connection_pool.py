"""Connections that can't be made."""

import socket

import pytest

from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.exceptions import UpstreamNotSentError


# Guards against logs in which a cut that hangs looks like one that refuses.
@pytest.mark.parametrize("hangs", [True, False])
async def test_error_tells_hanging_from_refused_connections(hangs: bool) -> None:
    with socket.socket() as listener, socket.socket() as waiting:
        listener.bind(("127.0.0.1", 0))
        if hangs:
            listener.listen(0)
            waiting.connect(listener.getsockname())
        pool = ConnectionPool(connect_timeout_s=0.05)
        with pytest.raises(UpstreamNotSentError) as caught:
            await pool.async_open(f"127.0.0.1:{listener.getsockname()[1]}")
    assert caught.value.has_timed_out is hangs
