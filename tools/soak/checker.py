"""Judges a history by the rules; knows nothing of how it came about.

Each check is a function of its own that yields violations. Bounds come from the settings that the
nodes were given; a rule that binds machines in touch alone is applied where no trouble was played
for IN_TOUCH_S before and meanwhile.
"""
import json
import signal
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from mixed_versions.ledger import Ledger
from soak import answered_checker
from soak.backends import EMPTY_OUT_S
from soak.configurations import (GIVE_UP_MS, MOVING_PREFIX, MOVING_SERVICES, SHARED_PREFIX, TRIES,
                                 moving_service)
from soak.history import Attempt, History, Run

IN_TOUCH_S = 5.0
# Exit codes of a process that was asked to end, also before it listened to signals, or was killed.
WELL_ENDED = (None, 0, -signal.SIGKILL, -signal.SIGTERM)
TAKE_EFFECT_S = 3.0
ANSWER_S = 6.0
GONE_S = 0.5
GONE_SHARE = 0.25
MIN_GONE = 8
MAX_CUT_KEPT = 3
MIN_CALM_SERVED_SHARE = 0.9
EXPLAIN_S = 1.0  # until the soak has fetched a broker's explanations
CLOCK_SLACK_S = 0.25  # between what two processes of the soak saw of one moment

_VIOLATIONS_METRIC = "saddlewing_invariant_violations_total"
_VERSION_METRIC = "saddlewing_edition"


@dataclass(frozen=True)
class Violation:
    """A rule that was broken, with the evidence."""

    rule: str
    text: str


def check_answers(history: History) -> Iterator[Violation]:
    """MIXED, DENIED: every answer is one that the rules allow."""
    for attempt in history.attempts:
        if attempt.wrong:
            yield Violation("MIXED", f"{attempt.request.path} {attempt.request.try_id} at "
                                     f"{attempt.broker}: {attempt.wrong}")


def check_ledger(ledger: Ledger, once_ids: set[str]) -> Iterator[Violation]:
    """UNASKED, TWICE, REFUSED."""
    for fault in ledger.faults(once_ids):
        yield Violation("UNASKED, TWICE, REFUSED", fault)


def check_route(history: History) -> Iterator[Violation]:
    """ROUTE: a service runs only what some configuration sent so far allows."""
    for run in history.runs:
        if run.path.startswith(MOVING_PREFIX):
            allowed = {moving_service(put.version) for put in history.puts
                       if put.is_valid and put.sent_at <= run.began_at}
        elif run.path.startswith(SHARED_PREFIX):
            allowed = set(MOVING_SERVICES)
        else:
            continue
        if run.service not in allowed:
            yield Violation("ROUTE", f"{run.path} ran at {run.backend} of {run.service}")


def check_drain(history: History) -> Iterator[Violation]:
    """DRAIN: nothing reaches a backend so long after the list showed it as emptying."""
    sent_at = {attempt.request.try_id: attempt for attempt in history.attempts}
    for drain in history.drains:
        late = drain.shown_at + EMPTY_OUT_S + CLOCK_SLACK_S
        for run in history.runs:
            if run.backend != drain.backend or run.began_at <= late:
                continue
            since = drain.shown_at - IN_TOUCH_S
            if run.try_id in sent_at and history.is_calm(since, run.began_at):
                yield Violation("DRAIN", f"{run.try_id} reached {run.backend} "
                                         f"{run.began_at - drain.shown_at:.2f} s after it drained")


def _runs_by_try(history: History) -> dict[str, list[Run]]:
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in history.runs:
        runs[run.try_id].append(run)
    return runs


def _are_brokers_calm(history: History, since: float, until: float) -> bool:
    """Whether no trouble was going on at any broker."""
    brokers = {life.node for life in history.lives if life.node.startswith("broker")}
    return all(history.is_node_calm(broker, since, until) for broker in brokers)


