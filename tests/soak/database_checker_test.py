"""The checker of databases finds each planted wrong history, and nothing in a right one."""
import unittest

from soak import database_checker as checker
from soak.database_history import DatabaseHistory, Promotion, Statement
from soak.history import Life, Span

START = 1000.0


def make_write(number: int, sent_at: float, stamp: str, **fields) -> Statement:
    """A write that was acknowledged."""
    values = {"ended_at": sent_at + 0.01, "code": "", "stamp": stamp, **fields}
    return Statement("shop-1", "pooler-1", f"t{number}", True, sent_at, f"d{number}", **values)


def make_read(number: int, sent_at: float, **fields) -> Statement:
    """A read of what was acknowledged before."""
    values = {"ended_at": sent_at + 0.01, "code": "", "row": f"d{number}", "stamp": "second",
              **fields}
    return Statement("shop-1", "pooler-1", f"t{number}", False, sent_at, f"d{number}", **values)


def make_history(is_synchronous: bool = False) -> DatabaseHistory:
    """A right history: a write in term 1, a promotion to term 2, a write and reads in it."""
    history = DatabaseHistory()
    history.services["shop-1"] = "books-1"
    history.stamp_terms = {"first": 1, "second": 2}
    history.promotions.append(Promotion("books-1", "i-2", 2, START + 5, is_synchronous,
                                        frozenset({"t1"}), frozenset()))
    history.statements += [make_write(1, START, "first"), make_write(2, START + 6, "second"),
                           make_read(1, START + 7), make_read(2, START + 7)]
    return history


class DatabaseCheckerTest(unittest.TestCase):
    """One wrong history each."""

    def setUp(self):
        self.history = make_history()

    def rules(self, kept: frozenset[str] = frozenset({"t1", "t2"})) -> set[str]:
        """The rules that are found broken."""
        return {violation.rule
                for violation in checker.check_all(self.history, {"books-1": kept})}

    def test_a_right_history(self):
        """Nothing is found."""
        self.assertEqual(self.rules(), set())

    def test_a_former_primary_acknowledges_a_write(self):
        """ONE, unless its pooler was in trouble."""
        self.history.statements.append(make_write(3, START + 6, "first"))
        self.assertEqual(self.rules(), {"ONE"})
        self.history.spans.append(Span("pause", ("pooler-1",), START + 5.5, START + 5.9))
        self.assertEqual(self.rules(), set())

    def test_statements_without_an_answer_after_the_end_of_sending(self):
        """LOST, passed on or not, unless the pooler was in trouble."""
        self.history.lives.append(Life("pooler-1", START))
        numbers = range(10, 14)
        unanswered = [make_write(number, START + 20, "", code="no answer", ended_at=0.0,
                                 has_ended_sending=True) for number in numbers]
        self.history.statements += unanswered[:3]
        self.assertEqual(self.rules(), set())
        self.history.statements.append(unanswered[3])
        self.assertEqual(self.rules(), {"LOST"})
        self.history.spans.append(Span("pause", ("pooler-1",), START + 16, START + 17))
        self.assertEqual(self.rules(), set())

    def test_a_read_lacks_what_was_acknowledged(self):
        """STALE, unless a promotion cut it back."""
        self.history.statements.append(make_read(1, START + 8, row="-"))
        self.assertEqual(self.rules(), {"STALE"})
        promotion = self.history.promotions[0]
        self.history.promotions[0] = Promotion(promotion.service, promotion.backend, 2, START + 5,
                                               False, frozenset(), frozenset({"t1"}))
        self.assertEqual(self.rules(), set())

    def test_an_acknowledged_commit_is_not_in_the_promoted_log(self):
        """LOST, with synchronous replication alone."""
        lost = make_write(4, START + 1, "first")
        self.history.statements.append(lost)
        self.assertEqual(self.rules(), set())
        self.history = make_history(is_synchronous=True)
        self.history.statements.append(lost)
        self.assertEqual(self.rules(), {"LOST"})

    def test_what_was_refused_is_kept(self):
        """REFUSED."""
        self.history.statements.append(make_write(5, START + 6, "", code="BUSY"))
        self.assertEqual(self.rules(), set())
        self.assertEqual(self.rules(frozenset({"t5"})), {"REFUSED"})

    def test_a_calm_time_is_not_served(self):
        """RECOVER: too few statements, or too few of them served."""
        served = [make_read(1, START + 20 + at / 100) for at in range(40)]
        self.history.statements += served
        self.assertEqual(self.served_rules(), set())
        for statement in served[:5]:
            statement.code = "BUSY"
        self.assertEqual(self.served_rules(), {"RECOVER"})
        del self.history.statements[-30:]
        self.assertEqual(self.served_rules(), {"RECOVER"})

    def served_rules(self) -> set[str]:
        """The rules that are found broken in the calm time."""
        return {violation.rule for violation in checker.check_served(
            self.history, "shop-1", START + 20, START + 30)}


if __name__ == "__main__":
    unittest.main()
