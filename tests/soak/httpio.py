"""HTTP/1.1 messages over asyncio streams, limited to the features that the soak uses."""

import asyncio
import socket
import struct
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or a response; header names are in lower case."""

    start: str
    headers: dict
    body: bytes = b""
    complete: bool = True
    extra: dict = field(default_factory=dict)

    @property
    def status(self):
        return int(self.start.split()[1])


async def read_head(reader):
    """Returns a message with the start line and headers, or None if the connection ends before the headers do."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader, message):
    """Reads the body into the message and returns it; `complete` is False if the body was cut off or malformed.

    An answer with neither a length nor chunks lasts until its connection ends; a reset cuts it off.
    """
    parts = []
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
                if not size:
                    break
        elif "content-length" in message.headers or not message.start.startswith("HTTP/"):
            parts.append(await reader.readexactly(int(message.headers.get("content-length", "0"))))
        else:
            while part := await reader.read(65536):
                parts.append(part)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
        message.complete = False
    message.body = b"".join(parts)
    return message


def response(status, body=b"", headers=None, reason="-", unframed=False):
    """Returns the bytes of a response with its body; if unframed, the end of the connection ends the body."""
    lines = [f"HTTP/1.1 {status} {reason}", "Connection: close" if unframed else f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def close(writer):
    """Closes the connection without waiting; the peer may have closed it already."""
    try:
        writer.close()
    except (ConnectionError, RuntimeError):
        pass


def reset(writer):
    """Resets the connection. Without the option an aborted connection is closed in order."""
    try:
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass  # It is closed already.
    writer.transport.abort()


async def serve(address, handler, writers):
    """Serves the requests of each connection in order. The handler writes the response and returns whether to keep the
    connection open. `writers` holds the open connections.
    """

    async def connection(reader, writer):
        writers.add(writer)
        try:
            while True:
                message = await read_head(reader)
                if message is None:
                    return
                await read_body(reader, message)
                if not message.complete or not await handler(message, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writers.discard(writer)
            close(writer)

    host, port = address.rsplit(":", 1)
    return await asyncio.start_server(connection, host, int(port), reuse_address=True)
