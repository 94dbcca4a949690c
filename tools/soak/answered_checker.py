"""LOST: who ends its sending side behind whole requests, and waits, gets an answer to each.

Judged are nodes without trouble that go on running. What is passed on and what is not are alike: a
node that cannot serve it says so.
"""
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from soak.history import History

IN_TOUCH_S = 5.0
MAX_UNANSWERED = 3
LEAVING_S = 8.0  # longer than any grace: a node that ends so soon afterwards may be leaving


@dataclass(frozen=True)
class Unanswered:
    """Something that got no answer, and when that was clear."""

    node: str
    name: str
    sent_at: float
    until: float


def find_unanswered(history: History, candidates: Iterable[Unanswered]) -> Iterator[str]:
    """What to report: a line for each node that left too many without an answer."""
    names: dict[str, list[str]] = defaultdict(list)
    for candidate in candidates:
        is_calm = history.is_node_calm(candidate.node, candidate.sent_at - IN_TOUCH_S,
                                       candidate.until)
        if is_calm and _goes_on(history, candidate):
            names[candidate.node].append(candidate.name)
    for node, lost in names.items():
        if len(lost) > MAX_UNANSWERED:
            yield (f"{node} closed {len(lost)} connections without an answer whose clients had "
                   f"ended their sending, such as {lost[0]}")


def _goes_on(history: History, candidate: Unanswered) -> bool:
    """Whether one process of the node took it and runs on."""
    return any(life.node == candidate.node and life.began_at <= candidate.sent_at
               and (life.ended_at == 0 or life.ended_at > candidate.until + LEAVING_S)
               for life in history.lives)


def unanswered_requests(history: History, give_up_s: float) -> Iterator[Unanswered]:
    """Of clients of brokers; one that lasted as long as its route allows is another's matter."""
    for attempt in history.attempts:
        is_late = attempt.ended_at - attempt.sent_at >= give_up_s
        if (attempt.has_ended_sending and attempt.is_read_whole and not attempt.status
                and not attempt.wrong and not is_late):
            yield Unanswered(attempt.broker, attempt.request.try_id, attempt.sent_at,
                             attempt.ended_at)


def unanswered_calls(history: History) -> Iterator[Unanswered]:
    """Of operators."""
    for call in history.calls:
        if call.has_ended_sending and not call.status:
            yield Unanswered(call.registry, f"a call of {call.sent_at:.3f}", call.sent_at,
                             call.ended_at)
