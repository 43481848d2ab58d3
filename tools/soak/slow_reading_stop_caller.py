"""Callers that read large answers slowly around a planned stop."""
import asyncio

from .stop_caller import StopCaller

# Bytes of an answer.
SIZES = (40_000, 280_000)
RECEIVE_BUFFERS = (None, 4096, 16384)
# How long reading one answer takes, in seconds, and the bytes of one read.
READING_S = (0.2, 2.0)
CHUNK = 8192


class SlowReadingStopCaller(StopCaller):
    """Sends a few requests at once and reads their answers in small pieces."""

    def __init__(self, world, instance, pick):
        super().__init__(world, instance, pick)
        self.depth = pick.choice((1, 1, 2, 4))
        self.buffer = pick.choice(RECEIVE_BUFFERS)

    async def use(self, connection):
        connection.patient = True
        if not await connection.connect(self.buffer):
            return
        largest = SIZES[1] // self.depth
        pause = self.pick.uniform(*READING_S) / self.depth / (largest / CHUNK)

        async def pace():
            if connection.received:
                await asyncio.sleep(pause)
            return CHUNK

        # A stop that takes longer than the reading is not the instance's to wait for.
        while not connection.closing and self.stop_age() < self.world.checks.losses.grace_s / 2:
            for _ in range(self.depth):
                request = self.request(size=self.pick.randint(min(SIZES[0], largest), largest))
                if not await connection.send_whole(request):
                    break
            while connection.open:
                connection.take_answers()
                if connection.open and not await connection.receive(await pace()):
                    await connection.note_end()
                    return
            await asyncio.sleep(self.pick.uniform(0.0, 0.5))
