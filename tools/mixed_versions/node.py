"""One process of the program: its startup file, its life, and its log."""
import enum
import json
import os
import signal
import subprocess
from dataclasses import dataclass
from pathlib import Path

from mixed_versions.addresses import CONTROL_PORT, FRONT_PORT, READY_PORT, SPARE_PORTS
from mixed_versions.builds import Build

GRACE_S = 4
TAKE_EFFECT_MS = 3000

_LOG_TAIL_BYTES = 20_000
_CORE_RETURN_S = 4


class NodeKind(enum.Enum):
    """The commands that run as nodes."""

    REGISTRY = "registry"
    BROKER = "broker"
    POOLER = "pooler"


@dataclass(frozen=True)
class NodeSpec:
    """What stays of a node when its build changes."""

    kind: NodeKind
    name: str
    host: str
    zone: str

    @property
    def inner_address(self) -> str:
        """Where other nodes and the operator's commands reach it."""
        return f"{self.host}:{SPARE_PORTS[0] + (self.kind is not NodeKind.REGISTRY)}"


@dataclass(frozen=True)
class ClusterSettings:
    """What the startup files of all nodes of a cluster have in common."""

    registry_hosts: tuple[str, ...]
    platform_address: str
    zones: dict[str, str]


def make_startup(spec: NodeSpec, settings: ClusterSettings, folder: Path,
                 is_first_run: bool) -> dict:
    """The startup document of a node."""
    if spec.kind is NodeKind.REGISTRY:
        listens_on = {"control": f"{spec.host}:{CONTROL_PORT}"}
    else:
        listens_on = {"front": f"{spec.host}:{FRONT_PORT}",
                      "ready_check": f"{spec.host}:{READY_PORT}"}
    return {
        "node_name": spec.name, "ip_address": spec.host, "zone": spec.zone,
        "region": settings.zones[spec.zone], "zones": settings.zones, "listens_on": listens_on,
        "spare_ports": list(SPARE_PORTS), "first_run": is_first_run,
        "first_contacts": [f"{host}:{CONTROL_PORT}" for host in settings.registry_hosts],
        "data_folder": str(folder / "data") if spec.kind is NodeKind.REGISTRY else None,
        "finding": "provider", "can_lose": {"machines": 1},
        "limits": {"memory_mb": 256, "file_handles": 1024},
        "time_bounds": {"reuse_wait_s": 2, "catch_up_s": _CORE_RETURN_S, "empty_out_ms": 3000,
                        "grace_s": GRACE_S, "take_effect_ms": TAKE_EFFECT_MS,
                        "retry_share": 0.2, "retry_span_s": 10, "extra_tries": 56},
        "provider_api": {"address": settings.platform_address, "rate_per_s": 50},
    }


class Node:
    """A node whose process may be replaced; its folder is kept."""

    def __init__(self, spec: NodeSpec, settings: ClusterSettings, folder: Path):
        self.spec = spec
        self.build: Build | None = None
        self._settings = settings
        self._folder = folder
        self._process: subprocess.Popen | None = None
        (folder / "data").mkdir(parents=True)

    def start(self, build: Build, is_first_run: bool = False) -> None:
        """Starts a process of this build."""
        path = self._folder / "startup.json"
        path.write_text(json.dumps(self._make_settings(is_first_run)))
        command = [str(build.path), self.spec.kind.value, "--startup", str(path)]
        with open(self._log_path(), "ab") as log:
            self._process = subprocess.Popen(self._wrap(command), stdin=subprocess.DEVNULL,
                                             stdout=log, stderr=log, cwd=self._folder,
                                             env=self._environment())
        self.build = build

    def _make_settings(self, is_first_run: bool) -> dict:
        """The settings of the next process."""
        return make_startup(self.spec, self._settings, self._folder, is_first_run)

    def _wrap(self, command: list[str]) -> list[str]:
        """The command as it is run."""
        return command

    def _environment(self) -> dict[str, str] | None:
        """The environment of the next process; None: that of this one."""
        return None

    def is_running(self) -> bool:
        """Whether its process runs."""
        return self._process is not None and self._process.poll() is None

    def ask_to_end(self) -> None:
        """Sends SIGTERM."""
        if self.is_running():
            os.kill(self._process.pid, signal.SIGTERM)

    def has_ended_well(self, seconds: float) -> bool:
        """Waits for the end that was asked for; whether it came in time and with exit code 0."""
        try:
            return self._process.wait(seconds) == 0
        except subprocess.TimeoutExpired:
            return False

    def kill(self) -> None:
        """Ends the process at once, if it runs."""
        if self.is_running():
            os.kill(self._process.pid, signal.SIGKILL)
            self._process.wait()

    def log_tail(self) -> str:
        """The last lines of its log."""
        path = self._log_path()
        if not path.exists():
            return ""
        return path.read_bytes()[-_LOG_TAIL_BYTES:].decode(errors="replace")

    def _log_path(self) -> Path:
        return self._folder / "log"
