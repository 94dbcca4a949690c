"""Operators: orders with rising versions at any registry, and reads at all of them."""
import asyncio
import random

from mixed_versions.addresses import CONTROL_PORT
from soak.configurations import (make_invalid_configuration, make_other_content,
                                 make_soak_configuration)
from soak.history import Call, History, Put, Read, now
from soak.http_streams import Message, call, make_request_bytes

_CALL_WAIT_S = 1.5
_END_SENDING_SHARE = 0.3  # of calls: behind them the operator ends its sending side, and waits
_FIELDS = {"Host": "control", "Content-Type": "application/json"}


class Operators:
    """All operators of a run."""

    def __init__(self, history: History, seed: int, registry_hosts: dict[str, str]):
        self._history = history
        self._random = random.Random(seed ^ 0x0FE8)
        self._ending_random = random.Random(seed ^ 0xE4D5)
        self.registry_hosts = registry_hosts  # by name
        self._is_ending = False
        self._tasks: list[asyncio.Task] = []
        self._version = 0
        self.acknowledged = asyncio.Event()  # set at each acknowledgement

    def start(self) -> None:
        """Begins to order and to read."""
        workers = [self._order(), self._order(), self._misuse()]
        workers += [self._read(name) for name in self.registry_hosts]
        self._tasks = [asyncio.create_task(worker) for worker in workers]

    async def stop(self) -> None:
        """Ends after the calls at work."""
        self._is_ending = True
        await asyncio.gather(*self._tasks)

    def newest_acknowledged(self) -> Put | None:
        """The acknowledged order with the highest version."""
        done = [put for put in self._history.puts if put.acknowledged_at and put.is_valid]
        return max(done, key=lambda put: put.version, default=None)

    async def put_next(self, limit_s: float = 20.0) -> Put:
        """Sends the next configuration until it is acknowledged or refused, or the time is over."""
        self._version += self._random.choice((1, 1, 2, 5))
        configuration = make_soak_configuration(self._version)
        put = Put(configuration.version, configuration.body, now())
        self._history.puts.append(put)
        await self._send(put, limit_s)
        return put

    async def _send(self, put: Put, limit_s: float) -> None:
        request = make_request_bytes("PUT", "/settings", _FIELDS, put.body)
        until = now() + limit_s
        pause = 0.05
        while now() < until and not put.acknowledged_at and not put.refused:
            name = self._random.choice(list(self.registry_hosts))
            answer = await self._call(name, request, _CALL_WAIT_S)
            if answer is not None and answer.status == 200:
                put.acknowledged_at = now()
                self._history.add_time("order acknowledged", put.acknowledged_at - put.sent_at)
                self.acknowledged.set()
                self.acknowledged.clear()
            elif answer is not None and 400 <= answer.status < 500:
                put.refused = answer.status
            else:
                await asyncio.sleep(pause)
                pause = min(pause * 2, 0.5)

    async def _call(self, name: str, request: bytes, wait_s: float) -> Message | None:
        ends_sending = self._ending_random.random() < _END_SENDING_SHARE
        sent_at = now()
        answer = await call(self.registry_hosts[name], CONTROL_PORT, request, wait_s, ends_sending)
        status = answer.status if answer is not None else 0
        self._history.calls.append(Call(name, sent_at, now(), status, ends_sending))
        return answer

    async def _order(self) -> None:
        while not self._is_ending:
            await self.put_next()
            await asyncio.sleep(self._random.uniform(0.2, 1.2))

    async def _misuse(self) -> None:
        """Invalid configurations, other content under a number held, and old orders again."""
        while not self._is_ending:
            await asyncio.sleep(self._random.uniform(0.5, 1.5))
            newest = self.newest_acknowledged()
            if newest is None:
                continue
            if self._random.random() < 0.5:
                put = Put(newest.version + 1000, make_invalid_configuration(newest.version + 1000),
                          now(), is_valid=False)
                self._history.puts.append(put)
                await self._send(put, 2.0)
                continue
            body = self._random.choice((make_other_content(newest.version), newest.body))
            again = Put(newest.version, body, now())
            if body == newest.body:
                self._history.puts.append(again)
            await self._send(again, 2.0)

    async def read_once(self, name: str, wait_s: float = _CALL_WAIT_S) -> Read | None:
        """One read at this registry; None if it gave none."""
        sent_at = now()
        request = make_request_bytes("GET", "/settings", _FIELDS, b"")
        answer = await self._call(name, request, wait_s)
        if answer is None or answer.status != 200:
            return None
        read = Read(name, sent_at, now(), answer.body)
        self._history.reads.append(read)
        return read

    async def _read(self, name: str) -> None:
        while not self._is_ending:
            await self.read_once(name)
            await asyncio.sleep(self._random.uniform(0.1, 0.4))
