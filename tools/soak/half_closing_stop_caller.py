"""Callers that end their sending side after the request."""
import asyncio

from .stop_caller import StopCaller


class HalfClosingStopCaller(StopCaller):
    """One request a connection, with shutdown of the sending side behind it."""

    async def use(self, connection):
        if not await connection.connect():
            return
        if await connection.send_whole(self.request()):
            connection.half_close()
        await connection.read_answers()
        await asyncio.sleep(self.pick.uniform(0.1, 0.5))
