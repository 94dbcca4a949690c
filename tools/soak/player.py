"""Plays the troubles of a schedule on a cluster and its stand-ins."""
import asyncio
import random
import signal

from soak.backends import Fleet
from soak.cluster import SoakCluster, SoakNode
from soak.history import History, Span, now
from soak.operators import Operators
from soak.troubles import Schedule, Trouble

_RESTART_S = 0.4
_END_LIMIT_S = 7.0


class Player:
    """Plays every trouble at its moment; several at a time."""

    def __init__(self, cluster: SoakCluster, fleet: Fleet, operators: Operators, history: History,
                 seed: int):
        self._cluster = cluster
        self._fleet = fleet
        self._operators = operators
        self._history = history
        self._random = random.Random(seed ^ 0x7EAC)

    async def play(self, schedule: Schedule) -> None:
        """Returns when the last trouble is over."""
        began_at = now()
        await asyncio.gather(self._replace_all(schedule, began_at),
                             *(self._play_at(trouble, began_at) for trouble in schedule.troubles))

    async def _replace_all(self, schedule: Schedule, began_at: float) -> None:
        """Replaces processes by another build, one after the other."""
        for replacement in schedule.replacements:
            await asyncio.sleep(max(0.0, began_at + replacement.at - now()))
            node = self._cluster.nodes[replacement.target]
            span = Span("replace", (node.spec.name,), now())
            self._history.spans.append(span)
            self._cluster.set_build(node, replacement.build)
            if replacement.is_killed:
                self._cluster.kill(node)
            else:
                await self._cluster.end(node, limit_s=_END_LIMIT_S)
            await asyncio.sleep(_RESTART_S)
            self._cluster.start(node)
            span.ended_at = now()

    async def _play_at(self, trouble: Trouble, began_at: float) -> None:
        await asyncio.sleep(max(0.0, began_at + trouble.at - now()))
        if trouble.is_after_acknowledgement:
            try:
                async with asyncio.timeout(2.0):
                    await self._operators.acknowledged.wait()
            except TimeoutError:
                pass
        span = Span(trouble.kind, self._names(trouble), now())
        self._history.spans.append(span)
        try:
            await self._play(trouble)
        finally:
            span.ended_at = now()

    def _names(self, trouble: Trouble) -> tuple[str, ...]:
        if trouble.role == "registry":
            return (self._registry(trouble.target).spec.name,)
        if trouble.role == "broker":
            return (self._broker(trouble.target).spec.name,)
        if trouble.role == "backend":
            return (self._fleet.name_of(trouble.target),)
        if trouble.role == "core":
            return tuple(node.spec.name for node in self._cluster.registries)
        return ("platform",)

    def _registry(self, number: int) -> SoakNode:
        return self._cluster.registries[number % len(self._cluster.registries)]

    def _broker(self, number: int) -> SoakNode:
        return self._cluster.brokers[number % len(self._cluster.brokers)]

    async def _play(self, trouble: Trouble) -> None:
        if trouble.role == "backend":
            return await self._fleet.trouble(trouble.kind, trouble.target, trouble.for_s)
        if trouble.role == "platform":
            return await self._trouble_platform(trouble)
        if trouble.role == "core":
            return await getattr(self, "_" + trouble.kind)(trouble)
        is_registry = trouble.role == "registry"
        node = self._registry(trouble.target) if is_registry else self._broker(trouble.target)
        return await getattr(self, "_" + trouble.kind)(node, trouble)

    async def _trouble_platform(self, trouble: Trouble) -> None:
        self._fleet.platform_trouble = trouble.kind
        await asyncio.sleep(trouble.for_s)
        self._fleet.platform_trouble = ""

    # Of one node.

    async def _kill(self, node: SoakNode, trouble: Trouble) -> None:
        self._cluster.kill(node)
        await asyncio.sleep(trouble.for_s)
        self._cluster.start(node)

    async def _pause(self, node: SoakNode, trouble: Trouble) -> None:
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(trouble.for_s)
        node.send_signal(signal.SIGCONT)

    async def _term(self, node: SoakNode, _trouble: Trouble) -> None:
        await self._cluster.end(node, limit_s=_END_LIMIT_S)
        await asyncio.sleep(_RESTART_S)
        self._cluster.start(node)

    async def _wipe(self, node: SoakNode, trouble: Trouble) -> None:
        self._cluster.kill(node)
        node.wipe()
        await asyncio.sleep(trouble.for_s)
        self._cluster.start(node)

    async def _cut(self, node: SoakNode, trouble: Trouble) -> None:
        others = [other for other in self._cluster.registries if other is not node]
        await self._cut_for([(node, other) for other in others], trouble.for_s)

    async def _pair_cut(self, node: SoakNode, trouble: Trouble) -> None:
        await self._cut_for([(node, self._registry(trouble.other))], trouble.for_s)

    async def _one_way(self, node: SoakNode, trouble: Trouble) -> None:
        await self._cut_for([(node, self._registry(trouble.other))], trouble.for_s, True)

    async def _cut_for(self, pairs: list[tuple[SoakNode, SoakNode]], for_s: float,
                       is_one_way: bool = False) -> None:
        for first, second in pairs:
            if first is not second:
                self._cluster.cut(first, second, is_one_way)
        await asyncio.sleep(for_s)
        for first, second in pairs:
            self._cluster.join(first, second)

    async def _reset(self, node: SoakNode, _trouble: Trouble) -> None:
        node.rules.serial += 1
        node.rules.reset = {other.spec.host for other in self._cluster.nodes if other is not node}
        node.rules.reset |= set(self._fleet.hosts)
        self._cluster.apply(node)
        await asyncio.sleep(0.3)
        node.rules.reset = set()
        self._cluster.apply(node)

    async def _slow_disk(self, node: SoakNode, trouble: Trouble) -> None:
        node.rules.sync_ms = self._random.choice((50, 300, 1500))
        await self._rules_for(node, trouble.for_s)

    async def _failing_disk(self, node: SoakNode, trouble: Trouble) -> None:
        node.rules.does_sync_fail = True
        await self._rules_for(node, trouble.for_s)

    async def _full_disk(self, node: SoakNode, trouble: Trouble) -> None:
        node.rules.is_disk_full = True
        await self._rules_for(node, trouble.for_s)

    async def _rules_for(self, node: SoakNode, for_s: float) -> None:
        self._cluster.apply(node)
        await asyncio.sleep(for_s)
        node.rules.sync_ms = 0
        node.rules.does_sync_fail = node.rules.is_disk_full = False
        self._cluster.apply(node)

    async def _reload(self, node: SoakNode, trouble: Trouble) -> None:
        until = now() + trouble.for_s
        while now() < until:
            node.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.2)

    async def _bad_settings(self, node: SoakNode, trouble: Trouble) -> None:
        right = self._cluster.write_wrong_settings(node)
        node.send_signal(signal.SIGHUP)
        await asyncio.sleep(trouble.for_s)
        node.settings_path.write_text(right)
        node.send_signal(signal.SIGHUP)

    # Of all registries.

    async def _kill_core(self, _trouble: Trouble) -> None:
        for node in self._cluster.registries:
            self._cluster.kill(node)
        await self._restart_core()

    async def _power_loss(self, _trouble: Trouble) -> None:
        for node in self._cluster.registries:
            self._cluster.kill(node)
        for node in self._cluster.registries:
            node.roll_back_to_synced()
        await self._restart_core()

    async def _restart_core(self) -> None:
        for node in self._cluster.registries:
            await asyncio.sleep(self._random.uniform(0.0, 0.3))
            self._cluster.start(node)

    async def _split(self, trouble: Trouble) -> None:
        registries = list(self._cluster.registries)
        self._random.shuffle(registries)
        half = len(registries) // 2
        pairs = [(first, second) for first in registries[:half] for second in registries[half:]]
        await self._cut_for(pairs, trouble.for_s)
