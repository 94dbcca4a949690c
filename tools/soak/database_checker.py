"""Judges the history of a run of databases; knows nothing of how it came about."""
from collections import Counter
from collections.abc import Iterator

from soak.answered_checker import Unanswered, find_unanswered
from soak.checker import (MIN_CALM_SERVED_SHARE, Violation, check_invariants, check_own_ends,
                          check_problems)
from soak.database_history import DatabaseHistory, Statement

GIVE_UP_MS = 3000  # of all routes
MIN_CALM_STATEMENTS = 20

_UNFREEZE_S = 0.3  # a write of a pooler that was troubled since is not judged
_PROMISES = frozenset(("BUSY", "UNDONE", "LAGGING", "READONLY", "WRONGHOST", "FULL"))


def check_one(history: DatabaseHistory) -> Iterator[Violation]:
    """ONE: after a promotion took effect, no former primary's write is acknowledged."""
    for statement in history.statements:
        if not statement.is_write or statement.code or _is_troubled(history, statement):
            continue
        term = history.stamp_terms[statement.stamp]
        for promotion in _promotions_of(history, statement):
            if statement.sent_at > promotion.at and term < promotion.term:
                yield Violation("ONE", f"{statement.thing} was sent {statement.sent_at:.3f}, "
                                       f"committed in term {term}; {promotion.backend} leads term "
                                       f"{promotion.term} since {promotion.at:.3f}")
                break


def check_stale(history: DatabaseHistory) -> Iterator[Violation]:
    """STALE: a read on a leader route has all that was acknowledged before it was sent."""
    for statement in history.statements:
        if statement.is_write or statement.code or statement.row == statement.data:
            continue
        promotions = list(_promotions_of(history, statement))
        if any(statement.thing in promotion.cut_back for promotion in promotions):
            continue
        yield Violation("STALE", f"{statement.thing} read at {statement.sent_at:.3f} through "
                                 f"{statement.pooler}: {statement.row}, acknowledged was "
                                 f"{statement.data}; in term "
                                 f"{history.stamp_terms[statement.stamp]}")


def check_lost(history: DatabaseHistory) -> Iterator[Violation]:
    """LOST: with `sync`, what was acknowledged is in the log of whoever is promoted."""
    for promotion in history.promotions:
        if not promotion.is_synchronous:
            continue
        lost = [statement.thing for statement in history.statements
                if statement.is_write and not statement.code
                and history.services[statement.database] == promotion.service
                and statement.ended_at < promotion.at and statement.thing not in promotion.held]
        if lost:
            yield Violation("LOST", f"{len(lost)} acknowledged commits are not in the log of "
                                    f"{promotion.backend}, promoted to term {promotion.term} at "
                                    f"{promotion.at:.3f}: {lost[:5]}")


def check_refused(history: DatabaseHistory, kept: dict[str, frozenset[str]]) -> Iterator[Violation]:
    """REFUSED: nothing is kept of a write that was refused with a promise.

    `kept`: the things in the logs at the end, by service.
    """
    for statement in history.statements:
        if (statement.is_write and statement.code in _PROMISES
                and statement.thing in kept[history.services[statement.database]]):
            yield Violation("REFUSED", f"{statement.thing} got {statement.code} and is kept")


def check_answered(history: DatabaseHistory) -> Iterator[Violation]:
    """LOST: who ends its sending side behind statements gets an answer to each."""
    unanswered = (Unanswered(statement.pooler, statement.thing, statement.sent_at,
                             statement.sent_at + GIVE_UP_MS / 1000)
                  for statement in history.statements
                  if statement.has_ended_sending and statement.code == "no answer")
    for text in find_unanswered(history, unanswered):
        yield Violation("LOST", text)


def check_served(history: DatabaseHistory, database: str, since: float,
                 until: float) -> Iterator[Violation]:
    """RECOVER, CONFIG: in a calm time nearly all statements are served."""
    sent = [statement for statement in history.statements
            if statement.database == database and since <= statement.sent_at <= until]
    served = sum(not statement.code for statement in sent)
    if len(sent) < MIN_CALM_STATEMENTS or served < MIN_CALM_SERVED_SHARE * len(sent):
        codes = Counter(statement.code for statement in sent if statement.code)
        ended = sum(statement.has_ended_sending for statement in sent if statement.code)
        yield Violation("RECOVER", f"{served} of {len(sent)} statements for {database} were served "
                                   f"in the calm time; others: {dict(codes)}, {ended} of them "
                                   "with their client's sending ended")


def check_all(history: DatabaseHistory, kept: dict[str, frozenset[str]]) -> list[Violation]:
    """All checks that need nothing but the history and what is left at the end."""
    found = list(check_refused(history, kept))
    for check in (check_answered, check_one, check_stale, check_lost, check_own_ends,
                  check_invariants, check_problems):
        found += check(history)
    return found


def _promotions_of(history: DatabaseHistory, statement: Statement):
    service = history.services[statement.database]
    return (promotion for promotion in history.promotions if promotion.service == service)


def _is_troubled(history: DatabaseHistory, statement: Statement) -> bool:
    """Whether the statement's pooler was in trouble shortly before it, or meanwhile."""
    return not history.is_node_calm(statement.pooler, statement.sent_at - _UNFREEZE_S,
                                    statement.ended_at)
