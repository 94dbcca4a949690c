"""The project's own programs as processes on loopback, started as the deploy file says."""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "saddlewing"
STARTED = time.monotonic()


class CannotRun(Exception):
    """The case could not be set up: exit code 2."""


def now() -> float:
    """Seconds since the script began."""
    return time.monotonic() - STARTED


class Record:
    """What was sent, answered and run; written to record.txt in the case's folder."""

    def __init__(self, folder: Path):
        self._file = open(folder / "record.txt", "w", encoding="utf-8")

    def note(self, text: str) -> None:
        """One line, with its time."""
        if not self._file.closed:
            self._file.write(f"{now():9.4f} {text}\n")

    def close(self) -> None:
        """No more lines."""
        self._file.close()


class Network:
    """One loopback address for each machine, and ports that are free on all of them."""

    def __init__(self):
        self._prefix = f"127.{random.randint(70, 120)}.{random.randint(1, 250)}"
        self._next = 1

    def host(self) -> str:
        """The address of one more machine."""
        self._next += 1
        return f"{self._prefix}.{self._next}"

    def ports(self, count: int) -> list[int]:
        """Ports in a row that are free."""
        for _ in range(200):
            first = random.randint(21000, 31000)
            if all(self._is_free(first + at) for at in range(count)):
                return [first + at for at in range(count)]
        raise CannotRun("no free ports")

    @staticmethod
    def _is_free(port: int) -> bool:
        with socket.socket() as probe:
            try:
                probe.bind(("0.0.0.0", port))
            except OSError:
                return False
        return True


