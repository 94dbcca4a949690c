"""The soak's checker finds each planted wrong history, and nothing in a right one."""
import unittest

from mixed_versions.ledger import Ledger, Run as LedgerRun
from mixed_versions.requests import Request, RouteKind
from soak import checker
from soak.configurations import make_soak_configuration, moving_service
from soak.history import (Attempt, Call, Drain, History, Life, Observation, Put, Read, Run,
                          Span)

START = 1000.0


def make_attempt(number: int, sent_at: float = START, **fields) -> Attempt:
    """A request on the moving route that was served."""
    request = Request(RouteKind.PLAIN, "GET", f"/moving/{number}", b"", f"try-{number}")
    values = {"ended_at": sent_at + 0.1, "status": 200, "is_read_whole": True, **fields}
    return Attempt(request, "broker-1", sent_at, **values)


def make_run(number: int, began_at: float = START, **fields) -> Run:
    """Its run at a backend."""
    values = {"ended_at": began_at + 0.05, **fields}
    return Run(f"try-{number}", values.pop("backend", "i-1"),
               values.pop("service", moving_service(2)), f"/moving/{number}", began_at, **values)


def make_put(version: int, sent_at: float, **fields) -> Put:
    """An order that was acknowledged at once."""
    values = {"body": make_soak_configuration(version).body, "acknowledged_at": sent_at + 0.01,
              **fields}
    return Put(version, sent_at=sent_at, **values)


def make_history() -> History:
    """A right history: an order, a served request, a read."""
    history = History()
    history.lives.append(Life("broker-1", START - 100))
    history.puts.append(make_put(2, START - 50))
    history.attempts.append(make_attempt(1))
    history.runs.append(make_run(1))
    history.reads.append(Read("registry-1", START, START + 0.1, history.puts[0].body))
    return history


