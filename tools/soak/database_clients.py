"""Clients of databases: sessions at every pooler that write things once and read them again."""
import asyncio
import dataclasses
import itertools
import random

from mixed_versions.addresses import FRONT_PORT
from soak.database_history import DatabaseHistory, Statement
from soak.database_wire import encode, read_wire_message
from soak.history import now

WRITERS = 2
READERS = 2

_GREETING_WAIT_S = 2.0
_ANSWER_WAIT_S = 12.0
_PAUSE_S = (0.01, 0.08)
_RETRY_PAUSE_S = 0.1
_NEWEST_THINGS = 40
_END_SENDING_SHARE = 0.05  # of writes: behind them the client ends its sending side, and waits
_TRANSACTION_EVERY_S = 0.25
_BURST_EVERY_S = 1.5
_BURST = 20  # sessions that ask once, all at a time


class Session:
    """One connection to a pooler, kept until it breaks."""

    def __init__(self, host: str, database: str, end_early_share: float, source: random.Random):
        self._host, self._database = host, database
        self._end_early_share, self._random = end_early_share, source
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, try_id: str, text: str, statement: Statement,
                  ends_sending: bool = False) -> None:
        """Notes the outcome in the statement; without an answer its code stays as it was.

        `ends_sending`: behind the statement the client ends its sending side, and waits.
        """
        try:
            if self._streams is None:
                await self._open()
            reader, writer = self._streams
            writer.write(encode("Q", try_id, text))
            if ends_sending:
                writer.write_eof()
                statement.has_ended_sending = True
            async with asyncio.timeout(_ANSWER_WAIT_S):
                await self._read_answer(reader, statement)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            await asyncio.sleep(_RETRY_PAUSE_S)
        if statement.has_ended_sending or self._random.random() < self._end_early_share:
            self.close()

    async def ask_transaction(self, try_ids: list[str], statement: Statement) -> None:
        """A write in a transaction, all sent at once and then the end of sending.

        The outcome is that of the commit, the last of the answers.
        """
        texts = ["BEGIN", f"WRITE {statement.thing} {statement.data}", "SAVE"]
        try:
            await self._open()
            reader, writer = self._streams
            writer.write(b"".join(encode("Q", *asked) for asked in zip(try_ids, texts)))
            writer.write_eof()
            statement.has_ended_sending = True
            async with asyncio.timeout(_ANSWER_WAIT_S):
                for _ in texts[:-1]:
                    await self._read_answer(reader, dataclasses.replace(statement))
                await self._read_answer(reader, statement)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        self.close()

    async def _open(self) -> None:
        async with asyncio.timeout(_GREETING_WAIT_S):
            self._streams = await asyncio.open_connection(self._host, FRONT_PORT)
            self._streams[1].write(encode("S", self._database, "soak"))
            greeting = await read_wire_message(self._streams[0])
        if greeting.kind != "Z":
            raise ConnectionError(greeting.fields)

    @staticmethod
    async def _read_answer(reader: asyncio.StreamReader, statement: Statement) -> None:
        code = ""
        while True:
            message = await read_wire_message(reader)
            if message.kind == "D":
                statement.row = message.fields[0]
            elif message.kind == "C":
                statement.stamp = message.fields[0]
            elif message.kind == "E":
                code = message.fields[0]
            else:
                statement.code, statement.ended_at = code, now()
                return

    def close(self) -> None:
        """Ends the connection."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None


class DatabaseClients:
    """All clients of a run."""

    _numbers = itertools.count(1)

    def __init__(self, history: DatabaseHistory, seed: int, pooler_hosts: dict[str, str]):
        self._history = history
        self._random = random.Random(seed ^ 0xDB)
        self._pooler_hosts = pooler_hosts
        self._acknowledged: dict[str, list[tuple[str, str]]] = {}  # things and data, by database
        self._is_ending = False
        self._tasks: list[asyncio.Task] = []

    def start(self, database: str) -> None:
        """Begins to write to this database and to read from it, at every pooler."""
        self._acknowledged[database] = []
        for pooler in self._pooler_hosts:
            workers = [self._write] * WRITERS + [self._read] * READERS
            for work in workers + [self._transact, self._burst]:
                self._tasks.append(asyncio.create_task(work(pooler, database)))

    async def stop(self) -> None:
        """Ends after the statements at work."""
        self._is_ending = True
        await asyncio.gather(*self._tasks)

    def _new_session(self, pooler: str, database: str) -> Session:
        early = self._random.choice((0.0, 0.05))
        return Session(self._pooler_hosts[pooler], database, early, self._random)

    async def _pause(self) -> None:
        await asyncio.sleep(self._random.uniform(*_PAUSE_S))

    async def _write(self, pooler: str, database: str) -> None:
        session = self._new_session(pooler, database)
        while not self._is_ending:
            number = next(self._numbers)
            statement = Statement(database, pooler, f"t{number}", True, now(), f"d{number}")
            ends_sending = self._random.random() < _END_SENDING_SHARE
            self._history.statements.append(statement)
            await session.ask(f"{number:016x}", f"WRITE {statement.thing} {statement.data}",
                              statement, ends_sending)
            if not statement.code:
                self._acknowledged[database].append((statement.thing, statement.data))
            await self._pause()
        session.close()

    async def _transact(self, pooler: str, database: str) -> None:
        """Transactions that are sent at once, each on a session of its own."""
        while not self._is_ending:
            number = next(self._numbers)
            statement = Statement(database, pooler, f"t{number}", True, now(), f"d{number}")
            self._history.statements.append(statement)
            session = Session(self._pooler_hosts[pooler], database, 0.0, self._random)
            try_ids = [f"{number:016x}"] + [f"{next(self._numbers):016x}" for _ in range(2)]
            await session.ask_transaction(try_ids, statement)
            if not statement.code:
                self._acknowledged[database].append((statement.thing, statement.data))
            await asyncio.sleep(_TRANSACTION_EVERY_S)

    async def _burst(self, pooler: str, database: str) -> None:
        """Many sessions at once, more than there are connections: each asks once."""
        while not self._is_ending:
            known = self._acknowledged[database][-_NEWEST_THINGS:]
            if known:
                things = self._random.choices(known, k=_BURST)
                await asyncio.gather(*(self._read_once(pooler, database, *thing)
                                       for thing in things))
            await asyncio.sleep(_BURST_EVERY_S)

    async def _read_once(self, pooler: str, database: str, thing: str, data: str) -> None:
        statement = Statement(database, pooler, thing, False, now(), data)
        self._history.statements.append(statement)
        session = Session(self._pooler_hosts[pooler], database, 0.0, self._random)
        await session.ask(f"{next(self._numbers):016x}", f"READ {thing}", statement,
                          ends_sending=True)
        session.close()

    async def _read(self, pooler: str, database: str) -> None:
        session = self._new_session(pooler, database)
        while not self._is_ending:
            known = self._acknowledged[database][-_NEWEST_THINGS:]
            if known:
                thing, data = self._random.choice(known)
                statement = Statement(database, pooler, thing, False, now(), data)
                self._history.statements.append(statement)
                await session.ask(f"{next(self._numbers):016x}", f"READ {thing}", statement)
            await self._pause()
        session.close()
