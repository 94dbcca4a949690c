"""The troubles of a run: a schedule drawn from a seed, written out, replayed and shrunk.

A schedule consists of groups of two or three troubles whose spans overlap. A trouble begins at a
moment, or as soon as an order was acknowledged after that moment.
"""
import json
import random
from dataclasses import asdict, dataclass, replace

from soak.replacements import Replacement, draw_replacements

FORMAT = 1

REGISTRY_KINDS = ("kill", "pause", "term", "cut", "one_way", "pair_cut", "slow_disk",
                  "failing_disk", "full_disk", "reset", "wipe")
CORE_KINDS = ("kill_core", "power_loss", "split")
BROKER_KINDS = ("kill", "pause", "term", "cut", "reload", "bad_settings", "reset")
BACKEND_KINDS = ("drain", "crash", "hang", "slow", "reset_midway", "close_early", "surplus",
                 "late_surplus", "garbage", "wrong_id", "lying_health", "replace")
DATABASE_KINDS = ("crash", "dark", "deaf", "lag", "release", "primary_crash", "primary_dark",
                  "primary_release", "primary_lost_twice")
PLATFORM_KINDS = ("platform_hangs", "platform_refuses")

_GROUPS = 3
_GROUP_EVERY_S = 4.0
_AFTER_ACKNOWLEDGEMENT_SHARE = 0.3


@dataclass(frozen=True)
class Drawing:
    """What schedules are drawn of.

    `role_weights`: of registry, core, broker, backend, platform. `must_register`: backends register
    themselves on every seed.
    """

    backend_kinds: tuple[str, ...]
    role_weights: tuple[int, ...]
    must_register: bool = False


FRONT_DRAWING = Drawing(BACKEND_KINDS, (30, 10, 25, 30, 5))
DATABASE_DRAWING = Drawing(DATABASE_KINDS, (20, 10, 15, 50, 5), must_register=True)


@dataclass(frozen=True)
class Trouble:
    """One trouble: `at` and `for_s` in seconds from the start of the troubles."""

    kind: str
    role: str  # registry, core, broker, backend, platform
    target: int  # number of the node among those of its role
    at: float
    for_s: float
    is_after_acknowledgement: bool = False
    other: int = 0  # the second node of a cut between two


@dataclass(frozen=True)
class Schedule:
    """All troubles of one run and what else the seed decides."""

    seed: int
    registries: int
    brokers: int
    troubles: tuple[Trouble, ...]
    grace_s: int = 6
    is_self_registered: bool = False
    replacements: tuple[Replacement, ...] = ()  # by another build; none: all nodes run the same

    def to_json(self) -> str:
        """The schedule as a file's text."""
        return json.dumps({"format": FORMAT, **asdict(self)}, indent=1) + "\n"

    def without(self, dropped: set[int]) -> "Schedule":
        """The same without the troubles of these numbers."""
        kept = tuple(trouble for number, trouble in enumerate(self.troubles)
                     if number not in dropped)
        return replace(self, troubles=kept)

    def with_replacements(self) -> "Schedule":
        """The same with every node's process replaced, as the seed draws it."""
        has_wipe = any(trouble.kind == "wipe" for trouble in self.troubles)
        drawn = draw_replacements(self.seed, self.registries, self.brokers, has_wipe)
        return replace(self, replacements=drawn)


def read_schedule(text: str) -> Schedule:
    """Reads what to_json wrote; raises ValueError for another format."""
    document = json.loads(text)
    if document.pop("format", None) != FORMAT:
        raise ValueError("a schedule of another format")
    troubles = tuple(Trouble(**trouble) for trouble in document.pop("troubles"))
    replacements = tuple(Replacement(**one) for one in document.pop("replacements", ()))
    return Schedule(troubles=troubles, replacements=replacements, **document)


def _draw_trouble(source: random.Random, at: float, registries: int, brokers: int,
                  backends: int, drawing: Drawing) -> Trouble:
    role = source.choices(("registry", "core", "broker", "backend", "platform"),
                          drawing.role_weights)[0]
    kinds, count = {"registry": (REGISTRY_KINDS, registries), "core": (CORE_KINDS, 1),
                    "broker": (BROKER_KINDS, brokers), "backend": (drawing.backend_kinds, backends),
                    "platform": (PLATFORM_KINDS, 1)}[role]
    target = source.randrange(count)
    other = (target + 1 + source.randrange(max(1, registries - 1))) % registries
    return Trouble(kind=source.choice(kinds), role=role, target=target, at=round(at, 2),
                   for_s=round(source.uniform(0.3, 3.5), 2), other=other,
                   is_after_acknowledgement=source.random() < _AFTER_ACKNOWLEDGEMENT_SHARE)


def draw_schedule(seed: int, backends: int, groups: int = _GROUPS,
                  drawing: Drawing = FRONT_DRAWING) -> Schedule:
    """The schedule of this seed; the same each time."""
    source = random.Random(seed)
    registries = source.choice((3, 3, 3, 5))
    brokers = source.choice((2, 3))
    troubles = []
    wiped = False
    for group in range(groups):
        start = group * _GROUP_EVERY_S + source.uniform(0, 1)
        for _ in range(source.choice((2, 2, 3))):
            trouble = _draw_trouble(source, start + source.uniform(0, 1.2), registries, brokers,
                                    backends, drawing)
            # Of the registries' disks only as many are lost as the settings allow.
            if trouble.kind == "wipe" and wiped:
                continue
            wiped = wiped or trouble.kind == "wipe"
            troubles.append(trouble)
    if wiped:
        troubles = [trouble for trouble in troubles if _may_stand_beside_a_wipe(trouble)]
    return Schedule(seed, registries, brokers, tuple(troubles), source.choice((3, 4, 6)),
                    source.random() < 0.4 or drawing.must_register)


def _may_stand_beside_a_wipe(trouble: Trouble) -> bool:
    """A wiped disk is all that may be lost: every other registry keeps running beside it."""
    return trouble.kind == "wipe" or trouble.role not in ("registry", "core")