class Node:
    """One process of the program."""

    def __init__(self, cluster: "Cluster", role: str, name: str, host: str, zone: str):
        self.role, self.name, self.host, self.zone = role, name, host, zone
        self._cluster = cluster
        self._process: subprocess.Popen | None = None
        self.folder = cluster.folder / name
        (self.folder / "data").mkdir(parents=True)
        self.settings_path = self.folder / "local.json"
        self.first_run = True

    def settings(self) -> dict:
        """The document that the platform writes for this process."""
        cluster = self._cluster
        ports = cluster.ports
        listens_on = {}
        if self.role == "registry":
            listens_on["control"] = f"{self.host}:{ports[2]}"
        else:
            listens_on["front"] = f"{self.host}:{ports[0]}"
            listens_on["ready_check"] = f"{self.host}:{ports[1]}"
        document = {
            "node_name": self.name, "job": self.role, "ip_address": self.host, "zone": self.zone,
            "region": cluster.zones[self.zone], "zones": cluster.zones,
            "spare_ports": [ports[3], ports[-1]], "first_contacts": cluster.contacts,
            "first_run": self.first_run, "loss_counts": self.role == "registry",
            "beat_every_ms": 1200, "listens_on": listens_on,
            "limits": {"cpu_part": 0.3, "cores": 1, "memory_mb": 256, "file_handles": 4096,
                       "link_mbps": 1000.0, "disk_mb": 128 if self.role == "registry" else 0},
            "can_lose": {"machines": 1, "zones": 0, "regions": 0},
            "time_bounds": cluster.time_bounds,
            "provider_api": {"address": cluster.platform, "rate_per_s": 50.0,
                             "chores": ["raise"], "chore_rate_s": 50.0, "delay_ms": 800},
            "way_in": "shared_address", "config_mode": "highest",
        }
        if self.role == "registry":
            document["data_folder"] = str(self.folder / "data")
        document.update(cluster.extra_settings)
        return document

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        self.settings_path.write_text(json.dumps(self.settings()), encoding="utf-8")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": str(self.folder),
                       "LANG": "C.UTF-8", "SADDLEWING_NODE_FILE": str(self.settings_path)}
        with open(self.folder / "log", "ab") as log:
            self._process = subprocess.Popen(
                ["target/saddlewing", self.role], cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.first_run = False
        self._cluster.record.note(f"start {self.role} {self.name} as process {self._process.pid}")

    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def exit_code(self) -> int | None:
        """How the process ended; None while it runs."""
        return self._process.poll() if self._process else None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.is_running():
            self._cluster.record.note(f"{number.name} to {self.name}")
            os.kill(self._process.pid, number)

    def kill(self) -> None:
        """Ends the process at once."""
        if self.is_running():
            self.send_signal(signal.SIGKILL)
            self._process.wait()

    def log(self) -> str:
        """What it has written so far."""
        return (self.folder / "log").read_text(encoding="utf-8", errors="replace")


class Cluster:
    """Registries and the nodes that carry traffic; close() ends every process."""

    def __init__(self, record: Record, network: Network, zones: dict[str, str],
                 time_bounds: dict, extra_settings: dict):
        if not PROGRAM.exists():
            raise CannotRun("target/saddlewing is not built")
        self.record, self.network, self.zones = record, network, zones
        self.time_bounds, self.extra_settings = time_bounds, extra_settings
        self.folder = Path(tempfile.mkdtemp(prefix="saddlewing-review-"))
        self.ports = network.ports(8)
        self.platform = f"{network.host()}:{self.ports[0]}"
        self.contacts: list[str] = []
        self.nodes: list[Node] = []

    def add(self, role: str, zones: list[str]) -> list[Node]:
        """One node of the role in each of the zones."""
        fresh = [Node(self, role, f"{role}-{zone}-{at + 1}", self.network.host(), zone)
                 for at, zone in enumerate(zones)]
        if role == "registry":
            self.contacts += [f"{node.host}:{self.ports[2]}" for node in fresh]
        self.nodes += fresh
        return fresh

    def control(self, node: Node) -> tuple[str, int]:
        """Where operators and backends call a registry."""
        return node.host, self.ports[2]

    def front(self, node: Node) -> tuple[str, int]:
        """Where clients call a node."""
        return node.host, self.ports[0]

    def ready(self, node: Node) -> tuple[str, int]:
        """Where the platform asks whether a node is ready."""
        return node.host, self.ports[1]

    def close(self) -> None:
        """Ends every process and keeps the ends of the logs in the record."""
        for node in self.nodes:
            node.send_signal(signal.SIGCONT)
            node.kill()
        for node in self.nodes:
            if (node.folder / "log").exists():
                for line in node.log().splitlines()[-400:]:
                    self.record.note(f"log of {node.name}: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


async def http_call(address: tuple[str, int], method: str, path: str, body: str = "",
                    fields: str = "", limit_s: float = 1.0) -> tuple[int, str]:
    """One call on a connection of its own; status 0 if no whole answer came in time."""
    async def call() -> tuple[int, str]:
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = body.encode()
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n{fields}"
                         f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
                         f"Connection: close\r\n\r\n".encode() + data)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            length = 0
            for line in head.split("\r\n")[1:]:
                name, _, value = line.partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            answer = await reader.readexactly(length)
            return int(head.split(" ")[1]), answer.decode()
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(call(), limit_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, ""


async def put_configuration(cluster: Cluster, registries: list[Node], configuration: dict,
                            limit_s: float = 12.0) -> None:
    """Sends a configuration until it is acknowledged, to one node after the other."""
    body = json.dumps(configuration)
    until = now() + limit_s
    at = 0
    while now() < until:
        registry = registries[at % len(registries)]
        at += 1
        status, text = await http_call(cluster.control(registry), "PUT", "/settings", body)
        cluster.record.note(f"PUT /settings version {configuration['version']} to "
                            f"{registry.name}: {status} {text.strip()}")
        if status == 200:
            return
        await asyncio.sleep(0.2)
    raise CannotRun("the configuration was not taken")


async def wait_ready(cluster: Cluster, nodes: list[Node], limit_s: float = 15.0) -> None:
    """Waits until every node says that it is ready."""
    until = now() + limit_s
    waiting = list(nodes)
    while waiting:
        if now() > until:
            raise CannotRun(f"{waiting[0].name} is not ready")
        status, _ = await http_call(cluster.ready(waiting[0]), "GET", "/readiness")
        if status == 200:
            cluster.record.note(f"{waiting.pop(0).name} is ready")
        else:
            await asyncio.sleep(0.1)
