"""What clients of databases, and the databases, saw in one run. Nothing is judged here."""
from dataclasses import dataclass, field

from soak.history import History


@dataclass
class Statement:
    """One statement of a client and what came of it."""

    database: str
    pooler: str
    thing: str
    is_write: bool
    sent_at: float
    data: str  # of a write; of a read: what was acknowledged before it was sent
    ended_at: float = 0.0
    code: str = "no answer"  # empty: success
    row: str = ""  # of a read
    stamp: str = ""
    has_ended_sending: bool = False  # the client sent nothing more behind it


@dataclass
class Promotion:
    """A promotion took effect."""

    service: str
    backend: str
    term: int
    at: float
    is_synchronous: bool
    held: frozenset[str]  # things in the log of the one promoted
    cut_back: frozenset[str]  # things in the logs of others that are not in it


@dataclass
class DatabaseHistory(History):
    """Everything that was seen in one run of databases."""

    statements: list[Statement] = field(default_factory=list)
    promotions: list[Promotion] = field(default_factory=list)
    stamp_terms: dict[str, int] = field(default_factory=dict)  # in which term each was given
    services: dict[str, str] = field(default_factory=dict)  # by database
