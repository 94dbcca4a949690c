"""Starts each role of deploy/system.toml as the platform does, and asks what it must answer.

    roles_test.py     SADDLEWING_PROGRAM: the program to start (default: target/saddlewing)

Each kind of deployment runs on three machines on loopback, with the fields that a machine is told,
unknown ones among them.
"""
import contextlib
import http.client
import os
import signal
import subprocess
import tempfile
import time
import unittest
from dataclasses import dataclass
from pathlib import Path

from deployment.deploy_file import Role, read_deploy_file
from deployment.template import render
from mixed_versions.addresses import CONTROL_PORT, FRONT_PORT, READY_PORT, SPARE_PORTS, Network

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = Path(os.environ.get("SADDLEWING_PROGRAM", ROOT / "target" / "saddlewing")).resolve()
MACHINES = 3
GRACE_S = 4
ANSWER_S = 10.0
LOOK_EVERY_S = 0.05
WAITS_S = 1.5  # a process that were to end by wrong settings would have done so
DISKS = {"scatter": ("middle",), "pool": ("front", "middle")}


def read_roles():
    deploy = read_deploy_file((ROOT / "deploy" / "system.toml").read_text(), _read_file)
    assert not deploy.errors, deploy.errors
    return deploy.roles


def _read_file(path):
    found = ROOT / path
    return found.read_bytes() if found.is_file() else None


@dataclass
class Machine:
    """One machine of a class, in a deployment of one kind."""

    project: str
    name: str
    machine_class: str
    host: str
    contacts: list[str]
    folder: Path

    def fields(self, role: Role) -> dict:
        """What a process of this role is told."""
        listens_on = {}
        if "front" in role.serves:
            listens_on |= {"front": f"{self.host}:{FRONT_PORT}",
                           "ready_check": f"{self.host}:{READY_PORT}"}
        if "steering" in role.serves:
            listens_on["control"] = f"{self.host}:{CONTROL_PORT}"
        has_disk = self.machine_class in DISKS[self.project]
        folder = self.folder / "disk" / role.name if has_disk else None
        if folder:
            folder.mkdir(parents=True, exist_ok=True)
        fields = {
            "node_name": self.name, "job": role.name, "machine_class": self.machine_class,
            "handles": list(role.serves), "ip_address": self.host, "zone": "zone-east",
            "region": "region-east", "zones": {"zone-east": "region-east"},
            "listens_on": listens_on, "spare_ports": list(SPARE_PORTS),
            "first_contacts": self.contacts, "first_run": True, "loss_counts": has_disk,
            "limits": {"cpu_part": 0.25, "cores": 1, "memory_mb": 260, "file_handles": 1000,
                       "link_mbps": 100.0, "disk_mb": 64 if has_disk else 0},
            "data_folder": str(folder) if folder else None, "way_in": "shared_address",
            "finding": "sign_up" if self.project == "pool" else "provider",
            "beat_every_ms": 1200, "promises": ["base", self.project, "of_a_later_page"],
            "config_mode": "highest", "settings_mode": "highest", "of_a_later_page": {"x": [1]},
            "can_lose": {"machines": 1, "zones": 0, "regions": 0},
            "time_bounds": {"contact_lag_s": 3, "reuse_wait_s": 2, "in_touch_ms": 5000,
                            "answer_ms": 6000, "catch_up_s": 4, "empty_out_ms": 3000,
                            "grace_s": GRACE_S, "take_effect_ms": 3000, "retry_share": 0.2,
                            "retry_span_s": 10, "extra_tries": 56, "heal_s": 12},
            "provider_api": {"address": f"{self.host}:{READY_PORT + 10}", "rate_per_s": 50.0,
                             "chores": [], "delay_ms": 800},
        }
        if self.project == "pool":
            fields["deployment"] = "pool"
        return fields