def check_gone(history: History) -> Iterator[Violation]:
    """GONE: backends don't work on, nor get anything, long after the client left."""
    runs = _runs_by_try(history)
    late, at_work, lasting = [], [], 0
    for attempt in history.attempts:
        if not attempt.left_at or not attempt.is_read_whole:
            continue
        until = attempt.left_at + GONE_S
        if not history.is_node_calm(attempt.broker, attempt.sent_at - IN_TOUCH_S, until):
            continue
        for run in runs[attempt.request.try_id]:
            if run.began_at > until:
                # Another broker may have passed it on; the rule binds the one that did.
                if not run.is_delegated or _are_brokers_calm(
                        history, attempt.sent_at - IN_TOUCH_S, run.began_at):
                    late.append(run)
            elif run.is_sound and not run.is_forgotten:
                # Work is as long for all of them, longer than the client stays and the bound.
                lasting += 1
                if not run.is_broken_off or run.ended_at > until + CLOCK_SLACK_S:
                    at_work.append(run)
    if len(late) > MAX_CUT_KEPT:
        yield Violation("GONE", f"{len(late)} requests reached a backend over {GONE_S} s after "
                                f"their client left, such as {late[0].try_id}")
    if lasting >= MIN_GONE and len(at_work) > GONE_SHARE * lasting:
        yield Violation("GONE", f"backends were still at work {GONE_S} s after the client left on "
                                f"{len(at_work)} of {lasting} requests, such as "
                                f"{at_work[0].try_id} at {at_work[0].backend}")


def check_kept_connections(history: History) -> Iterator[Violation]:
    """LOST: no machine in touch cuts kept connections whose request it passed on."""
    runs = _runs_by_try(history)
    cut: dict[str, list[str]] = defaultdict(list)
    for attempt in history.attempts:
        if attempt.status or attempt.left_at or not attempt.is_on_kept_connection:
            continue
        has_sound_run = any(run.is_sound and not run.is_forgotten
                            for run in runs[attempt.request.try_id])
        is_late = attempt.ended_at - attempt.sent_at >= GIVE_UP_MS / 1000
        if has_sound_run and not is_late and history.is_node_calm(
                attempt.broker, attempt.sent_at - IN_TOUCH_S, attempt.ended_at):
            cut[attempt.broker].append(attempt.request.try_id)
    for broker, ids in cut.items():
        if len(ids) > MAX_CUT_KEPT:
            yield Violation("LOST", f"{broker} closed {len(ids)} kept connections whose request "
                                    f"was at a backend, such as {ids[0]}")


def check_answered(history: History) -> Iterator[Violation]:
    """LOST: who ends its sending side behind requests or an operator's call gets its answers."""
    for candidates in (answered_checker.unanswered_requests(history, GIVE_UP_MS / 1000),
                       answered_checker.unanswered_calls(history)):
        for text in answered_checker.find_unanswered(history, candidates):
            yield Violation("LOST", text)


@dataclass(frozen=True)
class PlannedWork:
    """A broker's leaving in a calm time, beside other planned work, and how long that counts."""

    began_at: float
    until: float
    leaving: str
    grace_s: float


def check_planned_work(history: History, planned: PlannedWork) -> Iterator[Violation]:
    """LOST: beside planned work in a calm time no request that was read loses its answer.

    For a history whose attempts have all ended.
    """
    for attempt in history.attempts:
        if attempt.status or attempt.left_at or not attempt.is_read_whole:
            continue
        if not planned.began_at <= attempt.sent_at <= planned.until:
            continue
        is_late = attempt.ended_at - attempt.sent_at >= GIVE_UP_MS / 1000
        # Of the machine that leaves, what it took within 3 s and is at work in the last sixth.
        is_excused = attempt.broker == planned.leaving and (
            attempt.ended_at >= planned.began_at + planned.grace_s * 5 / 6)
        was_passed_on = any(run.try_id == attempt.request.try_id for run in history.runs)
        if not is_late and not is_excused and was_passed_on:
            seconds = attempt.ended_at - planned.began_at
            yield Violation("LOST", f"{attempt.request.try_id} at {attempt.broker} got no answer "
                                    f"{seconds:.2f} s after the SIGTERM")


def _version_of(body: bytes) -> int | None:
    try:
        return json.loads(body)["version"]
    except (ValueError, KeyError, TypeError):
        return None


