"""Callers that send head or body in parts around a planned stop."""
import asyncio

from .connection import head_of
from .stop_caller import StopCaller

# Longest pause between two parts, below the instances' time limit for a request.
PAUSE_S = 1.0
CONTINUE_S = 1.0


class PartsStopCaller(StopCaller):
    """One request after the other; some wait for 100 Continue before their body."""

    async def use(self, connection):
        if not await connection.connect():
            return
        while not connection.closing:
            request = self.request()
            expects = bool(request.body) and self.pick.random() < 0.4
            head = head_of(request, {"Expect": "100-continue"} if expects else {})
            connection.may_send_body.clear()
            connection.begin(request)
            reading = asyncio.create_task(connection.read_answers(until_answered=True))
            try:
                sent = await self.send_parts(connection, request, head, not request.body)
                if sent and expects:
                    await self.wait_for_continue(connection)
                if sent and request.body and connection.open:
                    await self.send_parts(connection, request, request.body, True)
                await reading
                if connection.how is not None or request.last_byte_at is None:
                    return
            finally:
                reading.cancel()
            await asyncio.sleep(self.pick.uniform(0.0, 0.2))

    async def send_parts(self, connection, request, data, last):
        """Sends data in up to three parts; False if the connection has ended."""
        cuts = sorted(self.pick.randrange(1, len(data) + 1) for _ in range(self.pick.randint(0, 2)))
        begin = 0
        for end in cuts + [len(data)]:
            if begin:
                await asyncio.sleep(self.pick.uniform(0.0, PAUSE_S))
            if not connection.open:
                # Refused before it was sent in full.
                return False
            if not await connection.send(request, data[begin:end], last and end == len(data)):
                return False
            begin = end
        return True

    async def wait_for_continue(self, connection):
        """As callers do, waits for a while and then sends the body anyway."""
        try:
            async with asyncio.timeout(CONTINUE_S):
                await connection.may_send_body.wait()
        except TimeoutError:
            pass
