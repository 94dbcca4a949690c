"""The wire of database sessions, for stand-in databases and clients."""
import asyncio
from dataclasses import dataclass

_HEAD_BYTES = 5


@dataclass(frozen=True)
class WireMessage:
    """One message: its kind and its text fields."""

    kind: str
    fields: tuple[str, ...]


def encode(kind: str, *fields: str) -> bytes:
    """A message as it travels."""
    body = b"".join(text.encode() + b"\0" for text in fields)
    return kind.encode() + len(body).to_bytes(4, "big") + body


async def read_wire_message(reader: asyncio.StreamReader) -> WireMessage:
    """The next message; raises asyncio.IncompleteReadError if the connection ended."""
    head = await reader.readexactly(_HEAD_BYTES)
    body = await reader.readexactly(int.from_bytes(head[1:], "big"))
    return WireMessage(chr(head[0]), tuple(text.decode() for text in body.split(b"\0")[:-1]))
