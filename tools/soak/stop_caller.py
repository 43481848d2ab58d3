"""Base of callers that stay with one instance around its planned stop."""
import asyncio
import itertools
import time

from .checks import Request
from .connection import Connection
from .work import ROUTES, timed_path

# Mean work and deadline of the requests, in seconds, as on the users' sites; the slowest come often.
USUAL = ((0.06, 0.3), (0.12, 1.0), (0.16, 1.2), (0.24, 4.0), (0.30, 2.0), (0.48, 3.0), (0.48, 3.0),
         (0.24, 4.0), (0.48, 9.0))
# Share of requests that take several times as long, and of those that are silent for seconds.
LONG_SHARE, SILENT_SHARE = 0.08, 0.03
numbers = itertools.count()


class StopCaller:
    """Runs until its instance has ended; subclasses send and read in their own way."""

    def __init__(self, world, instance, pick):
        self.world = world
        self.instance = instance
        self.pick = pick
        self.number = next(numbers)
        self.sent = 0

    @property
    def name(self):
        return f"{type(self).__name__}-{self.number}"

    def stop_age(self):
        """Seconds since the SIGTERM; negative before."""
        stopped = self.world.checks.losses.stops.get(self.instance.run_name)
        return -1.0 if stopped is None else time.monotonic() - stopped

    async def run(self):
        """Uses one connection after the other until the instance's stop is over."""
        run = self.instance.run_name
        while self.instance.run_name == run and self.instance.process.poll() is None:
            connection = Connection(self.world, self.instance, self.name)
            try:
                await self.use(connection)
            finally:
                connection.close()
            await asyncio.sleep(0.02)

    async def use(self, connection):
        """Lives through one connection."""
        raise NotImplementedError

    def request(self, safe=None, work=None, size=None):
        """A request like the users'; `safe` and `work` as (work, deadline) narrow the choice."""
        pick = self.pick
        mean, deadline = work or pick.choice(USUAL)
        work_s = mean * pick.uniform(0.7, 1.3)
        if pick.random() < LONG_SHARE:
            work_s *= pick.uniform(3.0, 6.0)
        elif pick.random() < SILENT_SHARE:
            work_s = pick.uniform(1.5, 8.0)
        if safe is None:
            safe = pick.random() < 0.75
        route = pick.choice([each for each in ROUTES if each.safe == safe])
        self.sent += 1
        path = timed_path(route.prefix, work_s, size or pick.randint(200, 5000),
                          f"{self.number}-{self.sent}")
        body = b"" if safe else b"y" * pick.randint(1, 2400)
        request = Request(f"{self.world.seed:04x}s{self.number:05x}{self.sent:06x}",
                          self.instance.run_name, "GET" if safe else "POST", path, body, safe,
                          route.service, time.monotonic())
        request.missed = False
        request.deadline_s = deadline
        request.timeout_s = route.timeout_s
        return request
