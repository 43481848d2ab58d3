"""Real instances against targets that name limits, without other faults."""
import asyncio
import tempfile
import unittest
from pathlib import Path

from .callers import Caller
from .soak import CALLERS, World

WARM_UP_S = 3.0
# Until the instances know of the limits and of each other's demand.
LEARNT_S = 6.0
RUN_S = 10.0
SLOT = 6


class LimitedDay:
    """A fleet under load whose targets name `limits`, by number, from the start."""

    def __init__(self, limits, seed):
        self.limits = limits
        self.world = World(seed, SLOT, Path(tempfile.mkdtemp(prefix="catkintally-limit-")))
        # Requests per second by target number, from LEARNT_S after the naming.
        self.rates = {}

    async def play(self):
        world = self.world
        try:
            watching = await world.start_ready()
            calls = [asyncio.create_task(Caller(world, number).run()) for number in range(CALLERS)]
            await asyncio.sleep(WARM_UP_S)
            for number, limit in self.limits.items():
                world.targets[number].set_limit(limit)
            await asyncio.sleep(LEARNT_S)
            before = [target.arrived for target in world.targets]
            await asyncio.sleep(RUN_S)
            for number, target in enumerate(world.targets):
                self.rates[number] = (target.arrived - before[number]) / RUN_S
            for each in calls + watching:
                each.cancel()
            await asyncio.gather(*calls, *watching, return_exceptions=True)
            await world.close()
        finally:
            world.stop()

    @property
    def too_many(self):
        """Broken limits, and other broken promises."""
        return list(self.world.checks.limits.broken()) + self.world.checks.violations


class ServerLimitTest(unittest.TestCase):
    """Guards against targets that get more requests than the limit that they name in their answers,
    summed over all instances (issue 28), and against limits that are left unused under load."""

    def day(self, limits):
        day = LimitedDay(limits, seed=1)
        asyncio.run(day.play())
        return day

    def test_a_target_gets_no_more_than_its_limit_from_all_instances(self):
        day = self.day({0: 1.0, 4: 1.5, 9: 3.0})
        self.assertEqual(day.too_many, [])

    def test_a_service_whose_targets_all_name_limits_gets_what_they_take(self):
        orders = {number: 2.0 for number in range(9, 15)}
        day = self.day(orders)
        self.assertEqual(day.too_many, [])
        self.assertGreater(sum(day.rates[number] for number in orders), 0.8 * sum(orders.values()))
        refusals = day.world.checks.retry_after
        self.assertGreater(len(refusals), 50)
        self.assertTrue(all(text and float(text) > 0 for text in refusals))

    def test_a_malformed_limit_changes_nothing(self):
        day = self.day({0: "many", 1: "-1", 2: "1e99", 3: "", 4: "nan"})
        self.assertEqual(day.too_many, [])
        # Instances prefer targets of their own failure domain, so each is compared with one there
        # that names nothing: 6, 7 or 8.
        for number in day.limits:
            with self.subTest(number):
                self.assertGreater(day.rates[number], 0.5 * day.rates[6 + number % 3])


if __name__ == "__main__":
    unittest.main()
