"""Clients that keep sending to both brokers while processes are replaced."""
import itertools
import threading

from mixed_versions.client import NotSent, exchange, is_ready
from mixed_versions.findings import Findings
from mixed_versions.judge import Verdict, WrongAnswer, judge
from mixed_versions.ledger import Ledger
from mixed_versions.requests import Request, RouteKind, make_request

_CLIENTS_PER_BROKER = 2
_PAUSE_S = 0.02
_READY_EVERY_S = 0.1
_MOST_REQUESTS = 20000


class Traffic:
    """Sends requests of every kind to the brokers that call themselves ready."""

    def __init__(self, broker_hosts: tuple[str, ...], ledger: Ledger, findings: Findings):
        self._ledger = ledger
        self._findings = findings
        self._ending = threading.Event()
        self._is_in = {host: threading.Event() for host in broker_hosts}
        self._lock = threading.Lock()
        self._once_ids: set[str] = set()
        workers = [(self._watch, host) for host in broker_hosts]
        workers += [(self._send_all, host) for host in broker_hosts * _CLIENTS_PER_BROKER]
        self._threads = [threading.Thread(target=work, args=(host,), daemon=True)
                         for work, host in workers]

    def start(self) -> None:
        """Starts to send."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Returns once every request sent has its answer."""
        self._ending.set()
        for thread in self._threads:
            if thread.ident is not None:
                thread.join()

    def once_ids(self) -> set[str]:
        """The ids of all requests that are not repeatable."""
        with self._lock:
            return set(self._once_ids)

    def is_in(self, broker_host: str) -> bool:
        """Whether clients are sent to this broker."""
        return self._is_in[broker_host].is_set()

    def send(self, broker_host: str, request: Request, may_be_unknown: bool) -> Verdict | None:
        """Sends one request and judges its answer; None if it was not sent or answered wrongly."""
        self._ledger.note_sent(request)
        if request.kind is RouteKind.ONCE:
            with self._lock:
                self._once_ids.add(request.try_id)
        try:
            answer = exchange(broker_host, request)
            self._findings.add(sent=1)
            verdict = judge(request, answer, self._ledger)
            if verdict is Verdict.NOT_FOUND and not may_be_unknown:
                raise WrongAnswer("404 on a standing route")
        except NotSent:
            return None
        except WrongAnswer as reason:
            self._findings.fault(f"{request.path} at {broker_host}: {reason}")
            return None
        self._count(request, verdict)
        return verdict

    def _count(self, request: Request, verdict: Verdict) -> None:
        is_served = verdict is Verdict.SERVED
        self._findings.add(served=is_served, refused=verdict is Verdict.REFUSED,
                           not_found=verdict is Verdict.NOT_FOUND,
                           gathered=is_served and request.kind is RouteKind.GATHERED)

    def _watch(self, broker_host: str) -> None:
        while not self._ending.wait(_READY_EVERY_S):
            if is_ready(broker_host):
                self._is_in[broker_host].set()
            else:
                self._is_in[broker_host].clear()

    def _send_all(self, broker_host: str) -> None:
        kinds = itertools.cycle(RouteKind)
        while not self._ending.wait(_PAUSE_S):
            if self._findings.counts.sent >= _MOST_REQUESTS:
                return
            if self.is_in(broker_host):
                self.send(broker_host, make_request(next(kinds)), may_be_unknown=False)
