"""Stand-ins of databases with replicas, and of the platform that promotes one of them."""
import asyncio
import json
import random
from dataclasses import dataclass, field

from nodes import Cluster, Record, http_call, now

PROMOTE_S = 0.3  # `promote_ms` of the deployment
BEAT_S = 1.2  # `beat_every_ms`
REACH_S = 1.0  # a former primary goes on so long once the new one is within its reach
DARK_DROP_S = 3.0  # a connection whose far end is dark is dropped after that


def encode(kind: str, *fields: str) -> bytes:
    """A message of the wire."""
    body = b"".join(text.encode() + b"\0" for text in fields)
    return kind.encode() + len(body).to_bytes(4, "big") + body


async def read_message(reader: asyncio.StreamReader) -> tuple[str, list[str]]:
    """The next message of the wire."""
    head = await reader.readexactly(5)
    body = await reader.readexactly(int.from_bytes(head[1:], "big"))
    return chr(head[0]), [text.decode() for text in body.split(b"\0")[:-1]]


@dataclass(frozen=True)
class Commit:
    """One entry of a log: what it wrote, at TERM.NUMBER."""

    term: int
    number: int
    writes: tuple[tuple[str, str], ...]


@dataclass
class Talk:
    """What a connection of the system holds at a database."""

    state: str = "I"
    is_read_only: bool = True
    writes: list[tuple[str, str]] = field(default_factory=list)
    values: dict[str, str] = field(default_factory=dict)
    names: dict[str, tuple[str, str]] = field(default_factory=dict)


