"""Callers that pipeline without a pause around a planned stop."""
import asyncio

from .stop_caller import StopCaller

DEPTHS = (2, 2, 3, 4, 8, 16, 32)
# The slowest kind of safe request of two of the users' sites: work and deadline in seconds.
SLOWEST = ((0.48, 3.0), (0.24, 4.0))
# Most requests a second of one caller, so that refusals do not come back in a tight loop.
RATE = 60.0


class PipeliningStopCaller(StopCaller):
    """Keeps a number of requests outstanding. Some send only the slowest safe requests, some go on
    after `Connection: close`."""

    def __init__(self, world, instance, pick):
        super().__init__(world, instance, pick)
        self.depth = pick.choice(DEPTHS)
        self.slowest = pick.choice(SLOWEST) if pick.random() < 0.5 else None
        self.ignores_close = pick.random() < 0.3

    @property
    def name(self):
        kind = "slowest" if self.slowest else "mixed"
        goes_on = "-ignores-close" if self.ignores_close else ""
        return f"{super().name}-{self.depth}-{kind}{goes_on}"

    async def use(self, connection):
        if not await connection.connect():
            return
        reading = asyncio.create_task(
            connection.read_answers(until_close=not self.ignores_close))
        try:
            while not reading.done():
                if len(connection.open) < self.depth and (self.ignores_close or
                                                          not connection.closing):
                    request = self.request(safe=True if self.slowest else None, work=self.slowest)
                    if not await connection.send_whole(request):
                        break
                    if len(connection.open) < self.depth:
                        await asyncio.sleep(1 / RATE)
                else:
                    await asyncio.sleep(0.005)
            await reading
        finally:
            reading.cancel()
