"""The check of RECOVER, for cases in which a primary is lost for good beside a closing fault."""
import asyncio
import os

from nodes import CannotRun, now
from pool_world import HAS_TROUBLE, TIME_BOUNDS, PoolWorld

MEASURED_S = 12.0
IS_PRIMARY_KEPT = os.environ.get("KEEP_PRIMARY") == "1"  # the closing fault alone, for comparison


async def judge_recovery(world: PoolWorld, primary) -> int:
    """Loses the primary at the closing fault; 1 if less than a quarter is served after `heal_s`."""
    closed_at = now()
    served_before, sent_before = world.served_since(0.0)
    back_at = closed_at + 1.0
    if HAS_TROUBLE:
        if not IS_PRIMARY_KEPT:
            await primary.end("crashes and is gone for good")
        back_at = await world.close_day()
    measured_from = back_at + TIME_BOUNDS["heal_s"]
    await asyncio.sleep(measured_from + MEASURED_S - now())
    served, sent = world.served_since(measured_from)
    others = [one for one in world.group.members if one is not primary and one.is_reachable()]
    world.record.note(f"backends that run and can be reached: "
                      f"{[(one.id, one.position()) for one in others]}, raised: "
                      f"{[(at, one.id) for at, one in world.raised]}")
    world.record.note(f"{world.outcome.counts}")
    print(f"before the closing fault {served_before} of {sent_before} served, later than heal_s "
          f"after it {served} of {sent}; promotes: {len(world.raised)}; {world.outcome.counts}")
    if sent_before < 100 or served_before * 4 < sent_before or sent < 10:
        raise CannotRun("too few statements")
    if world.crashed_processes():
        raise CannotRun(f"{world.crashed_processes()} ended")
    return 1 if served * 4 < sent else 0
