"""Compares an answer with what the stand-in backends answered."""
import enum

from mixed_versions.backend import RECORD_SIZE
from mixed_versions.client import Answer
from mixed_versions.configurations import BEST_COUNT, FEWEST_PARTS, PLAIN_SERVICE, SHARDS
from mixed_versions.ledger import Ledger, Run
from mixed_versions.requests import Request, RouteKind


class Verdict(enum.Enum):
    """What became of a request."""

    SERVED = enum.auto()
    REFUSED = enum.auto()
    NOT_FOUND = enum.auto()


class WrongAnswer(Exception):
    """An answer that no rule allows; the text tells why."""


def _records(body: bytes) -> list[bytes]:
    whole = len(body) - len(body) % RECORD_SIZE
    return [body[at:at + RECORD_SIZE] for at in range(0, whole, RECORD_SIZE)]


def _check_plain(answer: Answer, runs: list[Run], services: tuple[str, ...]) -> None:
    seals = answer.headers.get_all("Answer-Seal", [])
    if len(seals) != 1:
        raise WrongAnswer(f"{len(seals)} Answer-Seal headers")
    matching = [run for run in runs if run.seal == seals[0] and run.service in services]
    if not matching:
        raise WrongAnswer("Answer-Seal is not of a run of this request")
    if matching[0].answer_body != answer.body:
        raise WrongAnswer("body is not the backend's")


def _parts_of(answer: Answer, runs: list[Run]) -> list[Run]:
    listed = ",".join(answer.headers.get_all("Part-Seals", []))
    by_seal = {run.seal: run for run in runs if run.service in SHARDS}
    parts = []
    for seal in (entry.strip() for entry in listed.split(",")):
        if seal not in by_seal:
            raise WrongAnswer("Part-Seals names what is no run of this request")
        parts.append(by_seal[seal])
    return parts


def _check_gathered(answer: Answer, runs: list[Run]) -> None:
    parts = _parts_of(answer, runs)
    if len({part.service for part in parts}) != len(parts):
        raise WrongAnswer("two parts of one shard")
    missing = int(answer.headers.get("Parts-Missing", "0"))
    if len(parts) + missing != len(SHARDS):
        raise WrongAnswer(f"{len(parts)} parts and {missing} missing of {len(SHARDS)}")
    if len(parts) < FEWEST_PARTS * len(SHARDS):
        raise WrongAnswer(f"only {len(parts)} parts")
    records = [record for part in parts for record in _records(part.answer_body)]
    if answer.body != b"".join(sorted(records, reverse=True)[:BEST_COUNT]):
        raise WrongAnswer("body is not the greatest records of its parts")


def judge(request: Request, answer: Answer, ledger: Ledger,
          services: tuple[str, ...] = (PLAIN_SERVICE,)) -> Verdict:
    """What became of the request; raises WrongAnswer.

    `services`: those that a request that is not gathered may have gone to.
    """
    if answer.status == 503:
        if float(answer.headers.get("Retry-After", "0")) <= 0:
            raise WrongAnswer("503 without Retry-After")
        ledger.note_refused(request)
        return Verdict.REFUSED
    if answer.status == 404:
        return Verdict.NOT_FOUND
    if answer.status != 200:
        raise WrongAnswer(f"status {answer.status} {answer.body[:120]!r}")
    runs = ledger.runs_of(request.try_id)
    if request.kind is RouteKind.GATHERED:
        _check_gathered(answer, runs)
    else:
        _check_plain(answer, runs, services)
    return Verdict.SERVED