def check_configuration_register(history: History) -> Iterator[Violation]:
    """CONFIG, LOST: reads and writes are linearizable; the highest version wins."""
    bodies = {}
    for put in history.puts:
        if put.is_valid:
            bodies.setdefault(put.version, put)
    reached = [(put.acknowledged_at, put.version) for put in history.puts
               if put.is_valid and put.acknowledged_at]
    seen = []
    for read in sorted(history.reads, key=lambda read: read.ended_at):
        version = _version_of(read.body)
        put = bodies.get(version)
        if put is None or put.body != read.body:
            yield Violation("CONFIG", f"{read.registry} gave a body for version {version} that "
                                      "nobody sent under it")
            continue
        if put.sent_at > read.ended_at:
            yield Violation("CONFIG", f"{read.registry} gave version {version} before it was sent")
        seen.append((read.ended_at, version))
    reached.sort()
    for read in history.reads:
        version = _version_of(read.body)
        if version is None:
            continue
        newest = max((known for at, known in reached + seen if at < read.sent_at), default=0)
        if version < newest:
            yield Violation("CONFIG", f"{read.registry} gave version {version} to a read that "
                                      f"began after version {newest} was acknowledged or read")


def check_operator_calls(history: History) -> Iterator[Violation]:
    """CONFIG, Acks: what is invalid is never acknowledged, what is proper never refused."""
    for put in history.puts:
        if not put.is_valid and put.acknowledged_at:
            yield Violation("CONFIG", f"invalid version {put.version} was acknowledged")
        if put.is_valid and put.refused:
            yield Violation("CONFIG", f"version {put.version} was refused with {put.refused}")
        until = put.acknowledged_at or put.sent_at + 3600
        if (put.is_valid and not put.refused and until - put.sent_at > ANSWER_S
                and history.is_calm(put.sent_at - IN_TOUCH_S, put.sent_at + ANSWER_S)
                and history_reaches(history, put.sent_at + ANSWER_S)):
            yield Violation("Acks", f"version {put.version} had no acknowledgement for "
                                    f"{ANSWER_S} s of a calm time")


def history_reaches(history: History, moment: float) -> bool:
    """Whether the history goes on beyond this moment."""
    return any(read.ended_at > moment for read in history.reads)


def check_in_force(history: History) -> Iterator[Violation]:
    """CONFIG, in time: a request goes by no older version than the one due everywhere."""
    by_try = {attempt.request.try_id: attempt for attempt in history.attempts}
    valid = [put for put in history.puts if put.is_valid]
    for run in history.runs:
        attempt = by_try.get(run.try_id)
        if attempt is None or not run.path.startswith(MOVING_PREFIX):
            continue
        due = max((put.version for put in valid if put.acknowledged_at
                   and put.acknowledged_at < attempt.sent_at - TAKE_EFFECT_S - CLOCK_SLACK_S),
                  default=0)
        allowed = {moving_service(put.version) for put in valid
                   if put.version >= due and put.sent_at <= run.began_at}
        if run.service in allowed:
            continue
        if not history.is_calm(attempt.sent_at - IN_TOUCH_S, run.began_at):
            continue
        yield Violation("CONFIG", f"{run.try_id} at {attempt.broker} went by a version older than "
                                  f"{due} over {TAKE_EFFECT_S} s after its acknowledgement")


def check_held_in_time(history: History) -> Iterator[Violation]:
    """CONFIG, in time: by their own word, too, brokers serve by a version that is due."""
    for seen in history.observations:
        version = seen.values.get(_VERSION_METRIC)
        if version is None or not seen.node.startswith("broker"):
            continue
        if not history.is_calm(seen.at - IN_TOUCH_S - TAKE_EFFECT_S, seen.at):
            continue
        acknowledged_before = seen.at - TAKE_EFFECT_S - CLOCK_SLACK_S
        due = max((put.version for put in history.puts
                   if put.is_valid and 0 < put.acknowledged_at < acknowledged_before), default=0)
        is_old_enough = any(
            life.node == seen.node and life.began_at < seen.at - IN_TOUCH_S
            and (life.ended_at == 0 or life.ended_at > seen.at) for life in history.lives)
        if is_old_enough and version < due:
            yield Violation("CONFIG", f"{seen.node} was at version {version:.0f} over "
                                      f"{TAKE_EFFECT_S} s after version {due} was acknowledged")


def check_never_back(history: History) -> Iterator[Violation]:
    """CONFIG, never back: within one life of a process its version only rises."""
    newest: dict[tuple[str, int], float] = {}
    for seen in history.observations:
        version = seen.values.get(_VERSION_METRIC)
        if version is None:
            continue
        key = (seen.node, seen.life)
        if version < newest.get(key, 0):
            yield Violation("CONFIG", f"{seen.node} went back from version {newest[key]:.0f} to "
                                      f"{version:.0f}")
        newest[key] = max(version, newest.get(key, 0))


