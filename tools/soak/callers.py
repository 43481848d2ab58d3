"""Callers that keep connections open, retry as the platform's callers do, and compare answers."""
import asyncio
import collections
import time

from . import http_text
from .checks import PROMISES, Request
from .loss_check import End
from .organisations import PUBLIC_PREFIX
from .targets import CRASHING_PATH, body_of

DEADLINE_S = 1.5
RETRIES = 2
# Of the routes that these callers use.
TIMEOUT_S = 1.2
# Pause between two requests of one caller, as a mean rate.
REQUESTS_PER_S = 6.0
# A caller waits for a connection at most this long.
CONNECT_S = 1.0


class Caller:
    """One caller: sends a request, waits for its end, pauses, and so on."""

    def __init__(self, world, number):
        self.world = world
        self.number = number
        self.sent = 0
        self.connection = None
        self.instance = None

    async def run(self):
        """Sends requests until it is cancelled."""
        try:
            while True:
                await self.one_request()
                await asyncio.sleep(self.world.random.expovariate(REQUESTS_PER_S))
        finally:
            await self.close()

    async def close(self):
        if self.connection is not None:
            self.connection[1].close()
            self.connection = None

    async def one_request(self):
        kind = self.world.random.random()
        path, method, safe, service, body = (
            ("/l/", "GET", True, "lookup", b"") if kind < 0.6 else
            ("/o/", "POST", False, "order", b"x" * self.world.random.randint(1, 3000)))
        if kind > 0.9:
            path, method, safe, service, body = self.world.newest_route(), "GET", True, "lookup", b""
        organisations = self.world.organisations
        access = organisations.access()
        if organisations.public():
            path, method, safe, service, body = PUBLIC_PREFIX, "GET", True, "lookup", b""
            access = organisations.public_access(), True
        path += f"{self.number}-{self.sent}"
        deadline = time.monotonic() + DEADLINE_S
        for _ in range(RETRIES + 1):
            outcome, wait = await self.attempt(
                method, path, body, safe, service, deadline, access)
            again = outcome in PROMISES or outcome == "unread" or (
                safe and outcome not in (401, 404))
            if outcome == 200 or not again:
                return
            await self.close()
            left = deadline - time.monotonic()
            await asyncio.sleep(min(wait, max(0.0, left / 3)))
            if time.monotonic() >= deadline:
                return

    async def connect(self):
        if self.connection is not None and self.connection[0].at_eof():
            await self.close()
        if self.connection is not None:
            return True
        self.instance = self.world.choose_instance()
        try:
            async with asyncio.timeout(CONNECT_S):
                self.connection = await asyncio.open_connection(
                    "127.0.0.1", self.instance.front_port)
            return True
        except OSError:
            return False

    async def attempt(self, method, path, body, safe, service, deadline, access=None):
        """Status of one attempt, or "unread" or "cut", and the advised wait in seconds. `access` is
        how it identifies itself, and whether it must be served; a valid key by default."""
        access, served = access or self.world.organisations.valid_access()
        if not await self.connect():
            return "unread", 0.05
        self.sent += 1
        now = time.monotonic()
        request = Request(f"{self.world.seed:04x}{self.number:04x}{self.sent:08x}",
                          self.instance.run_name, method, path, body, safe, service, now)
        request.missed = served and not path.startswith(CRASHING_PATH)
        request.caller, request.deadline_s = f"Caller-{self.number}", deadline - now
        request.timeout_s = TIMEOUT_S
        checks = self.world.checks
        checks.sent(request)
        checks.organisations.sent(request, access)
        reader, writer = self.connection
        try:
            writer.write(http_text.message(
                f"{method} {path} HTTP/1.1",
                {"Host": "soak.example", "X-Catkintally-Attempt-Id": request.request,
                 "X-Catkintally-Deadline-Ms": str(max(1, int((deadline - now) * 1000))),
                 **access.fields}, body))
            async with asyncio.timeout(max(0.05, deadline - now + 0.5)):
                head = await http_text.read_head(reader)
                if head is None:
                    raise ConnectionError("closed")
                answer = await http_text.read_body(reader, head[1])
        except TimeoutError:
            await self.close()
            checks.losses.finished(request, End("limit", time.monotonic()))
            return "cut", 0.0
        except (OSError, asyncio.IncompleteReadError) as error:
            await self.close()
            how = "reset" if isinstance(error, ConnectionResetError) else "fin"
            checks.losses.finished(request, End(how, time.monotonic()))
            # An idle connection may end just as the request is sent; a run shows it was read.
            if request.request in checks.reached:
                checks.cut(request, self.instance.stopping)
            return "cut", 0.0
        line, fields = head
        status = int(line.split()[1])
        expected = [body_of(name, path, body) for name in service.split("|")]
        signature = fields.get("x-catkintally-upstream-signature")
        checks.answered(request, status, signature, answer, expected)
        checks.losses.finished(request, End("answer", time.monotonic(), own=signature is None))
        if status == 503:
            checks.retry_after.append(fields.get("retry-after"))
        if signature is not None and "server-limit" in fields:
            checks.limits.passed_on(signature, request.instance, time.monotonic())
        if signature is not None and fields.get("server-leaving") == "1":
            checks.passed_on_leaving(signature, request.instance, time.monotonic())
        if fields.get("connection", "").lower() == "close":
            await self.close()
        return status, float(fields.get("retry-after", "0"))


