"""One run: founding, troubles, healing, a calm time with planned work, and the last look."""
import asyncio
import signal
from dataclasses import dataclass, field
from pathlib import Path

from mixed_versions.addresses import READY_PORT, Network
from mixed_versions.core_view import ask_core
from mixed_versions.ledger import Ledger
from soak import checker
from soak.backends import Fleet
from soak.checker import PlannedWork, Violation
from soak.clients import Clients
from soak.cluster import Builds, SoakCluster, SoakNode, opened
from soak.history import History, now
from soak.http_streams import call, make_request_bytes
from soak.observer import OBSERVE_EVERY_S, NodeObserver
from soak.operators import Operators
from soak.player import Player
from soak.readiness import wait_ready
from soak.troubles import Schedule

_FOUND_S = 20.0
_HEAL_S = 12.0  # as the settings' heal_s: until then nothing is owed
_CALM_S = 5.5
_PLANNED_EXTRA_S = 1.0
_EMPTY_S = 6.0  # until nothing is under way any more after the clients have ended
_MAX_DESCRIPTORS = 400
_DRAINED_IN_CALM = 1  # the backend that drains in the calm time


@dataclass
class Result:
    """What came of one run."""

    schedule: Schedule
    history: History
    violations: list[Violation] = field(default_factory=list)


