"""A primary crashed and is back before a configuration names its service: nobody leads it then."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from nodes import CannotRun, now, put_configuration  # noqa: E402
from pool_world import HAS_TROUBLE, LATER_DATABASE, PoolWorld, run_case  # noqa: E402
from sessions import Outcome  # noqa: E402

DOWN_S = 4.5  # `srv_crash`, for_s up to 7.0 in the site file
CALM_S = 8.0  # all backends run again
TAKE_EFFECT_S = 5.0
MEASURED_S = 15.0


async def play(world: PoolWorld) -> int:
    """The case."""
    for group in (world.group, world.later):
        world.add_database("porto-hall", is_leader=True, group=group)
        world.add_database("coimbra-hall", group=group)
        world.add_database("faro-hall", group=group)
    await world.start()
    world.start_clients(writers=1, readers=1, pause_s=0.1)
    await asyncio.sleep(1.0)
    if HAS_TROUBLE:
        await world.later.crash(world.later.members[0], DOWN_S)
    else:
        await asyncio.sleep(DOWN_S)
    await asyncio.sleep(CALM_S)
    await put_configuration(world.cluster, world.registries, world.configuration(9))
    await asyncio.sleep(TAKE_EFFECT_S)
    since = now()
    added = Outcome()
    world.start_clients(writers=2, readers=1, pause_s=0.1, database=LATER_DATABASE, outcome=added)
    await asyncio.sleep(MEASURED_S)
    first = [is_served for sent_at, is_served in world.outcome.tries if sent_at >= since]
    later = [is_served for sent_at, is_served in added.tries]
    world.record.note(f"backends of the later service: "
                      f"{[(one.id, one.is_leader, one.position()) for one in world.later.members]}")
    print(f"served on the first route {sum(first)} of {len(first)}, on the one added later "
          f"{sum(later)} of {len(later)}; {added.counts}")
    if len(first) < 20 or len(later) < 20 or sum(first) * 2 < len(first):
        raise CannotRun("too few statements")
    return 1 if sum(later) / len(later) < sum(first) / len(first) / 4 else 0


sys.exit(run_case(play, Path(__file__).resolve().parent, sync=0))