@dataclass
class Process:
    """A role's process on a machine."""

    role: Role
    machine: Machine
    popen: subprocess.Popen | None = None

    @property
    def settings_path(self) -> Path:
        return self.machine.folder / f"{self.role.name}.settings"

    def write_settings(self) -> str:
        text = render((ROOT / self.role.template).read_text(), self.machine.fields(self.role))
        self.settings_path.write_text(text)
        return text

    def start(self) -> None:
        fields = self.machine.fields(self.role)
        words = self.role.run.split()[1:]
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment |= {name: render(text, fields) for name, text in self.role.env.items()}
        environment["SADDLEWING_NODE_FILE"] = str(self.settings_path)
        with open(self.machine.folder / f"{self.role.name}.log", "ab") as log:
            self.popen = subprocess.Popen(
                [str(PROGRAM), *(render(word, fields) for word in words)],
                cwd=self.machine.folder, env=environment, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log)

    def ask_to_end(self) -> None:
        os.kill(self.popen.pid, signal.SIGTERM)

    def exit_code(self) -> int | None:
        """None: it did not end within its grace."""
        try:
            return self.popen.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            return None

    def kill(self) -> None:
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()

    def ask(self, port: int, path: str) -> tuple[int, str]:
        """Status and body; status 0: no answer."""
        try:
            address = http.client.HTTPConnection(self.machine.host, port, timeout=1.0)
            with contextlib.closing(address) as connection:
                connection.request("GET", path)
                answer = connection.getresponse()
                return answer.status, answer.read().decode(errors="replace")
        except (OSError, http.client.HTTPException):
            return 0, ""

    def answers(self, port: int, path: str, statuses: tuple[int, ...], part: str = "") -> bool:
        until = time.monotonic() + ANSWER_S
        while time.monotonic() < until and self.popen.poll() is None:
            status, body = self.ask(port, path)
            if status in statuses and part in body:
                return True
            time.sleep(LOOK_EVERY_S)
        return False

    def log(self) -> str:
        return (self.machine.folder / f"{self.role.name}.log").read_text(errors="replace")[-2000:]


class RolesTest(unittest.TestCase):
    """Each kind of deployment in turn."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory(prefix="roles.")
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.processes = []
        self.addCleanup(lambda: [process.kill() for process in self.processes])

    def make_processes(self, project):
        """The processes of all roles of a kind of deployment, on three machines of each class."""
        network = Network(0 if project == "scatter" else 1)
        roles = [role for role in read_roles() if project in role.projects]
        classes = sorted({role.on for role in roles})
        host_numbers = {name: 1 + MACHINES * at for at, name in enumerate(classes)}
        core = next(role.on for role in roles if "steering" in role.serves)
        contacts = [f"{network.host(host_numbers[core] + at)}:{CONTROL_PORT}"
                    for at in range(MACHINES)]
        for machine_class in classes:
            for at in range(MACHINES):
                name = f"{machine_class}-{at + 1}"
                folder = Path(tempfile.mkdtemp(prefix=f"{name}.", dir=self.folder))
                machine = Machine(project, name, machine_class,
                                  network.host(host_numbers[machine_class] + at), contacts, folder)
                self.processes += [Process(role, machine) for role in roles
                                   if role.on == machine_class]
        return self.processes

    def expect_answers(self, process):
        where = f"{process.machine.project} {process.machine.name} {process.role.name}"
        if "front" in process.role.serves:
            self.assertTrue(process.answers(READY_PORT, "/readiness", (200, 503)),
                            f"{where}: readiness\n{process.log()}")
        if "steering" in process.role.serves:
            self.assertTrue(process.answers(CONTROL_PORT, "/settings", (200, 404)),
                            f"{where}: settings\n{process.log()}")
        target = process.role.metrics_target()
        if target is not None:
            self.assertTrue(process.answers(*target, (200,), "saddlewing_build_info"),
                            f"{where}: metrics\n{process.log()}")

    def test_each_role_starts_answers_and_ends_well(self):
        for project in ("scatter", "pool"):
            with self.subTest(project=project):
                processes = self.make_processes(project)
                for process in processes:
                    process.write_settings()
                    process.start()
                for process in processes:
                    self.expect_answers(process)
                for process in processes:
                    process.ask_to_end()
                for process in processes:
                    self.assertEqual(process.exit_code(), 0, process.log())
                self.processes = []

    def test_each_role_waits_for_settings_that_it_can_use(self):
        for role in read_roles():
            with self.subTest(role=role.name):
                project = role.projects[0]
                process = next(one for one in self.make_processes(project)
                               if one.role.name == role.name)
                text = process.write_settings()
                process.settings_path.write_text(text[:len(text) // 2])
                process.start()
                try:
                    time.sleep(WAITS_S)
                    self.assertIsNone(process.popen.poll(), process.log())
                    process.settings_path.write_text(text)
                    if "front" in role.serves:
                        self.assertTrue(process.answers(READY_PORT, "/readiness", (200, 503)),
                                        process.log())
                finally:
                    process.kill()
                    self.processes = []


if __name__ == "__main__":
    unittest.main()
