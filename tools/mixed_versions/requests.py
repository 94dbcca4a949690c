"""The clients' requests: their kinds, and what identifies each."""
import enum
import itertools
import uuid
from dataclasses import dataclass

HOST = "shop.example"

_numbers = itertools.count(1)


class RouteKind(enum.Enum):
    """What a route does with a request."""

    PLAIN = "plain"
    ONCE = "once"
    GATHERED = "gathered"


@dataclass(frozen=True)
class Request:
    """One try of a client."""

    kind: RouteKind
    method: str
    path: str
    body: bytes
    try_id: str


def make_request(kind: RouteKind, prefix: str | None = None) -> Request:
    """A request under a fresh id, on the standing route of its kind or on the given prefix."""
    number = next(_numbers)
    path = f"{prefix or '/' + kind.value + '/'}{number}?n={number}"
    try_id = uuid.uuid4().hex[:16]
    if kind is RouteKind.ONCE:
        return Request(kind, "POST", path, f"order {number}\n".encode() * (number % 7 + 1), try_id)
    return Request(kind, "GET", path, b"", try_id)
