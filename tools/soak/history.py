"""What clients, backends, operators and the soak itself saw, with times of one clock.

All times are seconds of time.monotonic(). Nothing here is judged; checker.py does that.
"""
import time
from dataclasses import dataclass, field

from mixed_versions.requests import Request


def now() -> float:
    """The clock of the history."""
    return time.monotonic()


@dataclass
class Attempt:
    """One request of a client and what came of it."""

    request: Request
    broker: str
    sent_at: float
    is_on_kept_connection: bool = False
    ended_at: float = 0.0
    status: int = 0  # 0: no whole answer came
    left_at: float = 0.0  # when the client closed its connection without an answer; 0: it did not
    is_read_whole: bool = False  # the broker may be taken to have read it: all bytes left
    has_ended_sending: bool = False  # the client sent nothing more behind it
    wrong: str = ""  # why the answer is not a proper one; empty: it is


@dataclass
class Run:
    """One arrival of a request at a backend that counts as run."""

    try_id: str
    backend: str
    service: str
    path: str
    began_at: float
    ended_at: float = 0.0  # 0: still at work when the history was closed
    is_broken_off: bool = False  # its connection ended while the backend was at work
    is_sound: bool = True  # the backend played no trouble in the meantime
    is_forgotten: bool = False  # the backend crashed
    is_delegated: bool = False  # it may have come by another broker, which gathered


@dataclass
class Put:
    """An order of an operator: one configuration, sent until it was acknowledged."""

    version: int
    body: bytes
    sent_at: float
    acknowledged_at: float = 0.0  # 0: never
    refused: int = 0  # the 4xx that ended it; 0: none
    is_valid: bool = True


@dataclass
class Read:
    """A read of the configuration that was answered 200."""

    registry: str
    sent_at: float
    ended_at: float
    body: bytes


@dataclass
class Call:
    """One call of an operator at one registry."""

    registry: str
    sent_at: float
    ended_at: float
    status: int  # 0: no whole answer came
    has_ended_sending: bool


@dataclass
class Life:
    """One process of a node."""

    node: str
    began_at: float
    ended_at: float = 0.0  # 0: runs
    exit_code: int | None = None
    is_end_wanted: bool = False
    build: str = ""


@dataclass
class Span:
    """A trouble that was played: what, at whom, and when."""

    kind: str
    nodes: tuple[str, ...]
    began_at: float
    ended_at: float = 0.0  # 0: goes on

    def overlaps(self, since: float, until: float) -> bool:
        """Whether it was going on at any moment from `since` to `until`."""
        return self.began_at <= until and (self.ended_at == 0 or self.ended_at >= since)


@dataclass
class Drain:
    """A backend that the platform's list showed as emptying, and when it did first."""

    backend: str
    shown_at: float


@dataclass
class Observation:
    """Metrics of one node at one moment."""

    node: str
    life: int
    at: float
    values: dict[str, float]


@dataclass
class History:
    """Everything that was seen in one run."""

    attempts: list[Attempt] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    puts: list[Put] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    observations: list[Observation] = field(default_factory=list)
    explanations: dict[str, str] = field(default_factory=dict)  # by Try-Id, as brokers told them
    problems: list[str] = field(default_factory=list)  # what the soak itself found at the end
    times: dict[str, list[float]] = field(default_factory=dict)  # named durations, seconds

    def add_time(self, name: str, seconds: float) -> None:
        """Notes a duration under its name, for the histograms."""
        self.times.setdefault(name, []).append(seconds)

    def is_calm(self, since: float, until: float) -> bool:
        """Whether no trouble was going on at any moment from `since` to `until`."""
        return not any(span.overlaps(since, until) for span in self.spans)

    def is_node_calm(self, node: str, since: float, until: float) -> bool:
        """The same of one node."""
        return not any(node in span.nodes and span.overlaps(since, until) for span in self.spans)
