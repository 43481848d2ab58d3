"""Callers that read their answers only after the process is gone."""
import asyncio

from .stop_caller import StopCaller

# Work and deadline of the requests: all are answered long before the process ends.
QUICK = ((0.06, 1.0), (0.12, 1.2), (0.24, 2.0), (0.48, 3.0))


class LateReadingStopCaller(StopCaller):
    """Sends its requests shortly before the signal or in the first half of the grace; some go on
    sending until the connection ends."""

    def __init__(self, world, instance, pick):
        super().__init__(world, instance, pick)
        self.depth = pick.choice((1, 1, 2, 8, 32))
        self.goes_on = pick.random() < 0.5

    @property
    def name(self):
        return f"{super().name}-{self.depth}{'-goes-on' if self.goes_on else ''}"

    async def use(self, connection):
        connection.patient = True
        if not await connection.connect():
            return
        await asyncio.sleep(self.pick.uniform(0.0, 2.0))
        for _ in range(self.depth):
            request = self.request(work=self.pick.choice(QUICK), size=self.pick.randint(200, 60_000))
            if not await connection.send_whole(request):
                break
        goes_on = self.goes_on
        while connection.process.poll() is None:
            await asyncio.sleep(0.02)
            if goes_on and self.pick.random() < 0.2 and not await connection.send_whole(
                    self.request(size=200)):
                goes_on = False
        await asyncio.sleep(self.pick.uniform(0.0, 0.5))
        await connection.read_answers()
