"""Registries elect a leader and acknowledge orders while a sync takes long on all of their disks.

    PYTHONPATH=tools python3 -B tests/soak/slow_disks.py PROGRAM FAULTS SYNC_MS

An order is sent with the disks slow, and one more after the leader was killed and began again. Exit
code 1 if either has no acknowledgement within ANSWER_S.
"""
import asyncio
import sys
import tempfile
from pathlib import Path

from mixed_versions.addresses import Network
from mixed_versions.builds import Build
from soak.cluster import Builds, SoakCluster, SoakNode
from soak.history import History, now
from soak.operators import Operators
from soak.replacements import NEW
from soak.troubles import Schedule

ANSWER_S = 8.0  # the deployments' answer_ms
REGISTRIES = 3
BROKERS = 2
PLATFORM_HOST = 31

_FOUND_S = 20.0
_SETTLE_S = 2.0
_LEADS = "agree: leads in term "


def terms_led(node: SoakNode) -> list[int]:
    """The terms in which a registry led, by its log."""
    lines = node.log_path.read_text(errors="replace").splitlines()
    return [int(line.rpartition(_LEADS)[2]) for line in lines if _LEADS in line]


async def play(program: Path, faults: Path, sync_ms: int, folder: Path) -> bool:
    """Whether both orders were acknowledged in time."""
    network = Network(0)
    history = History()
    schedule = Schedule(seed=1, registries=REGISTRIES, brokers=BROKERS, troubles=())
    cluster = SoakCluster(network, folder, Builds(Build(NEW, program)), faults, schedule, history,
                          network.host(PLATFORM_HOST))
    operators = Operators(history, schedule.seed,
                          {node.spec.name: node.spec.host for node in cluster.registries})
    cluster.start_all()
    try:
        await operators.put_next(_FOUND_S)
        await asyncio.sleep(_SETTLE_S)
        for node in cluster.registries:
            node.rules.sync_ms = sync_ms
            cluster.apply(node)
        slow = await operators.put_next(ANSWER_S)
        leader = max(cluster.registries, key=lambda node: max(terms_led(node), default=0))
        cluster.kill(leader)
        cluster.start(leader)
        killed_at = now()
        after = await operators.put_next(ANSWER_S)
        terms = sorted(term for node in cluster.registries for term in terms_led(node))
        for name, put, since in (("with slow disks", slow, slow.sent_at),
                                 ("after the leader's kill", after, killed_at)):
            taken = f"after {put.acknowledged_at - since:.2f} s" if put.acknowledged_at else "never"
            print(f"sync {sync_ms} ms, {name}: acknowledged {taken}")
        print(f"terms that were led: {terms}")
        return bool(slow.acknowledged_at and after.acknowledged_at)
    finally:
        await cluster.close()


def main() -> int:
    """Runs the command; returns its exit code."""
    program, faults, sync_ms = Path(sys.argv[1]), Path(sys.argv[2]), int(sys.argv[3])
    with tempfile.TemporaryDirectory(prefix="soak.") as folder:
        is_well = asyncio.run(play(program.resolve(), faults.resolve(), sync_ms, Path(folder)))
    return 0 if is_well else 1


if __name__ == "__main__":
    sys.exit(main())
