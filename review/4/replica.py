"""With `sync` 1: a replica crashed and is back; later the primary is lost, nobody is promoted."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from pool_world import HAS_TROUBLE, PoolWorld, run_case  # noqa: E402
from recover import judge_recovery  # noqa: E402

REPLICA_DOWN_S = 4.5  # `srv_crash`, for_s up to 7.0 in the site file
CALM_S = 8.0  # all three backends run again


async def play(world: PoolWorld) -> int:
    """The case."""
    primary = world.add_database("porto-hall", is_leader=True)
    replica = world.add_database("coimbra-hall")
    world.add_database("faro-hall")
    await world.start()
    world.start_clients(writers=2, readers=2, pause_s=0.05)
    await asyncio.sleep(2.0)
    if HAS_TROUBLE:
        await world.group.crash(replica, REPLICA_DOWN_S)
    else:
        await asyncio.sleep(REPLICA_DOWN_S)
    await asyncio.sleep(CALM_S)
    return await judge_recovery(world, primary)


sys.exit(run_case(play, Path(__file__).resolve().parent, sync=1))
