"""Real instances against targets that name limits, without other faults."""
import asyncio
import tempfile
import time
import unittest
from pathlib import Path

from .callers import Caller
from .limit_check import CONTACT_S
from .soak import CALLERS, World

RUN_S = 14.0
SLOT = 6


class LimitedDay:
    """A fleet under load whose targets name `limits`, by number, from the start."""

    def __init__(self, limits, seed):
        self.limits = limits
        self.world = World(seed, SLOT, Path(tempfile.mkdtemp(prefix="catkintally-limit-")))
        self.arrivals = {}

    async def play(self):
        world = self.world
        try:
            watching = await world.start_ready()
            calls = [asyncio.create_task(Caller(world, number).run()) for number in range(CALLERS)]
            await asyncio.sleep(1.0)
            begin = time.monotonic()
            for number, limit in self.limits.items():
                world.targets[number].set_limit(limit)
            await asyncio.sleep(RUN_S)
            for each in calls + watching:
                each.cancel()
            await asyncio.gather(*calls, *watching, return_exceptions=True)
            end = time.monotonic()
            for number in self.limits:
                name = world.targets[number].name
                counted = [at for at, _ in world.checks.limits.arrivals[name]
                           if at >= begin + CONTACT_S]
                self.arrivals[number] = len(counted) / (end - begin - CONTACT_S)
            await world.close()
        finally:
            world.stop()


class ServerLimitTest(unittest.TestCase):
    """Guards against targets that get more requests than the limit that they name in their answers,
    summed over all instances (issue 28), and against limits that are left unused under load."""

    def day(self, limits):
        day = LimitedDay(limits, seed=1)
        asyncio.run(day.play())
        return day

    def test_a_target_gets_no_more_than_its_limit_from_all_instances(self):
        day = self.day({0: 1.0, 4: 1.5, 9: 3.0})
        self.assertEqual(list(day.world.checks.limits.broken()), [])


if __name__ == "__main__":
    unittest.main()