class Scenario:
    """Runs one schedule.

    `max_resident_mb`: what a node may hold at the end.
    """

    def __init__(self, schedule: Schedule, builds: Builds, faults: Path, folder: Path,
                 max_resident_mb: int = 256):
        network = Network(0)
        self._max_resident_bytes = max_resident_mb << 20
        self._schedule = schedule
        self._build = builds.new
        self.history = History()
        self._ledger = Ledger()
        registry_hosts = tuple(network.host(1 + at) for at in range(schedule.registries))
        self._fleet = Fleet(network, self.history, self._ledger, schedule.seed, registry_hosts,
                            schedule.is_self_registered)
        self._cluster = SoakCluster(network, folder, builds, faults, schedule, self.history,
                                    self._fleet.platform_host)
        self._operators = Operators(self.history, schedule.seed,
                                    {node.spec.name: node.spec.host
                                     for node in self._cluster.registries})
        self._clients = Clients(self.history, self._ledger, schedule.seed,
                                {node.spec.name: node.spec.host for node in self._cluster.brokers})
        self._player = Player(self._cluster, self._fleet, self._operators, self.history,
                              schedule.seed)
        self._observer = NodeObserver(self._cluster, self.history)
        self._planned_work_done: PlannedWork | None = None
        self._violations: list[Violation] = []

    async def run(self) -> Result:
        """Runs to the end and judges."""
        async with opened(self._fleet, self._cluster):
            await self._play()
        if self._planned_work_done is not None:
            self._violations += checker.check_planned_work(self.history, self._planned_work_done)
        self._violations += checker.check_all(self.history, self._ledger, self._clients.once_ids)
        return Result(self._schedule, self.history, self._violations)

    async def _play(self) -> None:
        began_at = now()
        self._cluster.start_all()
        first = await self._operators.put_next(_FOUND_S)
        if not first.acknowledged_at:
            self.history.problems.append("the first order was never acknowledged")
            return
        observing = asyncio.create_task(self._observe())
        await self._wait_ready("ready after the founding", _FOUND_S)
        self.history.add_time("ready after the founding", now() - began_at)
        self._clients.start()
        self._operators.start()
        await self._player.play(self._schedule)
        await self._calm_time()
        await self._operators.stop()
        await self._clients.stop()
        await self._last_look()
        for node in self._cluster.brokers:
            await self._fetch_explanations(node)
        observing.cancel()
        await self._end_all()

    async def _wait_ready(self, what: str, limit_s: float) -> None:
        """Until every broker calls itself ready."""
        for node in await wait_ready(self._cluster.brokers, limit_s):
            self.history.problems.append(f"{node.spec.name} was not {what} within {limit_s} s")

    async def _calm_time(self) -> None:
        healed_at = now()
        self._cluster.heal()
        await self._wait_ready("ready after the troubles", _HEAL_S)
        self.history.add_time("ready after the troubles", now() - healed_at)
        await self._wait_in_force(healed_at)
        calm_at = now()
        await asyncio.sleep(_CALM_S)
        await self._planned_work()
        self._violations += checker.check_served(self.history, calm_at, now() - 5.0)

    async def _wait_in_force(self, healed_at: float) -> None:
        """Until every broker serves by what was the newest order when all was well again."""
        newest = self._operators.newest_acknowledged()
        until = healed_at + _HEAL_S + checker.TAKE_EFFECT_S
        missing = list(self._cluster.brokers)
        while newest and missing and now() < until:
            values = await self._observer.metrics_of(missing[0])
            if values.get("saddlewing_edition", 0) >= newest.version:
                missing.pop(0)
            else:
                await asyncio.sleep(0.05)
        for node in missing:
            self.history.problems.append(f"{node.spec.name} was not at version {newest.version} "
                                         f"within {until - healed_at:.0f} s after the troubles")
        self.history.add_time("in force after the troubles", now() - healed_at)

    async def _planned_work(self) -> None:
        """A broker leaves, another reads its settings again, a backend drains, orders go on."""
        leaving, *others = self._cluster.brokers
        began_at = now()
        for node in others:
            node.send_signal(signal.SIGHUP)
        draining = asyncio.create_task(self._fleet.trouble("drain", _DRAINED_IN_CALM, 0))
        grace_s = self._schedule.grace_s
        if not await self._cluster.end(leaving, grace_s):
            self.history.problems.append(
                f"{leaving.spec.name} did not end well within its grace, exit code "
                f"{leaving.exit_code()} {now() - began_at:.2f} s after the SIGTERM")
        until = now()
        self._cluster.start(leaving)
        await draining
        await self._wait_ready("ready after the planned work", _HEAL_S)
        self._planned_work_done = PlannedWork(began_at, until + _PLANNED_EXTRA_S,
                                              leaving.spec.name, grace_s)

    async def _observe(self) -> None:
        """Notes metrics and explanations now and then."""
        while True:
            await asyncio.gather(*(self._fetch_explanations(node)
                                   for node in self._cluster.brokers if node.is_running()))
            await self._observer.note_metrics()
            await asyncio.sleep(OBSERVE_EVERY_S)

    async def _fetch_explanations(self, node: SoakNode) -> None:
        """What the broker tells of the requests that failed at it."""
        request = make_request_bytes("GET", "/failures", {"Host": "failures"}, b"")
        answer = await call(node.spec.host, READY_PORT, request, 0.5)
        if answer is None or answer.status != 200:
            return
        for line in answer.body.decode(errors="replace").splitlines():
            try_id = line.removeprefix("try_id=").partition(" ")[0]
            self.history.explanations[try_id] = line

    async def _last_look(self) -> None:
        await self._look_at_configuration()
        for node in self._cluster.brokers:
            until = now() + _EMPTY_S
            values = {}
            while now() < until:
                values = await self._observer.metrics_of(node)
                if values.get("saddlewing_errands") == 0 and values.get("saddlewing_visits") == 0:
                    break
                await asyncio.sleep(0.1)
            else:
                self.history.problems.append(
                    f"{node.spec.name} still has {values.get('saddlewing_errands')} requests and "
                    f"{values.get('saddlewing_visits')} client connections")
        for node in self._cluster.nodes:
            if node.open_descriptors() > _MAX_DESCRIPTORS:
                self.history.problems.append(
                    f"{node.spec.name} has {node.open_descriptors()} descriptors open")
            if node.resident_bytes() > self._max_resident_bytes:
                self.history.problems.append(
                    f"{node.spec.name} holds {node.resident_bytes() >> 20} MB")

    async def _look_at_configuration(self) -> None:
        """Every registry gives back the newest order, and all have one leader."""
        newest = self._operators.newest_acknowledged()
        for node in self._cluster.registries:
            until = now() + _EMPTY_S
            read = None
            while read is None and now() < until:
                read = await self._operators.read_once(node.spec.name)
            if read is None:
                self.history.problems.append(f"{node.spec.name} gave no configuration at the end")
        until = now() + _HEAL_S
        contacts = [node.spec.inner_address for node in self._cluster.registries]
        while True:
            view = await asyncio.to_thread(ask_core, self._build, contacts)
            if newest is None or view.is_settled(len(contacts), _committed_version(view, newest)):
                return
            if now() > until:
                self.history.problems.append(f"the core did not settle: {view.registries}")
                return
            await asyncio.sleep(0.2)

    async def _end_all(self) -> None:
        nodes = self._cluster.nodes
        limit_s = self._schedule.grace_s
        are_well = await asyncio.gather(*(self._cluster.end(node, limit_s) for node in nodes))
        for node, is_well in zip(nodes, are_well):
            if not is_well:
                self.history.problems.append(
                    f"{node.spec.name} did not end well within its grace, exit code "
                    f"{node.exit_code()}")


def _committed_version(view, newest) -> int:
    """What the registries hold: an order without an acknowledgement may have been taken."""
    versions = [told["committed"]["version"] for told in view.registries if told["committed"]]
    return max([newest.version, *versions])
