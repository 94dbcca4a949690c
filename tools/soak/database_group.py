"""The databases of one service: the way of the log between them, promotions and troubles."""
import asyncio
import itertools
import random

from soak.database_history import DatabaseHistory, Promotion
from soak.databases import POLL_S, REPLICATION_S, Commit, Database
from soak.history import now

EMPTY_OUT_S = 3.0

_PROMOTION_TAKES_EFFECT_S = 0.1
_PROMOTION_ANSWERED_S = 0.3
_PROMOTION_WAIT_S = 3.0  # until somebody should have been promoted
_STEP_DOWN_AFTER_S = 1.0  # a former primary goes on so long once the new one is within its reach
_SERVES_ON_S = 1.0  # beyond the least time after it said that it empties
_CANCELS_FIRST_SHARE = 0.5  # of planned ends


class DatabaseGroup:
    """The backends of one service, the way of the log between them, and its promotions."""

    _numbers = itertools.count(1)

    def __init__(self, service: str, places: list[tuple[str, str]], is_synchronous: bool,
                 registry_hosts: tuple[str, ...], history: DatabaseHistory, seed: int):
        self.service, self.is_synchronous = service, is_synchronous
        self.registry_hosts = registry_hosts
        self.random = random.Random(f"{seed} {service}")
        self._release_random = random.Random(f"{seed} {service} release")
        self._history = history
        self.members = [Database(self, host, zone, at == 0)
                        for at, (host, zone) in enumerate(places)]
        self._tasks: list[asyncio.Task] = []

    def new_id(self) -> str:
        """The id of a new incarnation."""
        return f"i-{next(self._numbers):06x}"

    def new_stamp(self, term: int) -> str:
        """A stamp that only one run has."""
        stamp = f"{self.service}.{next(self._numbers):x}"
        self._history.stamp_terms[stamp] = term
        return stamp

    async def open(self) -> None:
        """Starts all databases."""
        for member in self.members:
            await member.start()
        self._tasks = [asyncio.create_task(self._replicate(member)) for member in self.members]

    def close(self) -> None:
        """Ends all databases."""
        for task in self._tasks:
            task.cancel()
        for member in self.members:
            member.end()

    def is_received(self, commit: Commit, by: Database) -> bool:
        """Whether a replica has the commit."""
        at = commit.number - 1
        return any(at < len(other.log) and other.log[at] == commit
                   for other in self.members if other is not by)

    def primary(self) -> Database | None:
        """The primary of the newest term, whether it runs or not."""
        leaders = [member for member in self.members if member.is_leader]
        return max(leaders, key=lambda member: member.term, default=None)

    async def _replicate(self, receiver: Database) -> None:
        """Brings the log of the newest primary in reach to one database, and ends a former lead."""
        seen_newer_at = 0.0
        while True:
            await asyncio.sleep(max(POLL_S, receiver.delay_s))
            source = max((member for member in self.members
                          if member.is_leader and member.is_reachable and member is not receiver),
                         key=lambda member: member.term, default=None)
            if source is None or not receiver.is_reachable or source.term < receiver.term or (
                    receiver.is_leader and source.term <= receiver.term):
                seen_newer_at = 0.0
                continue
            if receiver.is_leader:
                seen_newer_at = seen_newer_at or now()
                if now() - seen_newer_at >= _STEP_DOWN_AFTER_S:
                    receiver.change_role(False, source.term)
                continue
            if receiver.is_deaf:
                continue
            receiver.term = source.term
            receiver.follow_log(source.log)

    async def promote(self, target: Database) -> bool:
        """Makes a database the primary of the next term; false if it does not run."""
        if not target.is_reachable:
            return False
        if target is self.primary():
            return True
        await asyncio.sleep(_PROMOTION_TAKES_EFFECT_S)
        if not target.is_reachable:
            return False
        term = max(member.term for member in self.members) + 1
        for other in self.members:
            if not other.is_up:
                other.is_leader = False  # it returns as a replica
        target.change_role(True, term)
        held = frozenset(target.values)
        known = frozenset().union(*(member.values for member in self.members))
        self._history.promotions.append(Promotion(
            self.service, target.id, term, now(), self.is_synchronous, held, known - held))
        await asyncio.sleep(_PROMOTION_ANSWERED_S - _PROMOTION_TAKES_EFFECT_S)
        return True

    # Troubles. One at a time at each database; the others overlap.

    async def trouble(self, kind: str, target: int, for_s: float) -> None:
        """Plays one trouble at a database, `primary_*` at whoever leads then."""
        member = self.members[target % len(self.members)]
        if kind.startswith("primary_"):
            kind = kind.removeprefix("primary_")
            member = self.primary() or member
        if member.is_troubled or not member.is_up:
            return
        member.is_troubled = True
        try:
            await getattr(self, "_" + kind)(member, for_s)
        finally:
            member.is_troubled = False

    async def _crash(self, member: Database, for_s: float) -> None:
        member.end()
        await asyncio.sleep(for_s)
        member.begin_anew()
        await member.start()

    async def _dark(self, member: Database, for_s: float) -> None:
        member.is_dark = True
        await asyncio.sleep(for_s)
        member.come_back()

    async def _deaf(self, member: Database, for_s: float) -> None:
        member.is_deaf = True
        await asyncio.sleep(for_s)
        member.is_deaf = False

    async def _lag(self, member: Database, for_s: float) -> None:
        member.delay_s = self.random.uniform(0.1, 0.5)
        await asyncio.sleep(for_s)
        member.delay_s = REPLICATION_S

    async def _release(self, member: Database, _for_s: float) -> None:
        """A planned end; the next incarnation takes its log. Some cancel first, and serve on."""
        cancels_first = self._release_random.random() < _CANCELS_FIRST_SHARE
        if cancels_first:
            await member.say_gone()
        else:
            member.say_emptying()
        await asyncio.sleep(EMPTY_OUT_S + _SERVES_ON_S)
        if not cancels_first:
            await member.say_gone()
        member.end()
        member.begin_anew()
        await member.start()

    async def _lost_twice(self, member: Database, for_s: float) -> None:
        """It goes dark; whoever is promoted meanwhile crashes, then it is within reach again."""
        member.is_dark = True
        until = now() + _PROMOTION_WAIT_S
        while self.primary() is member and now() < until:
            await asyncio.sleep(POLL_S)
        await asyncio.sleep(self.random.uniform(0.3, 1.5))
        crashed = self.primary()
        crash = self.trouble("crash", self.members.index(crashed), for_s + _PROMOTION_WAIT_S)
        crashing = asyncio.create_task(crash)
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        member.come_back()
        await crashing

    def lose_primary(self) -> None:
        """The primary is lost for good."""
        primary = self.primary()
        if primary is not None:
            primary.end()
