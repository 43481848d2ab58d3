"""Targets that run requests, register in the store and misbehave on command."""
import asyncio
import dataclasses
import hashlib
import time

from . import http_text
from .loss_check import ANSWERED, BROKE_OFF, REFUSED
from .proxy import Proxy, reset
from .work import timing_of


# A request on this path crashes each target that runs it.
CRASHING_PATH = "/l/crash"


def body_of(service, path, request_body):
    """What a target of `service` answers to a request; callers compare it."""
    digest = hashlib.sha256(path.encode() + b"|" + request_body).hexdigest()
    text = (service + ":" + digest * 8).encode()
    timing = timing_of(path)
    if timing is None:
        return text
    size = timing[1]
    return (text * (size // len(text) + 1))[:size]


@dataclasses.dataclass
class Repeated:
    """An earlier refusal that is sent once more before, beside or after an answer."""
    before: bytes = b""
    beside: bytes = b""
    after: bytes = b""


class Target:
    """One place at which incarnations of a target run, behind a proxy of its own."""

    def __init__(self, world, number, service, domain, slots=2, queue=4, proxied=True):
        self.world = world
        self.number = number
        self.service = service
        self.domain = domain
        self.slots = slots
        self.queue = queue
        self.service_s = 0.020
        self.slowdown = 1.0
        self.shed = 0.0
        self.lose = 0.0
        self.surplus = 0.0
        # Shares of the answers with which an earlier refusal is sent once more, and of those that
        # break off inside their head.
        self.stale = 0.0
        self.cut_head = 0.0
        # Requests a second from all instances together, named in each answer; None names nothing.
        self.limit = None
        # Says in all answers that it leaves.
        self.leaving = False
        # Turns all requests away, and asks for a pause of this length, in seconds.
        self.pause_s = 0.0
        self.arrived = 0
        self.up = False
        self.writers = set()
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)
        self.incarnation = 0
        self.sequence = 0
        self.state = "ready"
        self.cold_until = 0.0
        self.server = None
        # What is at work, by the port from which its connection comes.
        self.at_work = {}
        self.proxy = Proxy(0, self.instance_left) if proxied else None
        # Of a target without a proxy, the same for all incarnations.
        self.port = 0

    def instance_left(self, port, how):
        """An instance has ended a connection, by `fin` or `reset`."""
        work = self.at_work.get(port)
        if work is not None:
            self.world.log_connection(f"{self.name} lost its instance by {how} while it worked on "
                                      f"{work.request}")

    @property
    def name(self):
        return f"t{self.number}-{self.incarnation}"

    async def start(self, cold_s=0.0):
        self.incarnation += 1
        self.sequence = 0
        self.state = "ready"
        self.cold_until = time.monotonic() + cold_s
        self.free = asyncio.Semaphore(self.slots)
        self.running = self.waiting = 0
        # A new incarnation knows nothing of the limit of the last one.
        self.limit = None
        self.leaving = False
        self.pause_s = 0.0
        self.server = await self.listen(0 if self.proxy else self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        if self.proxy:
            self.proxy.target_port = self.port
            await self.proxy.start()
            self.port = self.proxy.port
        self.up = True
        await self.report()

    async def listen(self, port):
        try:
            return await asyncio.start_server(self.serve, "127.0.0.1", port)
        except OSError:
            # An outgoing connection has taken the port of the last incarnation meanwhile.
            return await asyncio.start_server(self.serve, "127.0.0.1", 0)

    async def report(self):
        """Writes the registration; True once the store has accepted it."""
        self.sequence += 1
        left = max(0, int((self.cold_until - time.monotonic()) * 1000))
        return await self.world.store(
            "servers", self.name,
            {"address": f"127.0.0.1:{self.port}", "born": self.incarnation,
             "info": {"service": self.service, "version": "v1", "zone": self.domain,
                      "concurrency": self.slots},
             "status": {"state": self.state, "sequence": self.sequence, "warmup-left-ms": left}})

    async def report_until_accepted(self):
        while self.up and not await self.report():
            await asyncio.sleep(0.1)

    def crash(self):
        """Ends at once; connections are reset."""
        self.up = False
        self.world.checks.losses.broke_off(self.name, time.monotonic())
        self.at_work.clear()
        self.server.close()
        if self.proxy:
            self.proxy.close()
        for writer in list(self.writers):
            reset(writer)

    async def remove(self):
        """Takes the registration of this incarnation back, as the platform does after silence."""
        await self.world.remove_until_gone("servers", self.name)

    async def leave(self):
        """Drains: reports it, serves on for a while, and ends."""
        self.state = "draining"
        await self.report_until_accepted()
        self.world.checks.draining(self.name, time.monotonic())
        await asyncio.sleep(3.5)
        if self.up:
            self.crash()
            await self.remove()

    async def leave_unlisted(self):
        """Takes its registration back without a farewell, serves on for a while, and ends."""
        await self.remove()
        self.world.checks.draining(self.name, time.monotonic())
        await asyncio.sleep(3.5)
        if self.up:
            self.crash()

    def load(self):
        return f"{self.running},{self.waiting},{self.slots},{int(self.slowdown * 100)}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        surplus = refusal = b""
        try:
            while head := await http_text.read_head(reader):
                line, fields = head
                body = await http_text.read_body(reader, fields)
                # A surplus answer to the last request arrives where the next one is due.
                writer.write(surplus)
                surplus = b""
                method, path, _ = line.split(" ")
                if path == "/healthz":
                    writer.write(self.health())
                else:
                    stale = self.repeated(refusal, fields)
                    if stale.before:
                        writer.write(stale.before)
                        await writer.drain()
                    losses = self.world.checks.losses
                    work = losses.began(self.name, fields.get("x-catkintally-attempt-id", ""),
                                        time.monotonic())
                    port = writer.get_extra_info("peername")[1]
                    self.at_work[port] = work
                    answer = await self.answer(method, path, fields, body)
                    if not self.proxy and reader.exception() is not None:
                        self.instance_left(port, "reset")
                    elif not self.proxy and reader.at_eof():
                        self.instance_left(port, "fin")
                    self.at_work.pop(port, None)
                    if answer is None:
                        losses.worked(work, BROKE_OFF, time.monotonic())
                        reset(writer)
                        return
                    if self.world.chance(self.cut_head):
                        losses.worked(work, BROKE_OFF, time.monotonic())
                        end = self.world.random.randrange(answer.index(b"\r\n\r\n") + 4)
                        writer.write(answer[:end])
                        await writer.drain()
                        if self.world.chance(0.5):
                            reset(writer)
                        return
                    refused = http_text.is_refusal(answer) or b" 421 " in answer[:16]
                    losses.worked(work, REFUSED if refused else ANSWERED, time.monotonic())
                    if http_text.is_refusal(answer):
                        refusal = answer
                        writer.write(answer)
                    else:
                        writer.write(stale.beside + answer + stale.after)
                    if self.world.chance(self.surplus):
                        surplus = answer
                await writer.drain()
        except OSError:
            # The caller of this target went away; what it had running has been recorded.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def repeated(self, refusal, fields):
        """Where an earlier refusal is sent once more, and with which id."""
        if not refusal or not self.world.chance(self.stale):
            return Repeated()
        place = self.world.random.choice(("before", "beside", "after"))
        own = fields.get("x-catkintally-attempt-id", "")
        # Before the answer a refusal with the present id is a true one for every reader.
        ids = ("earlier", "none") if place == "before" else ("earlier", "none", "present")
        kind = self.world.random.choice(ids)
        if kind != "earlier":
            refusal = http_text.with_field(
                refusal, "X-Catkintally-Attempt-Id", own if kind == "present" else None)
        return Repeated(**{place: refusal})

    def health(self):
        ready = self.state == "ready"
        fields = {"X-Catkintally-Instance-Id": self.name,
                  "X-Catkintally-Upstream-Load": self.load()}
        self.say_leaving(fields)
        left = int((self.cold_until - time.monotonic()) * 1000)
        if left > 0:
            fields["X-Catkintally-Warmup-Ms"] = str(left)
        return http_text.message(
            "HTTP/1.1 200 OK" if ready else "HTTP/1.1 503 Service Unavailable", fields)

    def say_leaving(self, marks):
        if self.leaving or self.state == "draining":
            marks["Server-Leaving"] = "1"

    def name_limit(self, marks):
        marks.pop("Server-Limit", None)
        if self.limit is not None:
            # A text is named as it is, for malformed limits.
            marks["Server-Limit"] = (
                self.limit if isinstance(self.limit, str) else f"{self.limit:g}")

    def set_limit(self, limit):
        """Names another limit from now on; None withdraws it."""
        self.limit = limit
        if not isinstance(limit, str):
            self.world.checks.limits.named(self.name, limit, time.monotonic())

    async def answer(self, method, path, fields, body):
        """Bytes of the answer; None loses it."""
        request = fields.get("x-catkintally-attempt-id", "")
        marks = {"X-Catkintally-Attempt-Id": request, "X-Catkintally-Upstream-Load": self.load()}
        self.name_limit(marks)
        self.say_leaving(marks)
        if fields.get("x-catkintally-expect-instance", self.name) != self.name:
            return http_text.message("HTTP/1.1 421 Misdirected Request", marks)
        self.arrived += 1
        checks = self.world.checks
        checks.arrived(self, request, time.monotonic())
        known = checks.requests.get(request)
        checks.organisations.arrived(
            self.name, request, known.instance if known else "", fields, time.monotonic())
        if self.pause_s:
            marks["X-Catkintally-Not-Executed"] = "1"
            marks["Retry-After"] = f"{self.pause_s:.1f}"
            self.world.checks.turned_away(self.name, request, time.monotonic(), self.pause_s)
            return http_text.message("HTTP/1.1 503 Service Unavailable", marks)
        if self.waiting >= self.queue or self.world.chance(self.shed):
            marks["X-Catkintally-Not-Executed"] = "1"
            return http_text.message("HTTP/1.1 503 Service Unavailable", marks)
        incarnation = self.incarnation
        self.waiting += 1
        async with self.free:
            if incarnation != self.incarnation or not self.up:
                return None
            self.waiting -= 1
            self.running += 1
            self.world.checks.ran(self, request, method, path, body)
            if path.startswith(CRASHING_PATH):
                self.crash()
                self.world.revive(self)
                return None
            timing = timing_of(path)
            await asyncio.sleep((timing[0] if timing else self.service_s) * self.slowdown)
            if incarnation == self.incarnation:
                self.running -= 1
        if not self.up or incarnation != self.incarnation or self.world.chance(self.lose):
            return None
        marks["X-Catkintally-Upstream-Signature"] = self.name
        marks["X-Catkintally-Upstream-Load"] = self.load()
        self.name_limit(marks)
        self.say_leaving(marks)
        return http_text.message("HTTP/1.1 200 OK", marks, body_of(self.service, path, body))
