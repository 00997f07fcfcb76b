"""Small HTTP/1.1 server and client for the stand-ins; needs only the standard library."""

import asyncio


class Request:
    """Request with its whole body; header names are in lower case."""

    def __init__(self, method, target, headers, body, writer):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.writer = writer


async def async_read_head(reader):
    """Return the first line and the headers of a message, or ``None`` at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def async_read_request(reader, writer):
    """Return the next request of a connection, or ``None`` after the last one."""
    try:
        line, headers = await async_read_head(reader)
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, target, _ = line.split(" ", 2)
    return Request(method, target, headers, body, writer)


def response(status, headers=(), body=b""):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def async_serve(handler, host, port=0, **options):
    """Start a server whose handler answers one request after another.

    The handler writes its answer itself. It returns ``False`` if the connection ends.
    """

    async def async_run(reader, writer):
        try:
            while (request := await async_read_request(reader, writer)) is not None:
                if await handler(request) is False:
                    break
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    return await asyncio.start_server(async_run, host, port, **options)


def address(server):
    """Return the address of a server, as HOST:PORT."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


async def async_call(host, port, method, target, headers=(), body=b""):
    """Send one request on a new connection; return the status, headers and body."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        line, answer_headers = await async_read_head(reader)
        length = int(answer_headers.get("content-length", 0))
        content = await reader.readexactly(length)
        return int(line.split(" ")[1]), answer_headers, content
    finally:
        writer.close()
