"""A former primary of an older term is taken for the leader after the present one crashed.

VARIANT=sync0: the same with `sync` 0, as in the site file; a registry is killed in between.
"""
import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from nodes import CannotRun, now  # noqa: E402
from pool_world import HAS_TROUBLE, PoolWorld, run_case  # noqa: E402

SYNC = 0 if os.environ.get("VARIANT") == "sync0" else 1
DARK_S = 7.0  # the largest `for_s` of `srv_crash`, "dark primary", in the site file
SECOND_CRASH_AFTER_S = 5.0 if SYNC else 6.0  # after the first one
REGISTRY_KILLED_AFTER_S = 4.5


async def kill_leading_registry(world: PoolWorld) -> None:
    """A process that serves control is killed and starts again: `node_kill`, how = "leader"."""
    led = {node: node.log().count("agree: leads in term") for node in world.registries}
    leader = max(led, key=led.get)
    leader.kill()
    await asyncio.sleep(1.0)
    leader.start()


async def trouble(world: PoolWorld, first) -> None:
    """The primary is dark for a while; the one promoted meanwhile crashes before that is over."""
    began = now()
    first.go_dark()
    while not world.raised:
        if now() - began > SECOND_CRASH_AFTER_S - 0.5:
            raise CannotRun("nobody was promoted in time")
        await asyncio.sleep(0.02)
    if not SYNC:
        await asyncio.sleep(max(0.3, began + REGISTRY_KILLED_AFTER_S - now()))
        killing = asyncio.create_task(kill_leading_registry(world))
    await asyncio.sleep(max(0.5, began + SECOND_CRASH_AFTER_S - now()))
    crash = asyncio.create_task(world.group.crash(world.raised[0][1], DARK_S))
    await asyncio.sleep(max(0.0, began + DARK_S - now()))
    first.come_back()
    await asyncio.sleep(began + SECOND_CRASH_AFTER_S + DARK_S - now() - 1.0)
    crash.cancel()
    if not SYNC:
        await killing


async def play(world: PoolWorld) -> int:
    """The case."""
    first = world.add_database("porto-hall", is_leader=True)
    world.add_database("coimbra-hall")
    world.add_database("faro-hall")
    await world.start()
    world.start_clients(writers=1, readers=2, pause_s=0.02)
    await asyncio.sleep(3.0)
    if HAS_TROUBLE:
        await trouble(world, first)
    else:
        await asyncio.sleep(12.0)
    stale = world.stale_reads()
    reads = len(world.outcome.reads)
    old = [one for one in world.outcome.written if world.group.is_of_old_primary(*one)]
    world.record.note(f"{world.outcome.counts}")
    for read in stale[:20]:
        world.record.note(f"STALE read of {read.thing} sent at {read.sent_at:.4f}: got {read.got}, "
                          f"{read.wanted} was acknowledged before; stamp {read.stamp}")
    for sent_at, stamp in old[:20]:
        world.record.note(f"ONE write sent at {sent_at:.4f} was committed by an old primary and "
                          f"acknowledged: {stamp}")
    print(f"sync {SYNC}: {reads} reads on the leader route with success, {len(stale)} of them "
          f"stale; writes sent after a promote, committed and acknowledged by the old primary: "
          f"{len(old)}; {world.outcome.counts}")
    if reads < 100:
        raise CannotRun("too few reads")
    return 1 if stale or old else 0


sys.exit(run_case(play, Path(__file__).resolve().parent, sync=SYNC))
