"""What `saddlewing core` and `saddlewing tracer` of a build tell of a running cluster."""
import json
import subprocess
from dataclasses import dataclass

from mixed_versions.builds import Build

_ANSWER_WAIT_MS = 1000
_PROCESS_WAIT_S = 10


@dataclass(frozen=True)
class CoreView:
    """The registries' own accounts, as one command collected them."""

    registries: tuple[dict, ...]

    def leader_address(self) -> str | None:
        """The inner address of the only leader, if there is just one."""
        leaders = [told["address"] for told in self.registries if told["role"] == "leader"]
        return leaders[0] if len(leaders) == 1 else None

    def member_ids(self) -> dict[str, str]:
        """Ids by inner address; a registry that lost its data folder gets a new one."""
        return {told["address"]: told["id"] for told in self.registries}

    def is_settled(self, registry_count: int, version: int) -> bool:
        """All are voters behind one leader and hold this version as committed."""
        if len(self.registries) != registry_count or self.leader_address() is None:
            return False
        return all(self._is_well(told, registry_count, version) for told in self.registries)

    @staticmethod
    def _is_well(told: dict, registry_count: int, version: int) -> bool:
        committed = told["committed"]
        voters = [member for member in told["members"] if member["member"] == "voter"]
        lags = any(member.get("matched") is False for member in voters if not member["self"])
        return (told["majority"] and told["member"] == "voter" and committed is not None
                and committed["version"] == version and len(voters) == registry_count
                and len(told["members"]) == registry_count and not lags)


def _call(build: Build, words: list[str], contacts: list[str]) -> subprocess.CompletedProcess:
    command = [str(build.path), *words, "--json", "--wait-ms", str(_ANSWER_WAIT_MS)]
    for contact in contacts:
        command += ["--contact", contact]
    return subprocess.run(command, capture_output=True, timeout=_PROCESS_WAIT_S, check=False)


def ask_core(build: Build, contacts: list[str]) -> CoreView:
    """Asks these registries with the command of this build."""
    answer = _call(build, ["core"], contacts)
    try:
        return CoreView(tuple(json.loads(answer.stdout)["registries"]))
    except (ValueError, KeyError):
        return CoreView(())


def can_trace(build: Build, version: int, contacts: list[str]) -> bool:
    """Whether the tracer of this build finds the way of a version."""
    return _call(build, ["tracer", str(version)], contacts).returncode == 0
