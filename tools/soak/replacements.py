"""How the processes of a run are replaced by another build: a rolling upgrade drawn from a seed.

Each node begins with the old build. One after the other its process ends and the next one is of the
new build. Some upgrades are taken back halfway, some stop halfway.
"""
import random
from dataclasses import dataclass

OLD = "old"
NEW = "new"

_TAKEN_BACK_SHARE = 0.3
_STOPPED_SHARE = 0.2
_KILLED_SHARE = 0.25
_MIN_GAP_S = 0.4
_MAX_GAP_S = 1.4


@dataclass(frozen=True)
class Replacement:
    """One process is replaced.

    `target`: number of the node, registries first. `at`: seconds from the start of the troubles; it
    begins no earlier than the one before is over. `is_killed`: by SIGKILL in place of SIGTERM.
    """

    target: int
    at: float
    build: str
    is_killed: bool = False


def draw_replacements(seed: int, registries: int, brokers: int,
                      has_wipe: bool) -> tuple[Replacement, ...]:
    """The upgrade of this seed; the same each time.

    `has_wipe`: a registry loses its disk, which is all that may be lost: no other one ends then.
    """
    source = random.Random(f"{seed} replacements")
    first = registries if has_wipe else 0
    order = list(range(first, registries + brokers))
    source.shuffle(order)
    steps = [(target, NEW) for target in order]
    halfway = source.randint(1, len(steps))
    drawn = source.random()
    if drawn < _TAKEN_BACK_SHARE:
        steps = steps[:halfway] + [(target, OLD) for target in reversed(order[:halfway])]
    elif drawn < _TAKEN_BACK_SHARE + _STOPPED_SHARE:
        steps = steps[:halfway]
    replacements = []
    at = source.uniform(0.0, 2.0)
    for target, build in steps:
        is_killed = source.random() < _KILLED_SHARE
        replacements.append(Replacement(target, round(at, 2), build, is_killed))
        at += source.uniform(_MIN_GAP_S, _MAX_GAP_S)
    return tuple(replacements)
