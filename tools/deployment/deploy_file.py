"""Reads deploy/system.toml and names what is wrong in it."""
import re
import tomllib
from collections import Counter
from dataclasses import dataclass
from pathlib import PurePosixPath
from typing import Any, Callable

from deployment.template import TemplateError, find_names

MAX_TEMPLATE_BYTES = 64 * 1024
MAX_ROLES_OF_A_MACHINE = 2

KEYS = {"build", "packages", "production", "roles"}
ROLE_KEYS = {"for", "run", "on", "share", "count", "apart", "serves", "template", "env", "metrics"}
CLASSES = {"front", "middle"}
SERVED = {"front", "steering"}
PROJECTS = {"scatter", "pool"}

# What a machine's settings may hold, in the words of the platform.
FIELDS = {
    "node_name", "job", "machine_class", "handles", "ip_address", "zone", "region", "zones",
    "listens_on", "spare_ports", "first_contacts", "first_run", "loss_counts", "limits",
    "data_folder", "finding", "way_in", "beat_every_ms", "promises", "config_mode",
    "settings_mode", "can_lose", "time_bounds", "provider_api", "deployment",
}

_COMMIT = re.compile(r"[0-9a-f]{40}")
_METRICS = re.compile(r"(\d{1,5})/(\S*)")
_VARIABLE = re.compile(r"[A-Z][A-Z0-9_]*")
_REFUSED_VARIABLE = re.compile(r"PATH|HOME|LANG|LD_.*|JAVA.*|NODE_.*|PYTHON.*")
_MAX_PORT = 65535

# Gives the bytes of a file by its path from the root; None: there is no such file.
ReadFile = Callable[[str], bytes | None]


@dataclass(frozen=True)
class Role:
    """One role; what is missing or of another type is empty here, and named by find_errors."""

    name: str
    run: str
    on: str
    projects: tuple[str, ...]
    serves: tuple[str, ...]
    template: str
    env: dict[str, str]
    metrics: str

    def metrics_target(self) -> tuple[int, str] | None:
        """Port and path of its own figures; None: it tells none."""
        found = _METRICS.fullmatch(self.metrics)
        return (int(found[1]), "/" + found[2]) if found else None


@dataclass(frozen=True)
class DeployFile:
    """A deploy file that could be read."""

    build: str
    packages: tuple[str, ...]
    production: str
    roles: tuple[Role, ...]
    errors: tuple[str, ...]


def _texts(value: Any) -> tuple[str, ...]:
    is_list = isinstance(value, list) and all(isinstance(item, str) for item in value)
    return tuple(value) if is_list else ()


def _text(table: dict, key: str) -> str:
    value = table.get(key, "")
    return value if isinstance(value, str) else ""


def _read_role(name: str, table: dict) -> Role:
    env = table.get("env", {})
    return Role(name, _text(table, "run"), _text(table, "on"), _texts(table.get("for")),
                _texts(table.get("serves", [])), _text(table, "template"),
                env if isinstance(env, dict) else {}, _text(table, "metrics"))


def _gap_errors(text: str, where: str) -> list[str]:
    try:
        unknown = find_names(text) - FIELDS
    except TemplateError as error:
        return [f"{where}: {error}"]
    return [f"{where}: no field of a machine is called {name}" for name in sorted(unknown)]


def _run_errors(role: Role) -> list[str]:
    words = role.run.split()
    if not words:
        return ["run is missing"]
    errors = [error for word in words[1:] for error in _gap_errors(word, "run")]
    if "{{" in words[0]:
        errors.append("run: the first word holds a gap")
    if PurePosixPath(words[0]).parts[:1] != ("target",):
        errors.append("run: the program does not lie under target/")
    return errors


def _count_errors(table: dict) -> list[str]:
    if ("share" in table) == ("count" in table):
        return ["either share or count is needed"]
    share, count = table.get("share", 1.0), table.get("count", 1)
    errors = []
    if isinstance(share, bool) or not isinstance(share, (int, float)) or not 0 < share <= 1:
        errors.append("share is not above 0 and at most 1")
    if isinstance(count, bool) or not isinstance(count, int) or count < 1:
        errors.append("count is not a whole number from 1")
    return errors


