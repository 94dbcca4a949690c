"""Reading and writing HTTP/1.1 on asyncio streams, byte by byte as the soak needs it."""
import asyncio
import http.client
import io
import socket
import struct
from dataclasses import dataclass

_MAX_HEAD = 65536


@dataclass(frozen=True)
class Message:
    """A whole request or answer."""

    start_line: str
    headers: http.client.HTTPMessage
    body: bytes

    @property
    def status(self) -> int:
        """Of an answer."""
        return int(self.start_line.split(" ")[1])

    @property
    def method(self) -> str:
        """Of a request."""
        return self.start_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Of a request."""
        return self.start_line.split(" ")[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """The next message; None if the connection ended before its first byte.

    Raises asyncio.IncompleteReadError if it ended midway, and ValueError for what is no message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as reason:
        if not reason.partial:
            return None
        raise
    except asyncio.LimitOverrunError as reason:
        raise ValueError("head too long") from reason
    line, _, rest = head.partition(b"\r\n")
    if len(head) > _MAX_HEAD:
        raise ValueError("head too long")
    headers = http.client.parse_headers(io.BytesIO(rest))
    body = await reader.readexactly(int(headers.get("Content-Length", "0")))
    return Message(line.decode("latin-1"), headers, body)


def make_answer_bytes(status: int, fields: dict[str, str], body: bytes) -> bytes:
    """A whole answer."""
    lines = [f"HTTP/1.1 {status} {http.client.responses.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def make_request_bytes(method: str, target: str, fields: dict[str, str], body: bytes) -> bytes:
    """A whole request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Ends the connection with a reset."""
    found = writer.get_extra_info("socket")
    if found is not None:
        found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def call(host: str, port: int, request: bytes, wait_s: float,
               ends_sending: bool = False) -> Message | None:
    """One call on a connection of its own; None if no whole answer came in time.

    `ends_sending`: behind the request the caller ends its sending side.
    """
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(request)
            if ends_sending:
                writer.write_eof()
            return await read_message(reader)
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
