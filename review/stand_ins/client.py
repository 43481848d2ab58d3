"""Stand-in for clients: one request or several pipelined ones on a connection."""
import asyncio
import time
import uuid

from .upstream import read_body, read_head


class Request:
    def __init__(self, method, path, body=b"", deadline_ms=1500, host="a.example"):
        self.method, self.path, self.body = method, path, body
        self.deadline_ms, self.host = deadline_ms, host
        self.attempt = uuid.uuid4().hex[:16]
        self.sent_at = self.ended_at = None
        # Status and fields of a complete answer; otherwise how the connection ended.
        self.status = self.fields = self.ended = None
        self.answer = b""

    def text(self):
        length = "Content-Length: %d\r\n" % len(self.body) if self.method == "POST" else ""
        return ("%s %s HTTP/1.1\r\nHost: %s\r\nX-Catkintally-Attempt-Id: %s\r\n"
                "X-Catkintally-Deadline-Ms: %d\r\n%s\r\n" % (
                    self.method, self.path, self.host, self.attempt, self.deadline_ms,
                    length)).encode() + self.body

    def describe(self):
        return "%s %s %s" % (self.attempt, self.method, self.path)


class Client:
    """A connection to the frontend of an instance."""

    def __init__(self, record, instance):
        self.record, self.instance = record, instance
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.instance.host, self.instance.frontend)

    async def answer(self, request, limit_s):
        try:
            head = await asyncio.wait_for(read_head(self.reader), limit_s)
            while head is not None and head[0].split()[1].startswith("1"):
                head = await asyncio.wait_for(read_head(self.reader), limit_s)
            if head is None:
                request.ended = "closed"
            else:
                request.answer = await asyncio.wait_for(
                    read_body(self.reader, head[1]), limit_s)
                request.status, request.fields = int(head[0].split()[1]), head[1]
        except asyncio.TimeoutError:
            request.ended = "no answer in time"
        except (OSError, asyncio.IncompleteReadError) as error:
            request.ended = "cut: %s" % type(error).__name__
        request.ended_at = time.monotonic()
        self.record("client gets for %s: %s" % (request.attempt, request.ended or "%d %s %s" % (
            request.status, request.fields.get("x-catkintally-upstream-signature", "own"),
            request.fields.get("catkintally-reason", ""))))

    async def ask(self, *requests, slack_s=1.0):
        """Sends the requests in one piece and awaits their answers in order."""
        for each in requests:
            each.sent_at = time.monotonic()
            self.record("client sends to instance %d: %s" % (
                self.instance.number, each.describe()))
        self.writer.write(b"".join(each.text() for each in requests))
        for each in requests:
            if each.ended is None:
                await self.answer(each, each.deadline_ms / 1000 + slack_s)
            if each.ended:
                for other in requests:
                    if other.ended_at is None:
                        other.ended, other.ended_at = each.ended, each.ended_at
                return

    def close(self):
        if self.writer is not None:
            self.writer.close()