def check_tries(history: History) -> Iterator[Violation]:
    """BUDGET: no try runs on more backends of a service than its route's tries."""
    backends: dict[tuple[str, str], set[str]] = defaultdict(set)
    for run in history.runs:
        if not run.is_forgotten:
            backends[(run.try_id, run.service)].add(run.backend)
    for (try_id, service), names in backends.items():
        if len(names) > TRIES:
            yield Violation("BUDGET", f"{try_id} ran on {len(names)} backends of {service}")


def check_own_ends(history: History) -> Iterator[Violation]:
    """Fault: no process ends by itself, and none that was asked to end does so by a crash."""
    for life in history.lives:
        if life.ended_at and not life.is_end_wanted:
            yield Violation("Fault", f"{life.node} ended by itself with {life.exit_code}")
        elif life.ended_at and life.exit_code not in WELL_ENDED:
            yield Violation("Fault", f"{life.node} crashed at its end with {life.exit_code}, "
                                     f"{life.build} build")


def check_invariants(history: History) -> Iterator[Violation]:
    """The invariants that the nodes check themselves."""
    told = set()
    for seen in history.observations:
        for name, value in seen.values.items():
            if name.startswith(_VIOLATIONS_METRIC) and value and (seen.node, name) not in told:
                told.add((seen.node, name))
                yield Violation("invariant", f"{seen.node}: {name} {value:.0f}")


def check_served(history: History, since: float, until: float) -> Iterator[Violation]:
    """RECOVER: once everything is back, nearly all requests are served."""
    sent = [attempt for attempt in history.attempts
            if since <= attempt.sent_at <= until and not attempt.left_at]
    served = sum(attempt.status == 200 and not attempt.wrong for attempt in sent)
    if not sent or served < MIN_CALM_SERVED_SHARE * len(sent):
        yield Violation("RECOVER", f"{served} of {len(sent)} requests served in the calm time")


def check_problems(history: History) -> Iterator[Violation]:
    """What the soak itself found when it looked at the nodes at the end."""
    for problem in history.problems:
        yield Violation("end", problem)


def failed_attempts(history: History) -> list[Attempt]:
    """Those that a broker has to be able to explain: its own errors, and cuts without an answer."""
    return [attempt for attempt in history.attempts
            if attempt.is_read_whole and (attempt.status >= 400
                                          or (attempt.status == 0 and not attempt.left_at))]


def _is_same_life(history: History, broker: str, since: float, until: float) -> bool:
    """Whether one process of this broker ran all the time."""
    return any(life.node == broker and life.began_at <= since
               and (life.ended_at == 0 or life.ended_at > until) for life in history.lives)


def check_explained(history: History) -> Iterator[Violation]:
    """Sight: a broker explains each request that failed at it, in keeping with what others saw."""
    runs = _runs_by_try(history)
    for attempt in failed_attempts(history):
        until = attempt.ended_at + EXPLAIN_S
        if not _is_same_life(history, attempt.broker, attempt.sent_at, until):
            continue
        try_id = attempt.request.try_id
        line = history.explanations.get(try_id)
        if line is None:
            yield Violation("sight", f"{attempt.broker} does not explain {try_id}, status "
                                     f"{attempt.status}")
        elif attempt.status and f" status={attempt.status} " not in line:
            yield Violation("sight", f"status {attempt.status} was explained by: {line}")
        elif runs[try_id] and " [backend=" not in line and attempt.status != 200:
            yield Violation("sight", f"{try_id} ran at {runs[try_id][0].backend}, explained by: "
                                     f"{line}")
        else:
            unnamed = [run.backend for run in runs[try_id]
                       if not run.is_delegated and f"backend={run.backend} " not in line]
            if unnamed:
                yield Violation("sight", f"{try_id} ran at {unnamed}, explained by: {line}")


def check_all(history: History, ledger: Ledger, once_ids: set[str]) -> list[Violation]:
    """All checks that need nothing but the history."""
    found = list(check_ledger(ledger, once_ids))
    for check in (check_answers, check_route, check_drain, check_gone, check_kept_connections,
                  check_answered, check_configuration_register, check_operator_calls,
                  check_in_force, check_held_in_time, check_never_back, check_tries, check_own_ends,
                  check_invariants, check_explained, check_problems):
        found += check(history)
    return found