class Database:
    """One backend of a database service."""

    def __init__(self, group: "Group", backend_id: str, host: str, zone: str, is_leader: bool):
        self.group, self.id, self.host, self.zone = group, backend_id, host, zone
        self.is_leader, self.term = is_leader, 1
        self.log: list[Commit] = []
        self.is_up = self.is_dark = False
        self.state = "ready"
        self.calls = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._beat_now = asyncio.Event()
        self._received = asyncio.Condition()
        self._tasks: list[asyncio.Task] = []

    @property
    def record(self) -> Record:
        """Where lines go."""
        return self.group.cluster.record

    def position(self) -> str:
        """Of its log."""
        return f"{self.log[-1].term}.{self.log[-1].number}" if self.log else f"{self.term}.0"

    def is_reachable(self) -> bool:
        """Whether others on the network reach it."""
        return self.is_up and not self.is_dark

    def value_of(self, thing: str) -> str:
        """What its log holds of a thing; - for nothing."""
        return self.group.value_in(self.log, thing)

    async def start(self) -> None:
        """Begins to serve and to send beats."""
        self.is_up = True
        self._server = await asyncio.start_server(self._serve, self.host, self.group.port)
        self._tasks = [asyncio.create_task(self._send_beats())]

    async def end(self, why: str) -> None:
        """Ends at once; its log stays."""
        self.record.note(f"{self.id} {why}, its log at {self.position()}")
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def go_dark(self) -> None:
        """Nothing reaches it any more, and nothing comes from it."""
        self.record.note(f"{self.id} goes dark, its log at {self.position()}")
        self.is_dark = True

    def come_back(self) -> None:
        """It is within reach again; what stood open is dropped."""
        self.record.note(f"{self.id} is within reach again, its log at {self.position()}, "
                         f"{'leader' if self.is_leader else 'copy'} of term {self.term}")
        self.is_dark = False
        for writer in list(self._writers):
            writer.transport.abort()
        self.group.meet(self)

    def change_role(self, is_leader: bool, term: int) -> None:
        """It leads, or follows; any change is told at once."""
        if (self.is_leader, self.term) != (is_leader, term):
            self.record.note(f"{self.id} is {'leader' if is_leader else 'copy'} of term {term}, "
                             f"its log at {self.position()}")
        self.is_leader, self.term = is_leader, term
        self._beat_now.set()

    def say_emptying(self) -> None:
        """A planned end is near."""
        self.record.note(f"{self.id} says emptying, its log at {self.position()}")
        self.state = "emptying"
        self._beat_now.set()

    async def receive(self, log: list[Commit], term: int) -> None:
        """A primary's log, as it was when it was sent."""
        if term < self.term or self.is_leader:
            return
        self.term = term
        async with self._received:
            self.log = log
            self._received.notify_all()

    async def _send_beats(self) -> None:
        registries = self.group.registries
        preferred: tuple[str, int] | None = None
        at = 0
        while True:
            while self.is_dark:
                await asyncio.sleep(0.05)
            self._beat_now.clear()
            self.calls += 1
            body = json.dumps({
                "id": self.id, "service": self.group.service,
                "address": f"{self.host}:{self.group.port}", "zone": self.zone, "version": "v1",
                "capacity": 8, "state": self.state, "warm_left_ms": 0, "call_count": self.calls,
                "store_role": "leader" if self.is_leader else "copy"})
            for _ in range(len(registries) + 1):
                target = preferred or registries[at % len(registries)]
                status, text = await http_call(target, "PUT", f"/backends/{self.id}", body)
                if 200 <= status < 300:
                    told = json.loads(text or "{}").get("next_beat_to")
                    if told:
                        host, _, port = told.partition(":")
                        preferred = host, int(port)
                    if self.state != "ready":
                        self.record.note(f"beat of {self.id}, {self.state}, acknowledged")
                    break
                preferred = None
                at += 1
            try:
                await asyncio.wait_for(self._beat_now.wait(), BEAT_S)
            except asyncio.TimeoutError:
                pass

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        talk = Talk()
        try:
            kind, fields = await read_message(reader)
            if self.is_dark:
                await asyncio.sleep(DARK_DROP_S)
                return
            is_right = (kind == "S" and fields[0] == self.group.service
                        and (len(fields) < 3 or fields[2] in ("", self.id)))
            if not is_right:
                writer.write(encode("E", "WRONGHOST", self.id))
                return
            writer.write(encode("Z", "I", self.position()))
            while True:
                kind, fields = await read_message(reader)
                if kind != "Q":
                    return
                answer = await self._run(talk, fields[0], fields[1])
                if self.is_dark:
                    await asyncio.sleep(DARK_DROP_S)
                    return
                writer.write(answer + encode("Z", talk.state, self.position()))
        except (OSError, asyncio.CancelledError, asyncio.IncompleteReadError, ValueError,
                IndexError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _refuse(self, talk: Talk, verdict: str) -> bytes:
        if talk.state == "T":
            talk.state = "E"
        return encode("E", verdict, self.id)

    async def _run(self, talk: Talk, try_id: str, text: str) -> bytes:
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            wanted, _, text = rest.partition(" ")
            term, _, number = wanted.partition(".")
            if not any(one.term == int(term) and one.number == int(number) for one in self.log):
                if int(number) > 0:
                    return self._refuse(talk, "LAGGING")
            word, _, rest = text.partition(" ")
        if talk.state == "E" and word not in ("UNDO", "SAVE"):
            return encode("E", "GARBLED", self.id)
        if word == "STATUS":
            role = "leader" if self.is_leader else "copy"
            return (encode("D", f"{role} {self.term} {self.position()} 0 0 1 {len(self._writers)}")
                    + encode("C", "-"))
        if word == "STEPDOWN":
            if self.is_leader and int(rest) > self.term:
                self.record.note(f"{self.id} is told STEPDOWN {rest}")
                self.change_role(False, int(rest))
            return encode("D", f"copy {self.term} {self.position()} 0 0 1 1") + encode("C", "-")
        if word == "CLEAR":
            talk.values.clear()
            talk.names.clear()
        elif word == "SET":
            name, _, value = rest.partition(" ")
            talk.values[name] = value
        elif word == "NAME":
            name, sort, shape = rest.split(" ", 2)
            talk.names[name] = sort, shape
        elif word == "BEGIN":
            talk.is_read_only = rest == "READ"
            if not talk.is_read_only and not self.is_leader:
                return encode("E", "READONLY", self.id)
            talk.state, talk.writes = "T", []
        elif word == "UNDO":
            talk.state, talk.writes = "I", []
        else:
            return await self._run_at_work(talk, try_id, word, rest)
        return encode("C", "-")

    async def _run_at_work(self, talk: Talk, try_id: str, word: str, rest: str) -> bytes:
        is_plain = talk.state == "T" and not talk.is_read_only
        needs_lead = word == "WRITE" or (is_plain and (word != "SAVE" or talk.writes))
        if needs_lead and not self.is_leader:
            return self._refuse(talk, "READONLY")
        stamp = self.group.stamp(self, try_id)
        if word == "READ":
            held = dict(talk.writes).get(rest) or self.value_of(rest)
            self.record.note(f"run {try_id} READ {rest} at {self.id} on log {self.position()}: "
                             f"{held}")
            return encode("D", held) + encode("C", stamp)
        if word == "WRITE":
            thing, _, data = rest.partition(" ")
            if talk.state == "T":
                talk.writes.append((thing, data))
                return encode("C", stamp)
            return await self._commit(try_id, ((thing, data),), stamp)
        if word == "SAVE":
            writes, talk.state, talk.writes = tuple(talk.writes), "I", []
            return await self._commit(try_id, writes, stamp) if writes else encode("C", stamp)
        return self._refuse(talk, "GARBLED")

    async def _commit(self, try_id: str, writes: tuple, stamp: str) -> bytes:
        number = self.log[-1].number + 1 if self.log else 1
        commit = Commit(self.term, number, writes)
        self.log = [*self.log, commit]
        self.record.note(f"run {try_id} commit {self.position()} at {self.id}: {writes}")
        if self.group.sync and not await self.group.is_received(commit, self):
            return encode("E", "TIMEOUT", self.id)
        return encode("C", stamp)

    async def wait_received(self, commit: Commit) -> None:
        """Until its log has the commit."""
        async with self._received:
            await self._received.wait_for(
                lambda: any(one == commit for one in reversed(self.log[-200:])))


class Group:
    """The backends of one database service, and how the log of the primary reaches the others."""

    def __init__(self, cluster: Cluster, service: str, port: int, sync: int, registries: list):
        self.cluster, self.service, self.port, self.sync = cluster, service, port, sync
        self.registries = [cluster.control(node) for node in registries]
        self.members: list[Database] = []
        self.delays: dict[tuple[Database, Database], float] = {}
        self.deaf: set[Database] = set()
        self._stamps = 0
        self.promotes: list[tuple[float, int]] = []  # in effect since when, the new term
        self._terms: dict[str, int] = {}  # by stamp: the term of the database that gave it
        self.is_over = False

    def add(self, backend_id: str, host: str, zone: str, is_leader: bool) -> Database:
        """One more backend."""
        self.members.append(Database(self, backend_id, host, zone, is_leader))
        return self.members[-1]

    def stamp(self, database: Database, try_id: str) -> str:
        """A stamp as only this run has it."""
        self._stamps += 1
        stamp = f"{database.id}.{try_id}.{self._stamps:x}"
        self._terms[stamp] = database.term
        return stamp

    def is_of_old_primary(self, sent_at: float, stamp: str) -> bool:
        """Whether a primary gave the stamp although a later term was in effect when it was sent."""
        return any(sent_at > since and term > self._terms.get(stamp, term)
                   for since, term in self.promotes)

    @staticmethod
    def value_in(log: list[Commit], thing: str) -> str:
        """The newest data of a thing in a log."""
        for commit in reversed(log):
            for name, data in reversed(commit.writes):
                if name == thing:
                    return data
        return "-"

    def delay(self, first: Database, second: Database) -> float:
        """How long a log entry takes on its way, in seconds."""
        return self.delays.get((first, second), 0.02)

    async def replicate(self) -> None:
        """Carries the logs of primaries to all others, for as long as the case runs."""
        await asyncio.gather(*(self._carry(first, second) for first in self.members
                               for second in self.members if first is not second))

    async def _carry(self, first: Database, second: Database) -> None:
        pending: asyncio.Queue = asyncio.Queue()

        async def deliver() -> None:
            while True:
                due, log, term = await pending.get()
                await asyncio.sleep(max(0.0, due - now()))
                if second.is_reachable() and second not in self.deaf:
                    await second.receive(log, term)

        task = asyncio.create_task(deliver())
        sent: list[Commit] | None = None
        try:
            while not self.is_over:
                can_send = first.is_leader and first.is_reachable() and second.is_reachable()
                if can_send and (first.log is not sent or second.term < first.term
                                 or second.log[-1:] != first.log[-1:]):
                    sent = first.log
                    pending.put_nowait((now() + self.delay(first, second), sent, first.term))
                await asyncio.sleep(0.002)
        finally:
            task.cancel()

    async def is_received(self, commit: Commit, by: Database) -> bool:
        """Waits until one replica has the commit; false after two seconds."""
        waits = [asyncio.create_task(other.wait_received(commit))
                 for other in self.members if other is not by]
        done, rest = await asyncio.wait(waits, timeout=2.0,
                                        return_when=asyncio.FIRST_COMPLETED)
        for task in rest:
            task.cancel()
        return bool(done)

    def newest_leader(self) -> Database:
        """The primary of the highest term, whether it runs or not."""
        return max((one for one in self.members if one.is_leader), key=lambda one: one.term)

    def meet(self, returned: Database) -> None:
        """A backend is back: as a former primary it goes on until it has reached the new one."""
        async def step_down() -> None:
            while returned.is_leader and returned.is_up:
                newest = self.newest_leader()
                if newest.term > returned.term and newest.is_reachable() \
                        and returned.is_reachable():
                    await asyncio.sleep(REACH_S)
                    if newest.is_reachable() and returned.is_leader:
                        returned.change_role(False, newest.term)
                    continue
                await asyncio.sleep(0.05)
        asyncio.create_task(step_down())

    async def raise_up(self, target: Database) -> bool:
        """Promotes a backend; false if it does not run."""
        if not target.is_reachable():
            return False
        if target.is_leader and target is self.newest_leader():
            return True
        await asyncio.sleep(0.1)
        if not target.is_reachable():
            return False
        term = max(one.term for one in self.members) + 1
        for other in self.members:
            if other is not target and other.is_reachable():
                other.change_role(False, term)
            elif other is not target and not other.is_up:
                other.is_leader = False  # it will return as replica
        target.change_role(True, term)
        self.promotes.append((now(), term))
        await asyncio.sleep(PROMOTE_S - 0.1)
        return True

    async def crash(self, database: Database, seconds: float) -> None:
        """A crash; after some seconds it returns with its log, as a new life with a new id."""
        await database.end("crashes")
        await asyncio.sleep(seconds)
        former, database.id = database.id, f"i-{random.getrandbits(32):08x}"
        database.calls = 0
        database.record.note(f"{former} returns with its log as {database.id}, "
                             f"{'leader' if database.is_leader else 'copy'}")
        await database.start()
        self.meet(database)


class Platform:
    """Takes POST /raise; keeps a list of backends that nobody needs here."""

    def __init__(self, cluster: Cluster, groups: list[Group], on_raise):
        self._cluster, self._groups, self._on_raise = cluster, groups, on_raise
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begins to serve."""
        host, _, port = self._cluster.platform.partition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:]
                              if ": " in line)
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                status, text = 200, '{"backends":[],"next_token":null}'
                if head.startswith("POST /raise "):
                    status, text = await self._raise(fields, json.loads(body)), "{}"
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n{text}".encode())
        except (OSError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _raise(self, fields: dict, order: dict) -> int:
        for group in self._groups:
            for database in group.members:
                if (group.service, database.id) == (order["service"], order["id"]):
                    is_done = await group.raise_up(database)
                    self._cluster.record.note(
                        f"POST /raise {order} by {fields.get('duty-owner')} number "
                        f"{fields.get('owner-number')}: {200 if is_done else 409}")
                    if is_done:
                        self._on_raise(group, database)
                    return 200 if is_done else 409
        return 409
