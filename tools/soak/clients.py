"""Clients: kept connections, single calls, early leavers, slow senders, bursts."""
import asyncio
import random

from mixed_versions.addresses import FRONT_PORT, READY_PORT
from mixed_versions.client import TIME_LEFT_MS, Answer
from mixed_versions.configurations import PLAIN_SERVICE
from mixed_versions.judge import Verdict, WrongAnswer, judge
from mixed_versions.ledger import Ledger
from mixed_versions.requests import HOST, Request, RouteKind, make_request
from soak.configurations import MOVING_PREFIX, MOVING_SERVICES, SHARED_PREFIX
from soak.history import Attempt, History, now
from soak.http_streams import Message, call, make_request_bytes, read_message, reset

_CONNECT_WAIT_S = 1.0
_ANSWER_SLACK_S = 1.5
_READY_EVERY_S = 0.25
_MISSES_UNTIL_OUT = 2
_LONG_WORK_MS = 1500
_END_SENDING_SHARE = 0.08  # of requests: behind them the client ends its sending side, and waits
_PIPELINED = (2, 3, 4)
_PREFIXES = (None, None, None, MOVING_PREFIX, SHARED_PREFIX)


class Clients:
    """All clients of a run."""

    def __init__(self, history: History, ledger: Ledger, seed: int, broker_hosts: dict[str, str]):
        self._history = history
        self._ledger = ledger
        self._random = random.Random(seed ^ 0xC11E)
        self._ending_random = random.Random(seed ^ 0xE4D5)
        self._broker_hosts = broker_hosts  # by name
        self._misses = {name: _MISSES_UNTIL_OUT for name in broker_hosts}
        self._is_ending = False
        self._tasks: list[asyncio.Task] = []
        self.once_ids: set[str] = set()

    def start(self) -> None:
        """Begins to send."""
        for name in self._broker_hosts:
            self._tasks.append(asyncio.create_task(self._watch(name)))
            workers = [self._keep_connection] * 4 + [self._single_calls] * 2
            workers += [self._leave_early, self._send_slowly, self._pipeline]
            self._tasks += [asyncio.create_task(worker(name)) for worker in workers]

    async def stop(self) -> None:
        """Returns once every request has its answer or its time is over."""
        self._is_ending = True
        await asyncio.gather(*self._tasks)

    def is_in(self, name: str) -> bool:
        """Whether the platform would pass new connections to this broker."""
        return self._misses[name] < _MISSES_UNTIL_OUT

    async def _watch(self, name: str) -> None:
        probe = make_request_bytes("GET", "/readiness", {"Host": "ready"}, b"")
        while not self._is_ending:
            answer = await call(self._broker_hosts[name], READY_PORT, probe, 0.5)
            is_ready = answer is not None and answer.status == 200
            self._misses[name] = 0 if is_ready else self._misses[name] + 1
            await asyncio.sleep(_READY_EVERY_S)

    def _make_request(self) -> Request:
        kind = self._random.choices((RouteKind.PLAIN, RouteKind.ONCE, RouteKind.GATHERED),
                                    (5, 2, 3))[0]
        prefix = self._random.choice(_PREFIXES) if kind is RouteKind.PLAIN else None
        return make_request(kind, prefix)

    def _begin(self, request: Request, name: str, is_kept: bool) -> Attempt:
        self._ledger.note_sent(request)
        if request.kind is RouteKind.ONCE:
            self.once_ids.add(request.try_id)
        attempt = Attempt(request, name, now(), is_kept)
        self._history.attempts.append(attempt)
        return attempt

    @staticmethod
    def _bytes_of(request: Request) -> bytes:
        fields = {"Host": HOST, "Try-Id": request.try_id, "Time-Left": str(TIME_LEFT_MS)}
        return make_request_bytes(request.method, request.path, fields, request.body)

    async def _connect(self, name: str):
        async with asyncio.timeout(_CONNECT_WAIT_S):
            return await asyncio.open_connection(self._broker_hosts[name], FRONT_PORT)

    async def _exchange(self, reader, writer, attempt: Attempt, pause_s: float = 0.0) -> bool:
        """Sends a request and judges its answer; whether the connection may be used again."""
        request = attempt.request
        data = self._bytes_of(request)
        try:
            async with asyncio.timeout(TIME_LEFT_MS / 1000 + _ANSWER_SLACK_S):
                if pause_s:
                    half = len(data) // 2
                    writer.write(data[:half])
                    await asyncio.sleep(pause_s)
                    data = data[half:]
                writer.write(data)
                await writer.drain()
                attempt.is_read_whole = True
                if self._ending_random.random() < _END_SENDING_SHARE:
                    writer.write_eof()
                    attempt.has_ended_sending = True
                message = await read_message(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            message = None
        except ValueError as reason:
            message = None
            attempt.wrong = f"no proper answer: {reason}"
        attempt.ended_at = now()
        if message is None:
            return False
        self._take_answer(attempt, message)
        is_over = message.headers.get("Connection", "").lower() == "close"
        return not is_over and not attempt.has_ended_sending

    def _take_answer(self, attempt: Attempt, message: Message) -> None:
        attempt.ended_at = now()
        attempt.status = message.status
        self._judge(attempt, Answer(message.status, message.headers, message.body))

    def _judge(self, attempt: Attempt, answer: Answer) -> None:
        if answer.status in (502, 504):
            return
        try:
            is_moving = attempt.request.path.startswith((MOVING_PREFIX, SHARED_PREFIX))
            verdict = judge(attempt.request, answer, self._ledger,
                            MOVING_SERVICES if is_moving else (PLAIN_SERVICE,))
            if verdict is Verdict.NOT_FOUND:
                raise WrongAnswer("404 on a standing route")
        except WrongAnswer as reason:
            attempt.wrong = str(reason)

    async def _pause(self, name: str) -> bool:
        """Waits a little; whether a request may be sent to this broker then."""
        await asyncio.sleep(self._random.uniform(0.01, 0.06))
        return not self._is_ending and self.is_in(name)

    async def _keep_connection(self, name: str) -> None:
        while not self._is_ending:
            if not await self._pause(name):
                continue
            writer = None
            try:
                reader, writer = await self._connect(name)
                is_kept = False
                while not self._is_ending:
                    attempt = self._begin(self._make_request(), name, is_kept)
                    if not await self._exchange(reader, writer, attempt):
                        break
                    is_kept = True
                    await asyncio.sleep(self._random.uniform(0.0, 0.05))
                    if reader.at_eof():
                        break
            except (OSError, TimeoutError):
                pass
            finally:
                if writer is not None:
                    writer.close()

    async def _single(self, name: str, pause_s: float = 0.0) -> None:
        writer = None
        try:
            reader, writer = await self._connect(name)
            await self._exchange(reader, writer,
                                 self._begin(self._make_request(), name, False), pause_s)
        except (OSError, TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()

    async def _single_calls(self, name: str) -> None:
        while not self._is_ending:
            if not await self._pause(name):
                continue
            if self._random.random() < 0.03:
                await asyncio.gather(*(self._single(name) for _ in range(12)))  # a burst
            else:
                await self._single(name)

    async def _send_slowly(self, name: str) -> None:
        while not self._is_ending:
            if await self._pause(name):
                await self._single(name, pause_s=self._random.uniform(0.05, 0.5))

    async def _pipeline(self, name: str) -> None:
        """Some requests at once, then the end of sending; waits for an answer to each."""
        while not self._is_ending:
            if not await self._pause(name):
                continue
            writer = None
            attempts: list[Attempt] = []
            try:
                reader, writer = await self._connect(name)
                attempts = [self._begin(self._make_request(), name, False)
                            for _ in range(self._ending_random.choice(_PIPELINED))]
                await self._exchange_all(reader, writer, attempts)
            except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
                pass
            finally:
                for attempt in attempts:
                    attempt.ended_at = attempt.ended_at or now()
                if writer is not None:
                    writer.close()
            await asyncio.sleep(0.1)

    async def _exchange_all(self, reader, writer, attempts: list[Attempt]) -> None:
        async with asyncio.timeout(len(attempts) * TIME_LEFT_MS / 1000 + _ANSWER_SLACK_S):
            writer.write(b"".join(self._bytes_of(attempt.request) for attempt in attempts))
            writer.write_eof()
            for attempt in attempts:
                attempt.is_read_whole = attempt.has_ended_sending = True
            for attempt in attempts:
                attempt.sent_at = now()  # its turn has come
                message = await read_message(reader)
                if message is None:
                    return
                self._take_answer(attempt, message)
                if message.headers.get("Connection", "").lower() == "close":
                    break
        for attempt in attempts:
            if not attempt.status:
                attempt.is_read_whole = False  # it crossed the close

    async def _leave_early(self, name: str) -> None:
        """Asks for long work and closes its connection before the answer."""
        while not self._is_ending:
            if not await self._pause(name):
                continue
            writer = None
            try:
                _, writer = await self._connect(name)
                kind = self._random.choice((RouteKind.PLAIN, RouteKind.GATHERED))
                made = make_request(kind)
                request = Request(kind, made.method, made.path + f"&work_ms={_LONG_WORK_MS}",
                                  made.body, made.try_id)
                attempt = self._begin(request, name, False)
                writer.write(self._bytes_of(request))
                await writer.drain()
                attempt.is_read_whole = True
                await asyncio.sleep(self._random.uniform(0.05, 0.3))
                attempt.left_at = attempt.ended_at = now()
                if self._random.random() < 0.5:
                    reset(writer)
            except (OSError, TimeoutError):
                pass
            finally:
                if writer is not None:
                    writer.close()
            await asyncio.sleep(0.3)
