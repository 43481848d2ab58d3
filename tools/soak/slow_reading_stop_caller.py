"""Callers that read large answers slowly around a planned stop."""
import asyncio

from .stop_caller import StopCaller

# Bytes of an answer.
SIZES = (40_000, 280_000)
RECEIVE_BUFFERS = (None, 4096, 16384)
# How long reading a group of answers takes, in seconds, and the bytes of one read.
READING_S = (0.2, 2.5)
CHUNK = 16384
# More than an instance handles at the same time on one connection.
DEPTHS = (1, 1, 2, 4, 34)


class SlowReadingStopCaller(StopCaller):
    """Sends a group of requests at once and reads their answers in small pieces. Some go on sending
    while they read, also after `Connection: close`."""

    def __init__(self, world, instance, pick):
        super().__init__(world, instance, pick)
        self.depth = pick.choice(DEPTHS)
        self.buffer = pick.choice(RECEIVE_BUFFERS)
        self.goes_on = pick.random() < 0.5

    @property
    def name(self):
        return f"{super().name}-{self.depth}{'-goes-on' if self.goes_on else ''}"

    async def use(self, connection):
        connection.patient = True
        if not await connection.connect(self.buffer):
            return
        sending = asyncio.create_task(self.send_further(connection)) if self.goes_on else None
        try:
            # A caller that reads for longer than the grace lasts cannot be waited for.
            while not connection.closing and self.stop_age() < self.world.checks.losses.grace_s / 2:
                if not await self.exchange_group(connection):
                    return
                await asyncio.sleep(self.pick.uniform(0.0, 0.5))
            if self.goes_on:
                await connection.read_answers()
        finally:
            if sending:
                sending.cancel()

    async def exchange_group(self, connection):
        """Sends one group and reads its answers; False at the end of the connection."""
        largest = max(SIZES[0], SIZES[1] * 2 // (self.depth + 1))
        pause = self.pick.uniform(*READING_S) / (self.depth * largest / CHUNK)
        for _ in range(self.depth):
            request = self.request(size=self.pick.randint(SIZES[0], largest))
            if not await connection.send_whole(request):
                break
        last = connection.open[-1] if connection.open else None
        while last in connection.open and not connection.closing:
            if connection.received:
                await asyncio.sleep(pause)
            if not await connection.receive(CHUNK):
                await connection.note_end()
                return False
            connection.take_answers()
        return True

    async def send_further(self, connection):
        while connection.how is None:
            await asyncio.sleep(self.pick.uniform(0.02, 0.3))
            if self.stop_age() > 0 and not await connection.send_whole(self.request(size=200)):
                return
