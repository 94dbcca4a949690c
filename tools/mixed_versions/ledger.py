"""What clients sent and what the stand-in backends ran."""
import threading
from collections import defaultdict
from dataclasses import dataclass

from mixed_versions.requests import Request


@dataclass(frozen=True)
class Run:
    """One run of a request at a backend, with the answer it gave."""

    try_id: str
    service: str
    method: str
    path: str
    request_body: bytes
    seal: str
    answer_body: bytes


class Ledger:
    """Requests and runs by the id of the try; clients and backends of all threads write to it."""

    def __init__(self):
        self._lock = threading.Lock()
        self._sent: dict[str, Request] = {}
        self._runs: dict[str, list[Run]] = defaultdict(list)
        self._refused: set[str] = set()

    def note_sent(self, request: Request) -> None:
        """To be called before the request leaves the client."""
        with self._lock:
            self._sent[request.try_id] = request

    def note_refused(self, request: Request) -> None:
        """The client was promised that this request has not run and never will."""
        with self._lock:
            self._refused.add(request.try_id)

    def note_run(self, run: Run) -> None:
        """To be called by a backend before it answers."""
        with self._lock:
            self._runs[run.try_id].append(run)

    def runs_of(self, try_id: str) -> list[Run]:
        """All runs of one try so far."""
        with self._lock:
            return list(self._runs.get(try_id, ()))

    def faults(self, once_ids: set[str]) -> list[str]:
        """Runs that nobody asked for, changed on the way, repeated against the rule or refused."""
        with self._lock:
            return [fault for try_id, runs in self._runs.items()
                    for fault in self._faults_of(try_id, runs, try_id in once_ids)]

    def _faults_of(self, try_id: str, runs: list[Run], is_once: bool) -> list[str]:
        request = self._sent.get(try_id)
        if request is None:
            return [f"{try_id} ran, but no client sent it"]
        found = []
        wanted = (request.method, request.path, request.body)
        if any((run.method, run.path, run.request_body) != wanted for run in runs):
            found.append(f"{request.path} was changed on its way to a backend")
        if is_once and len(runs) > 1:
            found.append(f"{request.path} is not repeatable and ran {len(runs)} times")
        if try_id in self._refused:
            found.append(f"{request.path} was refused with 503 and ran")
        return found