class CheckerTest(unittest.TestCase):
    """One wrong history each."""

    def setUp(self):
        self.history = make_history()
        self.ledger = Ledger()

    def rules(self) -> set[str]:
        """The rules that are found broken."""
        return {violation.rule
                for violation in checker.check_all(self.history, self.ledger, {"try-1"})}

    def test_requests_without_an_answer_after_the_end_of_sending(self):
        """LOST, passed on or not, unless the broker was in trouble or is leaving."""
        lost = [make_attempt(number, status=0, has_ended_sending=True) for number in range(10, 14)]
        self.history.explanations = {f"try-{number}": " status=0 " for number in range(10, 14)}
        self.history.attempts += lost[:3]
        self.assertEqual(self.rules(), set())
        self.history.attempts.append(lost[3])
        self.assertEqual(self.rules(), {"LOST"})
        self.history.lives[0].ended_at = START + 3
        self.assertEqual(self.rules(), {"Fault"})
        self.history.lives[0].is_end_wanted = True
        self.assertEqual(self.rules(), set())

    def test_calls_without_an_answer_after_the_end_of_sending(self):
        """LOST, unless the registry was in trouble."""
        self.history.lives.append(Life("registry-1", START - 100))
        self.history.calls = [Call("registry-1", START, START + 0.1, 0, True) for _ in range(4)]
        self.assertEqual(self.rules(), {"LOST"})
        self.history.spans.append(Span("pause", ("registry-1",), START - 1, START))
        self.assertEqual(self.rules(), set())

    def test_a_right_history(self):
        """Nothing is found."""
        self.assertEqual(self.rules(), set())

    def test_wrong_answer(self):
        """MIXED."""
        self.history.attempts[0].wrong = "body is not the backend's"
        self.assertEqual(self.rules(), {"MIXED"})

    def test_unasked(self):
        """A run that nobody sent."""
        self.ledger.note_run(LedgerRun("other", "s", "GET", "/", b"", "seal", b""))
        self.assertEqual(self.rules(), {"UNASKED, TWICE, REFUSED"})

    def test_twice(self):
        """A request that may run once ran twice."""
        self.ledger.note_sent(self.history.attempts[0].request)
        for _ in range(2):
            self.ledger.note_run(LedgerRun("try-1", "s", "GET", "/moving/1", b"", "seal", b""))
        self.assertEqual(self.rules(), {"UNASKED, TWICE, REFUSED"})

    def test_route(self):
        """A service that no configuration sent so far allows."""
        self.history.runs[0].service = moving_service(3)
        self.assertIn("ROUTE", self.rules())

    def test_drain(self):
        """A run long after the backend drained."""
        self.history.drains.append(Drain("i-1", START - 4))
        self.assertEqual(self.rules(), {"DRAIN"})

    def test_gone(self):
        """Backends at work after clients left."""
        for number in range(10, 20):
            self.history.attempts.append(make_attempt(number, status=0, left_at=START + 0.2))
            self.history.runs.append(make_run(number, ended_at=START + 1.5))
        self.assertIn("GONE", self.rules())

    def test_late_arrivals_of_gone(self):
        """Requests that reach a backend after the client left."""
        for number in range(10, 15):
            self.history.attempts.append(make_attempt(number, status=0, left_at=START + 0.2))
            self.history.runs.append(make_run(number, began_at=START + 0.8))
        self.assertIn("GONE", self.rules())

    def test_late_arrivals_by_another_broker(self):
        """They count unless the broker that may have passed them on stood still."""
        self.history.lives.append(Life("broker-2", START - 100))
        for number in range(10, 15):
            self.history.attempts.append(make_attempt(number, status=0, left_at=START + 0.2))
            self.history.runs.append(make_run(number, began_at=START + 0.8, is_delegated=True))
        self.assertIn("GONE", self.rules())
        self.history.spans.append(Span("pause", ("broker-2",), START - 1, START + 0.8))
        self.assertNotIn("GONE", self.rules())
        for run in self.history.runs:
            run.is_delegated = False
        self.assertIn("GONE", self.rules())

    def test_kept_connections(self):
        """Kept connections cut while a sound backend had the request."""
        for number in range(10, 15):
            self.history.attempts.append(make_attempt(number, status=0, is_on_kept_connection=True))
            self.history.runs.append(make_run(number))
        self.assertIn("LOST", self.rules())

    def test_planned_work(self):
        """A request lost beside a SIGTERM."""
        self.history.attempts[0].status = 0
        planned = checker.PlannedWork(START - 1, START + 6, "broker-1", 6)
        found = list(checker.check_planned_work(self.history, planned))
        self.assertEqual([violation.rule for violation in found], ["LOST"])

    def test_older_read(self):
        """A read of an older version than one acknowledged before."""
        self.history.puts.append(make_put(4, START - 10))
        self.assertIn("CONFIG", self.rules())

    def test_foreign_read(self):
        """A read of bytes that nobody sent."""
        self.history.reads[0].body += b" "
        self.assertEqual(self.rules(), {"CONFIG"})

    def test_reads_that_go_back(self):
        """A read that is older than another one before it."""
        newer = make_put(4, START - 10, acknowledged_at=0.0)
        self.history.puts.append(newer)
        self.history.reads.insert(0, Read("registry-2", START - 2, START - 1, newer.body))
        self.assertIn("CONFIG", self.rules())

    def test_invalid_order(self):
        """An invalid order that was acknowledged."""
        self.history.puts.append(make_put(4, START, is_valid=False))
        self.assertEqual(self.rules(), {"CONFIG"})

    def test_refused_order(self):
        """A proper order that was refused."""
        self.history.puts.append(make_put(4, START, acknowledged_at=0.0, refused=400))
        self.assertEqual(self.rules(), {"CONFIG"})

    def test_late_order(self):
        """A proper order without an acknowledgement in a calm time."""
        self.history.puts.append(make_put(4, START, acknowledged_at=START + 7))
        self.history.reads.append(Read("registry-1", START + 8, START + 8.1,
                                       self.history.puts[1].body))
        self.assertEqual(self.rules(), {"Acks"})

    def test_old_version_in_force(self):
        """A request by an older version than the one due."""
        self.history.puts.append(make_put(3, START - 5))
        self.assertIn("CONFIG", self.rules())

    def test_trouble_excuses_an_old_version(self):
        """The same while machines are not in touch."""
        self.history.puts.append(make_put(3, START - 5))
        self.history.reads.clear()
        self.history.spans.append(Span("cut", ("broker-1",), START - 2, START - 1))
        self.assertEqual(self.rules(), set())

    def test_old_version_held(self):
        """A broker that serves by an older version than the one due, by its own word."""
        self.history.puts.append(make_put(4, START - 10, body=b""))
        self.history.reads.clear()
        self.history.attempts.clear()
        self.history.observations.append(
            Observation("broker-1", 1, START, {"saddlewing_edition": 2}))
        self.assertEqual(self.rules(), {"CONFIG"})

    def test_going_back(self):
        """A broker whose version falls within one life."""
        for at, version in enumerate((3, 2)):
            self.history.observations.append(
                Observation("broker-1", 1, START + at, {"saddlewing_edition": version}))
        self.assertEqual(self.rules(), {"CONFIG"})

    def test_tries(self):
        """A request on more backends than its route's tries."""
        self.history.runs += [make_run(1, backend=f"i-{number}") for number in (2, 3)]
        self.assertEqual(self.rules(), {"BUDGET"})

    def test_own_end(self):
        """A process that ended by itself."""
        self.history.lives.append(Life("registry-1", START, START + 1, -11))
        self.assertEqual(self.rules(), {"Fault"})

    def test_crash_at_the_end(self):
        """A process that was asked to end and crashed."""
        self.history.lives.append(Life("registry-1", START, START + 1, 0, True))
        self.history.lives.append(Life("registry-1", START, START + 1, -9, True))
        self.assertEqual(self.rules(), set())
        self.history.lives.append(Life("registry-1", START, START + 1, -11, True))
        self.assertEqual(self.rules(), {"Fault"})

    def test_invariant(self):
        """A violation that a node counted."""
        name = 'saddlewing_invariant_violations_total{invariant="one_leader_per_term"}'
        self.history.observations.append(Observation("registry-1", 1, START, {name: 1.0}))
        self.assertEqual(self.rules(), {"invariant"})

    def test_unserved(self):
        """Too few served in the calm time."""
        self.history.attempts[0].status = 503
        found = list(checker.check_served(self.history, START - 1, START + 1))
        self.assertEqual([violation.rule for violation in found], ["RECOVER"])

    def test_unexplained(self):
        """A failed request that its broker does not explain, or explains wrongly."""
        self.history.attempts[0].status = 502
        self.assertEqual(self.rules(), {"sight"})
        self.history.explanations["try-1"] = "try_id=try-1 route=moving status=502 [backend=i-2 ]"
        self.assertEqual(self.rules(), {"sight"})
        self.history.explanations["try-1"] = "try_id=try-1 route=moving status=502 [backend=i-1 ]"
        self.assertEqual(self.rules(), set())

    def test_problem(self):
        """What the soak saw at the end."""
        self.history.problems.append("broker-1 still has 3 requests")
        self.assertEqual(self.rules(), {"end"})


if __name__ == "__main__":
    unittest.main()
