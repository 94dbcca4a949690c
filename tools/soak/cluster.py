"""The nodes of a run: real processes whose network and disks obey rules that the soak rewrites."""
import asyncio
import json
import os
import shutil
import signal
import socket
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from mixed_versions.addresses import Network
from mixed_versions.builds import Build
from mixed_versions.node import ClusterSettings, Node, NodeKind, NodeSpec
from soak.backends import HEARTBEAT_S, ZONES
from soak.history import History, Life, now
from soak.replacements import NEW, OLD

REGIONS = {"zone-east": "region-east", "zone-west": "region-west"}
CATCH_UP_S = 4

# By seed, how a node's kernel tells of a peer's end once more: not at all, as readable, as an
# error, or as both with a hang-up.
_ENDED_FLAGS = (0, 1, 0, 8, 0, 25)
_HOLE_PORT = 29999
_HOLE_BACKLOG = 4
_WATCH_EVERY_S = 0.05
_LAUNCHER = Path(__file__).resolve().parents[2] / "tests" / "soak" / "run_with_faults.sh"


@dataclass
class NodeRules:
    """What the fault library is told about one node; see tests/soak/network_faults.cpp."""

    deaf: set[str] = field(default_factory=set)
    unreachable: set[str] = field(default_factory=set)
    reset: set[str] = field(default_factory=set)
    sync_ms: int = 0
    does_sync_fail: bool = False
    is_disk_full: bool = False
    serial: int = 0
    ended_flags: int = 0  # told once more behind a peer's end; 0: nothing is told

    def text(self, hole: str, synced: Path) -> str:
        """The file's text."""
        lines = [f"deaf {host}" for host in self.deaf]
        lines += [f"unreachable {host}" for host in self.unreachable]
        lines += [f"reset {host}" for host in self.reset]
        lines += [f"serial {self.serial}", f"hole {hole}", f"synced {synced}"]
        if self.ended_flags:
            lines.append(f"ended_flags {self.ended_flags}")
        if self.sync_ms:
            lines.append(f"sync_ms {self.sync_ms}")
        if self.does_sync_fail:
            lines.append("sync_fails")
        if self.is_disk_full:
            lines.append("disk_full")
        return "\n".join(lines) + "\n"


@dataclass(frozen=True)
class Builds:
    """The build under test, and the one that it replaces in a run of two."""

    new: Build
    old: Build | None = None

    def of(self, label: str) -> Build:
        """The build with this label; raises ValueError if the run has none."""
        build = self.old if label == OLD else self.new
        if build is None:
            raise ValueError("a schedule with replacements needs an old program")
        return build


class SoakNode(Node):
    """A node whose process runs under rules."""

    def __init__(self, spec: NodeSpec, settings: ClusterSettings, folder: Path, faults: Path,
                 overrides: dict):
        super().__init__(spec, settings, folder)
        self._faults = faults
        self._overrides = overrides
        self.rules_path = folder / "rules"
        self.synced = folder / "synced"
        self.data = folder / "data"
        self.log_path = folder / "log"
        self.settings_path = folder / "startup.json"
        self.synced.mkdir()
        self.rules = NodeRules()

    def _make_settings(self, is_first_run: bool) -> dict:
        settings = super()._make_settings(is_first_run)
        for name, value in self._overrides.items():
            merged = {**settings[name], **value} if isinstance(value, dict) else value
            settings[name] = merged
        return settings

    def _wrap(self, command: list[str]) -> list[str]:
        return [str(_LAUNCHER), str(self._faults), *command]

    def _environment(self) -> dict[str, str]:
        return {**os.environ, "SOAK_ADDRESS": self.spec.host, "SOAK_RULES": str(self.rules_path)}

    def exit_code(self) -> int | None:
        """How its process ended; None while it runs."""
        return self._process.poll() if self._process is not None else None

    def send_signal(self, number: int) -> None:
        """Sends a signal to the process, if it runs."""
        if self.is_running():
            os.kill(self._process.pid, number)

    def write_rules(self, hole: str) -> None:
        """Puts the rules in force."""
        fresh = self.rules_path.with_suffix(".new")
        fresh.write_text(self.rules.text(hole, self.synced))
        fresh.rename(self.rules_path)

    def wipe(self) -> None:
        """Loses the disk."""
        for folder in (self.data, self.synced):
            shutil.rmtree(folder)
            folder.mkdir()

    def roll_back_to_synced(self) -> None:
        """Loses what was not synced."""
        shutil.rmtree(self.data)
        self.data.mkdir()
        for path in self.synced.iterdir():
            if path.suffix != ".new":
                shutil.copy(path, self.data / path.name)

    def resident_bytes(self) -> int:
        """Memory of its process; 0 if it does not run."""
        try:
            pages = Path(f"/proc/{self._process.pid}/statm").read_text().split()[1]
            return int(pages) * os.sysconf("SC_PAGE_SIZE")
        except (OSError, AttributeError):
            return 0

    def open_descriptors(self) -> int:
        """How many it has open; 0 if it does not run."""
        try:
            return len(os.listdir(f"/proc/{self._process.pid}/fd"))
        except (OSError, AttributeError):
            return 0


