"""Stand-in backends that can misbehave, and the platform's list of them."""
import asyncio
import itertools
import json
import random
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from mixed_versions import ledger as ledgers
from mixed_versions.addresses import BACKEND_PORT, CONTROL_PORT, PLATFORM_PORT, Network
from mixed_versions.backend import BackendSpec, make_answer
from mixed_versions.configurations import HEALTH_PATH, PLAIN_SERVICE, SHARDS
from soak.configurations import MOVING_SERVICES
from soak.history import Drain, History, Run, now
from soak.http_streams import (make_answer_bytes, make_request_bytes, call, read_message, reset)

CAPACITY = 16
EMPTY_OUT_S = 3.0
HEARTBEAT_S = 0.4
ZONES = ("zone-east", "zone-west")

_FIRST_HOST = 40
_SHED_SHARE = 0.02
_LIST_DELAY_S = 0.2
_LISTED_AFTER_CRASH_S = 2.0
_PAGE_SIZE = 6
_SERVES_ON_S = 1.5  # beyond the least time after it drains


def plan_services() -> list[tuple[str, str]]:
    """Service and zone of each backend."""
    places = [(PLAIN_SERVICE, zone) for zone in ZONES * 2]
    for number, shard in enumerate(SHARDS):
        first = ZONES[number * len(ZONES) // len(SHARDS)]
        places += [(shard, first), (shard, first)]
    for service in MOVING_SERVICES:
        places += [(service, zone) for zone in ZONES]
    return places


BACKEND_COUNT = len(plan_services())


@dataclass
class Backend:
    """One incarnation of a backend."""

    spec: BackendSpec
    state: str = "ready"  # ready, emptying, gone, crashed
    changed_at: float = 0.0
    behaviour: str = ""  # of backends in trouble; empty: sound
    server: asyncio.Server | None = None
    writers: set = field(default_factory=set)
    running: int = 0
    last_troubled_at: float = 0.0
    heartbeats: int = 0

    @property
    def is_up(self) -> bool:
        """Whether it listens."""
        return self.state in ("ready", "emptying")


class Fleet:
    """All backends of a run, and the list of them."""

    def __init__(self, network: Network, history: History, ledger: ledgers.Ledger, seed: int,
                 registry_hosts: tuple[str, ...], is_self_registered: bool):
        self._history = history
        self._ledger = ledger
        self._random = random.Random(seed ^ 0x5EED)
        self._registry_hosts = registry_hosts
        self.is_self_registered = is_self_registered
        self._numbers = itertools.count(1)
        self._arrivals = itertools.count(1)
        self._platform: asyncio.Server | None = None
        self.platform_host = network.host(20)
        self.platform_trouble = ""
        self._tasks: set[asyncio.Task] = set()
        self.places = [Backend(self._make_spec(service, zone, network.host(_FIRST_HOST + at)))
                       for at, (service, zone) in enumerate(plan_services())]
        self._former: list[Backend] = []

    def _make_spec(self, service: str, zone: str, host: str) -> BackendSpec:
        number = next(self._numbers)
        return BackendSpec(f"i-{number:04d}", service, host, zone)

    def spawn(self, work) -> asyncio.Task:
        """Runs a coroutine beside the others until the fleet is closed."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def open(self) -> None:
        """All backends and the platform listen."""
        for backend in self.places:
            await self._listen(backend)
        self._platform = await asyncio.start_server(self._serve_platform, self.platform_host,
                                                    PLATFORM_PORT)

    async def close(self) -> None:
        """Ends everything."""
        for task in list(self._tasks):
            task.cancel()
        for backend in self.places:
            self._stop_listening(backend, is_reset=True)
        if self._platform is not None:
            self._platform.close()

    async def _listen(self, backend: Backend) -> None:
        backend.changed_at = now()
        backend.server = await asyncio.start_server(
            lambda reader, writer: self._serve(backend, reader, writer),
            backend.spec.host, BACKEND_PORT, reuse_address=True)
        if self.is_self_registered:
            self.spawn(self._report(backend))

    @staticmethod
    def _stop_listening(backend: Backend, is_reset: bool) -> None:
        if backend.server is not None:
            backend.server.close()
            backend.server = None
        for writer in list(backend.writers):
            if is_reset:
                reset(writer)
            else:
                writer.close()

    # Troubles.

    @property
    def hosts(self) -> list[str]:
        """The addresses of all backends."""
        return [backend.spec.host for backend in self.places]

    def name_of(self, target: int) -> str:
        """Of the backend with this number, for the history."""
        return self.places[target].spec.identity

    async def trouble(self, kind: str, target: int, for_s: float) -> None:
        """Plays one trouble of a backend until it is over."""
        backend = self.places[target]
        if kind in ("drain", "replace", "crash") and backend.state != "ready":
            return
        if kind == "drain":
            await self._drain(target)
        elif kind == "replace":
            await self._drain(target, next_service=self._other_service(backend))
        elif kind == "crash":
            await self._crash(target, for_s)
        else:
            await self._misbehave(backend, kind, for_s)

    def _other_service(self, backend: Backend) -> str:
        others = sorted({spec.spec.service for spec in self.places} - {backend.spec.service})
        return self._random.choice(others)

    async def _misbehave(self, backend: Backend, kind: str, for_s: float) -> None:
        backend.behaviour = kind
        backend.last_troubled_at = now() + for_s
        await asyncio.sleep(for_s)
        backend.behaviour = ""
        backend.last_troubled_at = now()

    async def _drain(self, target: int, next_service: str | None = None) -> None:
        backend = self.places[target]
        backend.state, backend.changed_at = "emptying", now()
        if self.is_self_registered:
            await self._tell_registries(backend)
            self._history.drains.append(Drain(backend.spec.identity, now()))
        else:
            self._history.drains.append(Drain(backend.spec.identity, now() + _LIST_DELAY_S))
        await asyncio.sleep(EMPTY_OUT_S + _LIST_DELAY_S + _SERVES_ON_S)
        if self.is_self_registered:
            await self._tell_registries(backend, is_leaving=True)
        backend.state, backend.changed_at = "gone", now()
        self._stop_listening(backend, is_reset=False)
        await asyncio.sleep(2.0 if next_service else 0.3)
        await self._start_next(target, next_service or backend.spec.service)

    async def _crash(self, target: int, for_s: float) -> None:
        backend = self.places[target]
        backend.state, backend.changed_at = "crashed", now()
        backend.last_troubled_at = now()
        self._stop_listening(backend, is_reset=True)
        for run in self._history.runs:
            if run.backend == backend.spec.identity and run.ended_at == 0:
                run.is_forgotten, run.ended_at = True, now()
        await asyncio.sleep(for_s)
        await self._start_next(target, backend.spec.service)

    async def _start_next(self, target: int, service: str) -> None:
        former = self.places[target]
        self._former.append(former)
        fresh = Backend(self._make_spec(service, former.spec.zone, former.spec.host))
        self.places[target] = fresh
        await self._listen(fresh)

    # Heartbeats of backends that register themselves.

    async def _report(self, backend: Backend) -> None:
        while backend.is_up:
            if not await self._tell_registries(backend):
                await asyncio.sleep(0.1)
            await asyncio.sleep(HEARTBEAT_S * self._random.uniform(0.8, 1.2))

    async def _tell_registries(self, backend: Backend, is_leaving: bool = False) -> bool:
        backend.heartbeats += 1
        entry = {**_entry(backend), "call_count": backend.heartbeats}
        body = b"" if is_leaving else json.dumps(entry).encode()
        request = make_request_bytes(
            "DELETE" if is_leaving else "PUT", f"/backends/{backend.spec.identity}",
            {"Host": "control", "Content-Type": "application/json"}, body)
        hosts = list(self._registry_hosts)
        self._random.shuffle(hosts)
        for host in hosts:
            answer = await call(host, CONTROL_PORT, request, 1.0)
            if answer is not None and 200 <= answer.status < 300:
                return True
        return False

    # The platform's list.

    def _listed(self) -> list[dict]:
        shown_at = now() - _LIST_DELAY_S
        entries = []
        for backend in [*self.places, *self._former]:
            if backend.state == "gone" and backend.changed_at <= shown_at:
                continue
            if backend.state == "crashed" and backend.changed_at + _LISTED_AFTER_CRASH_S < now():
                continue
            if backend.state == "ready" and backend.changed_at > shown_at:
                continue
            entry = _entry(backend)
            if backend.state == "emptying" and backend.changed_at > shown_at:
                entry["state"] = "ready"
            if backend.state == "gone":
                entry["state"] = "emptying"
            entries.append(entry)
        return entries

    async def _serve_platform(self, reader, writer) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                if self.platform_trouble == "platform_hangs":
                    await asyncio.sleep(3600)
                writer.write(self._answer_list(message.target))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _answer_list(self, target: str) -> bytes:
        if self.platform_trouble == "platform_refuses":
            return make_answer_bytes(429, {}, b"")
        parts = urlsplit(target)
        query = parse_qs(parts.query)
        first = int(query.get("page_token", ["p-0"])[0].removeprefix("p-"))
        zone = query.get("zone", [None])[0]
        listed = [] if self.is_self_registered else self._listed()
        listed = [entry for entry in listed if zone in (None, entry["zone"])]
        after = first + _PAGE_SIZE
        document = {"backends": listed[first:after],
                    "next_token": f"p-{after}" if after < len(listed) else None}
        return make_answer_bytes(200, {"Content-Type": "application/json"},
                                 json.dumps(document).encode())

    # Requests.

    async def _serve(self, backend: Backend, reader, writer) -> None:
        backend.writers.add(writer)
        left_behind = b""  # a surplus answer that goes out before the next one
        try:
            while (message := await read_message(reader)) is not None:
                if urlsplit(message.target).path == HEALTH_PATH:
                    status = 503 if backend.behaviour == "lying_health" else 200
                    writer.write(make_answer_bytes(status, {"Server-Id": backend.spec.identity},
                                                   b""))
                    continue
                writer.write(left_behind)
                left_behind = b""
                outcome = await self._answer(backend, message, reader, writer)
                if outcome is None:
                    return
                left_behind = outcome
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            backend.writers.discard(writer)
            writer.close()

    async def _answer(self, backend: Backend, message, reader, writer) -> bytes | None:
        """Answers one request; returns what is to come late, None if the connection is to end."""
        try_id = message.headers.get("Try-Id", "")
        fields = {"Try-Id": try_id, "Server-Id": backend.spec.identity,
                  "Server-Load": f"{backend.running},0,{CAPACITY}"}
        if message.headers.get("Meant-Server", "") != backend.spec.identity:
            writer.write(make_answer_bytes(421, {**fields, "Not-Run": "1"}, b""))
            return b""
        if self._random.random() < _SHED_SHARE or backend.running >= CAPACITY:
            writer.write(make_answer_bytes(503, {**fields, "Not-Run": "1"}, b""))
            return b""
        run = self._begin_run(backend, message, try_id)
        seal, body = make_answer(backend.spec, next(self._arrivals), try_id, message.target)
        self._ledger.note_run(ledgers.Run(try_id, backend.spec.service, message.method,
                                          message.target, message.body, seal, body))
        backend.running += 1
        try:
            if not await self._work(backend, message, run, reader):
                return None
        finally:
            backend.running -= 1
            if run.ended_at == 0:
                run.ended_at = now()
        answer = make_answer_bytes(200, {**fields, "Answer-Seal": seal}, body)
        return await self._send(backend, answer, writer)

    def _begin_run(self, backend: Backend, message, try_id: str) -> Run:
        run = Run(try_id, backend.spec.identity, backend.spec.service, message.target, now(),
                  is_sound=backend.behaviour == "", is_delegated=backend.spec.service in SHARDS)
        self._history.runs.append(run)
        return run

    async def _work(self, backend: Backend, message, run: Run, reader) -> bool:
        """Works on a request; False if its connection ended meanwhile."""
        asked = parse_qs(urlsplit(message.target).query).get("work_ms", [None])[0]
        seconds = int(asked) / 1000 if asked else self._random.uniform(0.001, 0.02)
        if backend.behaviour == "slow":
            seconds = seconds * 10 + 0.2
        if backend.behaviour == "hang":
            seconds += max(0.0, backend.last_troubled_at - now())
        watching = asyncio.ensure_future(reader.read(65536))
        done, _ = await asyncio.wait({watching}, timeout=seconds)
        run.is_sound = run.is_sound and backend.behaviour == ""
        if done:  # whatever comes in the middle of a request is its end
            watching.exception()
            run.is_broken_off = True
            return False
        watching.cancel()
        await asyncio.wait({watching})
        return True

    async def _send(self, backend: Backend, answer: bytes, writer) -> bytes | None:
        kind = backend.behaviour
        if kind == "reset_midway":
            writer.write(answer[:self._random.randrange(len(answer))])
            await asyncio.sleep(0)
            reset(writer)
            return None
        if kind == "close_early":
            writer.write(answer[:self._random.randrange(len(answer))])
            return None
        if kind == "garbage":
            writer.write(bytes(self._random.randrange(256) for _ in range(200)))
            return None
        if kind == "wrong_id":
            answer = answer.replace(b"Try-Id: ", b"Try-Id: x", 1)
        writer.write(answer)
        if kind == "surplus":
            writer.write(answer)
        await writer.drain()
        return answer if kind == "late_surplus" else b""


def _entry(backend: Backend) -> dict:
    return {"id": backend.spec.identity, "service": backend.spec.service,
            "address": backend.spec.address, "zone": backend.spec.zone, "version": "v1",
            "capacity": CAPACITY, "state": "emptying" if backend.state == "emptying" else "ready",
            "warm_left_ms": 0}
