"""Callers that connect at any moment of a planned stop and may send their first request late."""
import asyncio

from .stop_caller import StopCaller


class LateStopCaller(StopCaller):
    """One request a connection; connects in quick succession, so that some meet the closing listener."""

    async def use(self, connection):
        if not await connection.connect():
            return
        if self.pick.random() < 0.5:
            await asyncio.sleep(self.pick.uniform(0.0, 0.8))
        if connection.has_ended():
            return
        if await connection.send_whole(self.request()):
            await connection.read_answers(until_answered=True)