def _template_errors(role: Role, read_file: ReadFile) -> list[str]:
    if not role.template:
        return []
    content = read_file(role.template)
    if content is None:
        return [f"template: there is no {role.template}"]
    if len(content) >= MAX_TEMPLATE_BYTES:
        return [f"template: {role.template} is {len(content)} bytes"]
    return _gap_errors(content.decode(errors="replace"), f"template {role.template}")


def _env_errors(role: Role) -> list[str]:
    errors = []
    for name, text in role.env.items():
        if not _VARIABLE.fullmatch(name) or _REFUSED_VARIABLE.fullmatch(name):
            errors.append(f"env: {name} is no name for a variable")
        elif not isinstance(text, str):
            errors.append(f"env: {name} is not a text")
        else:
            errors += _gap_errors(text, f"env {name}")
    return errors


def _metrics_errors(role: Role, table: dict) -> list[str]:
    if "metrics" not in table:
        return []
    target = role.metrics_target()
    is_good = target is not None and 0 < target[0] <= _MAX_PORT
    return [] if is_good else ["metrics is not PORT/PATH"]


def _role_errors(role: Role, table: dict, read_file: ReadFile) -> list[str]:
    errors = [f"unknown key {key}" for key in sorted(set(table) - ROLE_KEYS)]
    errors += _run_errors(role) + _count_errors(table) + _template_errors(role, read_file)
    errors += _env_errors(role) + _metrics_errors(role, table)
    if role.on not in CLASSES:
        errors.append(f"on names no class of machines: {role.on!r}")
    if not role.projects or set(role.projects) - PROJECTS:
        errors.append("for does not name kinds of deployments")
    if set(role.serves) - SERVED or not isinstance(table.get("serves", []), list):
        errors.append("serves names what no role may serve")
    return [f"roles.{role.name}: {error}" for error in errors]


def _duplicates(values: list[str]) -> list[str]:
    return sorted(value for value, count in Counter(values).items() if count > 1)


def _machine_errors(roles: list[Role]) -> list[str]:
    """What is wrong with the roles of one class of machines in one kind of deployment."""
    errors = []
    if len(roles) > MAX_ROLES_OF_A_MACHINE:
        errors.append(f"{len(roles)} roles, {MAX_ROLES_OF_A_MACHINE} at most")
    served = _duplicates([served for role in roles for served in role.serves])
    errors += [f"{served} is served by two roles" for served in served]
    ports = [str(target[0]) for role in roles if (target := role.metrics_target())]
    errors += [f"two roles tell their figures on port {port}" for port in _duplicates(ports)]
    return errors


def _project_errors(roles: tuple[Role, ...]) -> list[str]:
    errors = []
    for project in sorted(PROJECTS):
        of_project = [role for role in roles if project in role.projects]
        for served in sorted(SERVED - {served for role in of_project for served in role.serves}):
            errors.append(f"{project}: no role serves {served}")
        for machine_class in sorted({role.on for role in of_project}):
            there = [role for role in of_project if role.on == machine_class]
            errors += [f"{project}, {machine_class}: {error}" for error in _machine_errors(there)]
    return errors


def _file_errors(document: dict) -> list[str]:
    errors = [f"unknown key {key}" for key in sorted(set(document) - KEYS)]
    if not _text(document, "build"):
        errors.append("build is missing")
    if not _texts(document.get("packages")):
        errors.append("packages is missing or no list of texts")
    return errors


def read_deploy_file(text: str, read_file: ReadFile) -> DeployFile:
    """Reads a deploy file; raises tomllib.TOMLDecodeError."""
    document = tomllib.loads(text)
    tables = document.get("roles", {})
    roles = tuple(_read_role(name, table) for name, table in tables.items())
    errors = _file_errors(document)
    for role in roles:
        errors += _role_errors(role, tables[role.name], read_file)
    errors += _project_errors(roles)
    return DeployFile(_text(document, "build"), _texts(document.get("packages")),
                      _text(document, "production"), roles, tuple(errors))


def find_production_errors(deploy: DeployFile) -> list[str]:
    """What is wrong with the form of `production`."""
    if not deploy.production:
        return ["production is missing: name the commit that users run until the next landing"]
    if not _COMMIT.fullmatch(deploy.production):
        return [f"production is no whole hash of a commit: {deploy.production}"]
    return []