class Hole:
    """An address that answers no connection: its queue is full."""

    def __init__(self, host: str):
        self.address = f"{host}:{_HOLE_PORT}"
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host, _HOLE_PORT))
        self._listener.listen(0)
        self._callers = []
        for _ in range(_HOLE_BACKLOG):
            caller = socket.socket()
            caller.setblocking(False)
            caller.connect_ex((host, _HOLE_PORT))
            self._callers.append(caller)

    def close(self) -> None:
        """Gives the address up."""
        for caller in [*self._callers, self._listener]:
            caller.close()


class SoakCluster:
    """All nodes of a run.

    `traffic_kind`: of the nodes that carry traffic; they are the cluster's brokers all the same.
    """

    def __init__(self, network: Network, folder: Path, builds: Builds, faults: Path, schedule,
                 history: History, platform_host: str,
                 traffic_kind: NodeKind = NodeKind.BROKER):
        self._builds = builds
        self._history = history
        registry_hosts = tuple(network.host(1 + at) for at in range(schedule.registries))
        settings = ClusterSettings(registry_hosts, f"{platform_host}:21184", REGIONS)
        overrides = {
            "can_lose": {"machines": (schedule.registries - 1) // 2},
            "time_bounds": {"grace_s": schedule.grace_s, "catch_up_s": CATCH_UP_S},
        }
        if schedule.is_self_registered:
            overrides |= {"finding": "sign_up", "beat_every_ms": int(HEARTBEAT_S * 1000)}
        self.registries = [
            SoakNode(NodeSpec(NodeKind.REGISTRY, f"registry-{at + 1}", host, ZONES[at % 2]),
                     settings, folder / f"registry-{at + 1}", faults, overrides)
            for at, host in enumerate(registry_hosts)]
        self.brokers = [
            SoakNode(NodeSpec(traffic_kind, f"{traffic_kind.value}-{at + 1}",
                              network.host(11 + at), ZONES[at % 2]),
                     settings, folder / f"{traffic_kind.value}-{at + 1}", faults, overrides)
            for at in range(schedule.brokers)]
        for node in self.nodes:
            node.rules.ended_flags = _ENDED_FLAGS[schedule.seed % len(_ENDED_FLAGS)]
        self._hole = Hole(network.host(30))
        first_build = builds.of(OLD if schedule.replacements else NEW)
        self._build_of = {node.spec.name: first_build for node in self.nodes}
        self._lives: dict[str, Life] = {}
        self._watcher: asyncio.Task | None = None

    @property
    def nodes(self) -> list[SoakNode]:
        """All nodes."""
        return self.registries + self.brokers

    def life_number(self, node: SoakNode) -> int:
        """Which of the node's processes runs now or ran last."""
        return sum(life.node == node.spec.name for life in self._history.lives)

    def life(self, node: SoakNode) -> Life:
        """The node's process that runs now or ran last."""
        return self._lives[node.spec.name]

    def start_all(self) -> None:
        """The founding start."""
        for node in self.nodes:
            node.write_rules(self._hole.address)
            self.start(node, is_first_run=True)
        self._watcher = asyncio.create_task(self._watch())

    def start(self, node: SoakNode, is_first_run: bool = False) -> None:
        """Starts a process of this node."""
        if node.is_running():
            return
        build = self._build_of[node.spec.name]
        node.start(build, is_first_run)
        life = Life(node.spec.name, now(), build=build.label)
        self._lives[node.spec.name] = life
        self._history.lives.append(life)

    def set_build(self, node: SoakNode, label: str) -> None:
        """The node's next processes are of this build."""
        self._build_of[node.spec.name] = self._builds.of(label)

    def kill(self, node: SoakNode) -> None:
        """Ends the node's process at once."""
        self.life(node).is_end_wanted = True
        node.kill()
        self._note_end(node)

    async def end(self, node: SoakNode, limit_s: float) -> bool:
        """SIGTERM and, after the limit, SIGKILL; whether it ended by itself and well."""
        self.life(node).is_end_wanted = True
        asked_at = now()
        node.ask_to_end()
        while node.is_running() and now() < asked_at + limit_s:
            await asyncio.sleep(_WATCH_EVERY_S)
        is_well = node.exit_code() == 0
        if is_well:
            self._history.add_time("ended after SIGTERM", now() - asked_at)
        node.kill()
        self._note_end(node)
        return is_well

    def _note_end(self, node: SoakNode) -> None:
        life = self.life(node)
        if life.ended_at == 0:
            life.ended_at, life.exit_code = now(), node.exit_code()

    async def _watch(self) -> None:
        """Notes processes that end by themselves, and starts them again as the platform does."""
        while True:
            for node in self.nodes:
                life = self.life(node)
                if node.is_running() or life.is_end_wanted:
                    continue
                self._note_end(node)
                self.start(node)
            await asyncio.sleep(_WATCH_EVERY_S)

    def apply(self, node: SoakNode) -> None:
        """Puts the node's rules in force."""
        node.write_rules(self._hole.address)

    def cut(self, first: SoakNode, second: SoakNode, is_one_way: bool = False) -> None:
        """Bytes from the second no longer reach the first, nor the other way round."""
        first.rules.deaf.add(second.spec.host)
        first.rules.unreachable.add(second.spec.host)
        second.rules.unreachable.add(first.spec.host)
        if not is_one_way:
            second.rules.deaf.add(first.spec.host)
        self.apply(first)
        self.apply(second)

    def join(self, first: SoakNode, second: SoakNode) -> None:
        """Ends the cut between two nodes."""
        for node, other in ((first, second), (second, first)):
            node.rules.deaf.discard(other.spec.host)
            node.rules.unreachable.discard(other.spec.host)
            self.apply(node)

    def heal(self) -> None:
        """No rule is in force any more, nobody is frozen, everybody runs."""
        for node in self.nodes:
            serial = node.rules.serial
            node.rules = NodeRules(serial=serial, ended_flags=node.rules.ended_flags)
            self.apply(node)
            node.send_signal(signal.SIGCONT)
            self.start(node)

    def write_wrong_settings(self, node: SoakNode) -> str:
        """Replaces the node's settings by wrong ones; returns the right ones."""
        right = node.settings_path.read_text()
        wrong = json.loads(right)
        wrong["spare_ports"] = "none"
        node.settings_path.write_text(json.dumps(wrong))
        return right

    async def close(self) -> None:
        """Ends every process."""
        if self._watcher is not None:
            self._watcher.cancel()
        for node in self.nodes:
            node.send_signal(signal.SIGCONT)
            node.kill()
        self._hole.close()


@asynccontextmanager
async def opened(fleet, cluster: SoakCluster):
    """Opens the stand-ins around a cluster; ends the cluster and them however the run ends."""
    await fleet.open()
    try:
        yield
    finally:
        await cluster.close()
        await fleet.close()
