"""Callers that read their answers only after the process is gone."""
import asyncio

from .stop_caller import StopCaller

# Work and deadline of the requests: all are answered long before the process ends.
QUICK = ((0.06, 1.0), (0.12, 1.2), (0.24, 2.0), (0.48, 3.0))


class LateReadingStopCaller(StopCaller):
    """Sends its requests shortly before the signal or in the first half of the grace."""

    async def use(self, connection):
        connection.patient = True
        if not await connection.connect():
            return
        await asyncio.sleep(self.pick.uniform(0.0, 2.0))
        for _ in range(self.pick.choice((1, 1, 2, 8, 32))):
            request = self.request(work=self.pick.choice(QUICK), size=self.pick.randint(200, 60_000))
            if not await connection.send_whole(request):
                break
        while connection.process.poll() is None:
            await asyncio.sleep(0.02)
        await asyncio.sleep(self.pick.uniform(0.0, 0.5))
        await connection.read_answers()
