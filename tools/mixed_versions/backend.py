"""Stand-in backends: they answer for one service and note every run in the ledger."""
import hashlib
import itertools
from dataclasses import dataclass

from mixed_versions.addresses import BACKEND_PORT
from mixed_versions.configurations import HEALTH_PATH, PLAIN_SERVICE
from mixed_versions.http_stand_in import StandInHandler, StandInServer
from mixed_versions.ledger import Ledger, Run

RECORD_SIZE = 16
CAPACITY = 16

_RECORDS = 30
_SHED_EVERY = 25
_REMAINDER = b"end"  # shorter than a record, so it is none


@dataclass(frozen=True)
class BackendSpec:
    """One backend, as the platform lists it."""

    identity: str
    service: str
    host: str
    zone: str

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{self.host}:{BACKEND_PORT}"


def make_answer(spec: BackendSpec, run_number: int, try_id: str, path: str) -> tuple[str, bytes]:
    """The seal and the body of one run; no two runs have the same."""
    seed = f"{spec.identity} {run_number} {try_id} {path}".encode()
    seal = hashlib.sha256(seed).hexdigest()[:24]
    if spec.service == PLAIN_SERVICE:
        return seal, b"answer to " + seed + b"\n"
    records = (hashlib.md5(f"{seal} {number}".encode()).digest() for number in range(_RECORDS))
    return seal, b"".join(records) + _REMAINDER


def start_backend(spec: BackendSpec, ledger: Ledger) -> StandInServer:
    """Starts to serve as this backend."""
    arrivals = itertools.count(1)

    class Handler(StandInHandler):
        """Answers health probes and the service's requests."""

        def do_GET(self):
            """A health probe or a request."""
            if self.path == HEALTH_PATH:
                self.answer(200, {"Server-Id": spec.identity}, b"")
            else:
                self._run()

        def do_POST(self):
            """A request."""
            self._run()

        def _run(self):
            body = self.read_body()
            try_id = self.headers.get("Try-Id", "")
            returned = {"Try-Id": try_id, "Server-Id": spec.identity}
            if self.headers.get("Meant-Server", spec.identity) != spec.identity:
                return self.answer(421, {**returned, "Not-Run": "1"}, b"")
            number = next(arrivals)
            if number % _SHED_EVERY == 0:
                return self.answer(503, {**returned, "Not-Run": "1"}, b"")
            seal, answer_body = make_answer(spec, number, try_id, self.path)
            ledger.note_run(Run(try_id, spec.service, self.command, self.path, body, seal,
                                answer_body))
            return self.answer(200, {**returned, "Answer-Seal": seal}, answer_body)

    return StandInServer(spec.host, BACKEND_PORT, Handler)
