"""Finds the fewest troubles of a schedule that still break a rule."""
from collections.abc import Callable

from soak.troubles import Schedule


def shrink(schedule: Schedule, play: Callable[[Schedule], set[str]],
           rule: str | None = None) -> Schedule:
    """Leaves out troubles, halves first, as long as the rule (or any rule) is still broken.

    `play` runs a schedule and returns the rules that it broke. A finding that does not show each
    time may be lost on the way; what is returned did break the rule when it was played last.
    """
    def is_broken(tried: Schedule) -> bool:
        broken = play(tried)
        return rule in broken if rule else bool(broken)

    size = max(1, len(schedule.troubles) // 2)
    while schedule.troubles:
        for first in range(0, len(schedule.troubles), size):
            dropped = set(range(first, min(first + size, len(schedule.troubles))))
            tried = schedule.without(dropped)
            if is_broken(tried):
                schedule = tried
                break
        else:
            if size == 1:
                break
            size = max(1, size // 2)
            continue
        size = min(size, max(1, len(schedule.troubles) // 2))
    return schedule
