"""Clients of the pooler: each session writes or reads things one after the other."""
import asyncio
import random
from dataclasses import dataclass, field

from databases import encode, read_message
from nodes import Record, now


@dataclass
class Read:
    """One read that was answered with success."""

    thing: str
    sent_at: float
    wanted: str  # acknowledged before its first byte left
    got: str
    stamp: str


@dataclass
class Outcome:
    """What clients saw."""

    acknowledged: dict[str, str] = field(default_factory=dict)  # what each thing must hold
    things: list[str] = field(default_factory=list)  # of it, in the order of acknowledgement
    reads: list[Read] = field(default_factory=list)
    tries: list[tuple[float, bool]] = field(default_factory=list)  # sent when, whether served
    written: list[tuple[float, str]] = field(default_factory=list)  # sent when, the stamp
    counts: dict[str, int] = field(default_factory=dict)

    def count(self, what: str) -> None:
        """One more."""
        self.counts[what] = self.counts.get(what, 0) + 1


class Session:
    """One connection to a pooler."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, address: tuple[str, int], database: str) -> "Session":
        """Connects; raises ConnectionError unless READY comes within two seconds."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 2)
            writer.write(encode("S", database, "reviewer"))
            kind, _ = await asyncio.wait_for(read_message(reader), 2)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            raise ConnectionError(str(error)) from error
        if kind != "Z":
            writer.close()
            raise ConnectionError("no READY")
        return cls(reader, writer)

    async def ask(self, try_id: str, text: str, limit_s: float,
                  ends_sending: bool = False) -> tuple[str, str, list[str]]:
        """Code (empty: done), stamp and rows; raises ConnectionError without an answer."""
        rows: list[str] = []
        code, stamp = "", ""
        try:
            self._writer.write(encode("Q", try_id, text))
            if ends_sending:
                self._writer.write_eof()
            until = now() + limit_s
            while True:
                kind, fields = await asyncio.wait_for(read_message(self._reader),
                                                      max(0.01, until - now()))
                if kind == "D":
                    rows.append(fields[0])
                elif kind == "C":
                    stamp = fields[0]
                elif kind == "E":
                    code = fields[0]
                else:
                    return code, stamp, rows
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            raise ConnectionError(str(error)) from error

    def close(self) -> None:
        """Ends the session."""
        self._writer.close()


PROMISES = ("BUSY", "UNDONE", "LAGGING", "READONLY", "WRONGHOST", "FULL")


async def write_on(record: Record, outcome: Outcome, address: tuple[str, int], database: str,
                   name: str, pause_s: float, is_over) -> None:
    """Writes one new thing after the other; nobody writes to any of them again."""
    number = 0
    session = None
    while not is_over():
        number += 1
        thing, data = f"{name}n{number}", f"d{random.getrandbits(32):08x}"
        try_id = f"{random.getrandbits(64):016x}"
        sent_at = now()
        try:
            session = session or await Session.open(address, database)
            record.note(f"send {try_id} WRITE {thing} {data}")
            code, stamp, _ = await session.ask(try_id, f"WRITE {thing} {data}", 12)
            record.note(f"answer {try_id} {code or 'DONE'} {stamp}")
            outcome.count(f"write {code or 'DONE'}")
            outcome.tries.append((sent_at, not code))
            if not code:
                outcome.acknowledged[thing] = data
                outcome.things.append(thing)
                outcome.written.append((sent_at, stamp))
        except ConnectionError:
            outcome.count("write without an answer")
            outcome.tries.append((sent_at, False))
            if session:
                session.close()
            session = None
            await asyncio.sleep(0.1)
        await asyncio.sleep(pause_s)
    if session:
        session.close()


async def read_on(record: Record, outcome: Outcome, address: tuple[str, int], database: str,
                  pause_s: float, is_over) -> None:
    """Reads things whose writing was acknowledged, the newest most of the time."""
    session = None
    while not is_over():
        if not outcome.things:
            await asyncio.sleep(0.05)
            continue
        thing = random.choice(outcome.things[-60:])
        try_id = f"{random.getrandbits(64):016x}"
        sent_at = now()
        try:
            session = session or await Session.open(address, database)
            wanted, sent_at = outcome.acknowledged[thing], now()
            record.note(f"send {try_id} READ {thing}, acknowledged before: {wanted}")
            code, stamp, rows = await session.ask(try_id, f"READ {thing}", 12)
            record.note(f"answer {try_id} {code or 'DONE'} {stamp} {rows}")
            outcome.count(f"read {code or 'DONE'}")
            outcome.tries.append((sent_at, not code))
            if not code:
                outcome.reads.append(Read(thing, sent_at, wanted, rows[0] if rows else "", stamp))
        except ConnectionError:
            outcome.count("read without an answer")
            outcome.tries.append((sent_at, False))
            if session:
                session.close()
            session = None
            await asyncio.sleep(0.1)
        await asyncio.sleep(pause_s)
    if session:
        session.close()
