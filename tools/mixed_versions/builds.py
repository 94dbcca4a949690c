"""The two builds under test and the ways in which they are paired in one cluster."""
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True)
class Build:
    """One build of the program."""

    label: str
    path: Path


@dataclass(frozen=True)
class Pairing:
    """Which build every process starts with; each is replaced by the other build later on."""

    name: str
    leader: Build
    followers: tuple[Build, Build]
    brokers: tuple[Build, Build]


def all_pairings(old: Build, new: Build) -> list[Pairing]:
    """Every pairing of the leader's build and the followers' builds."""
    return [
        Pairing("leader old, followers new", old, (new, new), (old, new)),
        Pairing("leader new, followers old", new, (old, old), (old, new)),
        Pairing("all old", old, (old, old), (old, old)),
        Pairing("all new", new, (new, new), (new, new)),
        Pairing("leader old, followers mixed", old, (old, new), (new, old)),
        Pairing("leader new, followers mixed", new, (old, new), (new, old)),
    ]