class PipeliningCaller:
    """Sends requests to one instance without waiting for answers, until the connection ends."""

    def __init__(self, world, number, instance, pick):
        self.world = world
        self.number = number
        self.instance = instance
        self.pick = pick
        self.sent = 0
        self.open = collections.deque()

    async def run(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.instance.front_port)
        except OSError:
            return
        reading = asyncio.create_task(self.read_answers(reader))
        try:
            while not reading.done():
                # There is always an answer outstanding, so that the connection is never idle.
                while len(self.open) < 4:
                    self.send(writer)
                await writer.drain()
                await asyncio.sleep(0.005)
        except OSError:
            # The instance has closed the connection.
            pass
        finally:
            writer.close()
        how, ended_at = await reading
        for request in self.open:
            if how is not None:
                self.world.checks.losses.finished(request, End(how, ended_at))
            if request.request in self.world.checks.reached:
                self.world.checks.cut(request, True)

    def send(self, writer):
        safe = self.sent % 2 == 0
        method, service, path, body = (("GET", "lookup", "/l/", b"") if safe else
                                       ("POST", "order", "/o/", b"late"))
        path += f"{self.number}-{self.sent}"
        self.sent += 1
        request = Request(f"{self.world.seed:04x}{self.number:04x}{self.sent:08x}",
                          self.instance.run_name, method, path, body, safe, service,
                          time.monotonic())
        request.missed = False
        request.caller, request.behind = f"PipeliningCaller-{self.number}", bool(self.open)
        request.timeout_s, request.deadline_s = TIMEOUT_S, self.pick.choice((0.3, 1.2, 5.0))
        self.world.checks.sent(request)
        access, _ = self.world.organisations.valid_access()
        self.world.checks.organisations.sent(request, access)
        self.open.append(request)
        writer.write(http_text.message(
            f"{method} {path} HTTP/1.1",
            {"Host": "soak.example", "X-Catkintally-Attempt-Id": request.request,
             "X-Catkintally-Deadline-Ms": str(int(request.deadline_s * 1000)),
             **access.fields}, body))

    async def read_answers(self, reader):
        """How the connection ended, and when; None after an answer that closes it."""
        try:
            while head := await http_text.read_head(reader):
                line, fields = head
                body = await http_text.read_body(reader, fields)
                request = self.open.popleft()
                self.world.checks.answered(
                    request, int(line.split()[1]), fields.get("x-catkintally-upstream-signature"),
                    body, [body_of(request.service, request.path, request.body)])
                own = "x-catkintally-upstream-signature" not in fields
                self.world.checks.losses.finished(
                    request, End("answer", time.monotonic(), own=own))
                if fields.get("connection", "").lower() == "close":
                    return None, None
            return "fin", time.monotonic()
        except (OSError, asyncio.IncompleteReadError) as error:
            # Whatever is still open has no answer.
            how = "reset" if isinstance(error, ConnectionResetError) else "fin"
            return how, time.monotonic()
