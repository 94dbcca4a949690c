"""Stand-in databases with replicas: their logs, incarnations and sessions."""
import asyncio
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mixed_versions.addresses import BACKEND_PORT, CONTROL_PORT
from soak.database_transaction import Transaction
from soak.database_wire import WireMessage, encode, read_wire_message
from soak.history import now
from soak.http_streams import call, make_request_bytes

if TYPE_CHECKING:
    from soak.database_group import DatabaseGroup

HEARTBEAT_S = 0.4
CAPACITY = 8
REPLICATION_S = 0.01  # from a primary to its replicas
POLL_S = 0.005

_DARK_DROP_S = 3.0  # a connection whose far end is dark is dropped after that
_SYNC_WAIT_S = 2.0


@dataclass(frozen=True)
class Commit:
    """One entry of a log."""

    term: int
    number: int
    thing: str
    data: str


class Database:
    """One backend of a database service; its address stays, its id changes with each start."""

    def __init__(self, group: "DatabaseGroup", host: str, zone: str, is_leader: bool):
        self.group, self.host, self.zone = group, host, zone
        self.id = group.new_id()
        self.is_leader, self.term = is_leader, 1
        self.log: list[Commit] = []
        self.values: dict[str, str] = {}
        self.is_up = self.is_dark = self.is_deaf = self.is_troubled = False
        self.delay_s = REPLICATION_S
        self.state = "ready"
        self._calls = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task | None = None
        self._has_news = asyncio.Event()

    @property
    def is_reachable(self) -> bool:
        """Whether others on the network reach it."""
        return self.is_up and not self.is_dark

    def position(self) -> str:
        """Of its log, TERM.NUMBER."""
        return f"{self.log[-1].term}.{self.log[-1].number}" if self.log else f"{self.term}.0"

    def take_log(self, log: list[Commit]) -> None:
        """Replaces the log; commits that are not in the new one are cut back."""
        self.log = list(log)
        self.values = {commit.thing: commit.data for commit in self.log}

    def follow_log(self, log: list[Commit]) -> None:
        """Takes what a primary's log has beyond this one."""
        if self.log != log[:len(self.log)]:
            self.take_log(log)
        for commit in log[len(self.log):]:
            self.log.append(commit)
            self.values[commit.thing] = commit.data

    async def start(self) -> None:
        """Begins to serve and to send heartbeats."""
        self.is_up = True
        self.state = "ready"
        self._server = await asyncio.start_server(self._serve, self.host, BACKEND_PORT)
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    def end(self) -> None:
        """Ends at once; its log stays."""
        self.is_up = False
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._server is not None:
            self._server.close()
        self._abort_connections()

    def begin_anew(self) -> None:
        """The next start is a new incarnation."""
        self.id = self.group.new_id()
        self._calls = 0

    def come_back(self) -> None:
        """It is within reach again; what stood open is dropped."""
        self.is_dark = False
        self._abort_connections()

    def change_role(self, is_leader: bool, term: int) -> None:
        """It leads or follows in this term; a change is told at once."""
        self.is_leader, self.term = is_leader, term
        self._has_news.set()

    async def say_gone(self) -> None:
        """Cancels its registration; it sends no heartbeat after that."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        await self._call_registries("DELETE", b"")

    def say_emptying(self) -> None:
        """A planned end is near."""
        self.state = "emptying"
        self._has_news.set()

    def _abort_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _send_heartbeats(self) -> None:
        while True:
            while self.is_dark:
                await asyncio.sleep(POLL_S)
            self._has_news.clear()
            self._calls += 1
            body = json.dumps({
                "service": self.group.service, "address": f"{self.host}:{BACKEND_PORT}",
                "zone": self.zone, "version": "v1", "capacity": CAPACITY, "state": self.state,
                "warm_left_ms": 0, "call_count": self._calls,
                "store_role": "leader" if self.is_leader else "copy"}).encode()
            await self._call_registries("PUT", body)
            try:
                await asyncio.wait_for(self._has_news.wait(), HEARTBEAT_S)
            except TimeoutError:
                pass

    async def _call_registries(self, method: str, body: bytes) -> None:
        """One call after the other until one is acknowledged."""
        fields = {"Host": "registry", "Content-Type": "application/json"}
        request = make_request_bytes(method, f"/backends/{self.id}", fields, body)
        hosts = list(self.group.registry_hosts)
        self.group.random.shuffle(hosts)
        for host in hosts:
            answer = await call(host, CONTROL_PORT, request, 1.0)
            if answer is not None and answer.status == 200:
                return

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            greeting = await read_wire_message(reader)
            if await self._is_dropped():
                return
            expected = greeting.fields[2:3] or ("",)
            if greeting.fields[0] != self.group.service or expected[0] not in ("", self.id):
                writer.write(encode("E", "WRONGHOST", self.id))
                return
            writer.write(encode("Z", "I", self.position()))
            transaction = Transaction()
            while True:
                message = await read_wire_message(reader)
                if message.kind != "Q":
                    return
                answer = await self._answer(message, transaction)
                if await self._is_dropped():
                    return
                writer.write(answer + encode("Z", transaction.state(), self.position()))
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _is_dropped(self) -> bool:
        if self.is_dark:
            await asyncio.sleep(_DARK_DROP_S)
        return self.is_dark

    def _has_position(self, wanted: str) -> bool:
        term, _, number = wanted.partition(".")
        if int(number) == 0:
            return True
        at = int(number) - 1
        return at < len(self.log) and self.log[at].term == int(term)

    async def _answer(self, message: WireMessage, transaction: Transaction) -> bytes:
        text = message.fields[1]
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            wanted, _, text = rest.partition(" ")
            if not self._has_position(wanted):
                return encode("E", "LAGGING", self.id)
            word, _, rest = text.partition(" ")
        if word == "STEPDOWN" and self.is_leader and int(rest) > self.term:
            self.change_role(False, int(rest))
        if word in ("STATUS", "STEPDOWN"):
            role = "leader" if self.is_leader else "copy"
            row = f"{role} {self.term} {self.position()} 0 0 1 {len(self._writers)}"
            return encode("D", row) + encode("C", "-")
        if word == "READ":
            return encode("D", self.values.get(rest, "-")) + encode("C", self._stamp())
        if word == "WRITE":
            if not self.is_leader:
                return encode("E", "READONLY", self.id)
            thing, _, data = rest.partition(" ")
            if transaction.is_open:
                transaction.writes.append((thing, data))
                return encode("C", self._stamp())
            return await self._commit(thing, data)
        if word == "BEGIN":
            if rest != "READ" and not self.is_leader:
                return encode("E", "READONLY", self.id)
            transaction.is_open = True
        if word == "SAVE":
            return await self._save(transaction)
        if word == "UNDO":
            transaction.end()
        return encode("C", "-")

    async def _save(self, transaction: Transaction) -> bytes:
        writes = transaction.end()
        if writes and not self.is_leader:
            return encode("E", "READONLY", self.id)
        answer = encode("C", self._stamp())
        for thing, data in writes:
            answer = await self._commit(thing, data)
        return answer

    def _stamp(self) -> str:
        return self.group.new_stamp(self.term)

    async def _commit(self, thing: str, data: str) -> bytes:
        commit = Commit(self.term, len(self.log) + 1, thing, data)
        stamp = self._stamp()
        self.log.append(commit)
        self.values[thing] = data
        until = now() + _SYNC_WAIT_S
        while self.group.is_synchronous and not self.group.is_received(commit, self):
            if now() > until or not self.is_leader:
                return encode("E", "TIMEOUT", self.id)
            await asyncio.sleep(POLL_S)
        return encode("C", stamp)
