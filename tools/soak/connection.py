"""One connection of a caller, on a raw socket so that the caller decides when it reads and sends."""
import asyncio
import collections
import socket
import time

from . import http_text
from .loss_check import OVERDUE_S, End
from .targets import body_of

# The caller's own limit ends this much later than the promise, so that an answer in time is read.
LIMIT_SLACK_S = 0.3
# A process whose connections end is gone this soon, if they end with it.
EXIT_S = 0.05
CONNECT_S = 1.0


class Connection:
    """Sends requests and reads their answers in order. Tells the checks how each request ended."""

    def __init__(self, world, instance, caller):
        self.world = world
        self.instance = instance
        self.caller = caller
        self.run = instance.run_name
        self.process = instance.process
        self.socket = None
        # Requests without a whole answer, in the order of sending.
        self.open = collections.deque()
        # When the first of them became the first.
        self.front_since = 0.0
        self.received = bytearray()
        # An answer said `Connection: close`.
        self.closing = False
        # How the connection ended: fin, reset or limit; None while it is open.
        self.how = None
        self.was_reset = False
        self.may_send_body = asyncio.Event()
        # The caller sets itself no time limit.
        self.patient = False

    async def connect(self, receive_buffer=None):
        """True once connected."""
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        try:
            async with asyncio.timeout(CONNECT_S):
                await asyncio.get_running_loop().sock_connect(
                    self.socket, ("127.0.0.1", self.instance.front_port))
            return True
        except OSError:
            self.close()
            return False

    def close(self):
        if self.socket is not None:
            self.socket.close()

    def begin(self, request):
        """The request is about to be sent; its first byte counts as its beginning."""
        request.instance = self.run
        request.caller = self.caller
        request.behind = bool(self.open) or self.closing
        request.last_byte_at = None
        if self.closing:
            self.world.checks.losses.after_close.add(request.request)
        self.world.checks.sent(request)
        self.open.append(request)

    async def send(self, request, data, last=True):
        """Sends bytes of a request; False if the connection has ended."""
        try:
            await asyncio.get_running_loop().sock_sendall(self.socket, data)
        except OSError:
            # Sending fails after a reset only, which reading reports no second time.
            self.was_reset = True
            return False
        if last:
            request.last_byte_at = time.monotonic()
        return True

    async def send_whole(self, request, extra=()):
        self.begin(request)
        return await self.send(request, head_of(request, extra) + request.body)

    def half_close(self):
        """Ends the sending side only."""
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            # The connection has ended already.
            pass

    async def receive(self, size=65536):
        """Reads once; False at the end of the connection or of the caller's patience."""
        loop = asyncio.get_running_loop()
        while True:
            limit = self.limit_of(self.open[0]) if self.open else None
            try:
                async with asyncio.timeout_at(limit):
                    data = await loop.sock_recv(self.socket, size)
            except TimeoutError:
                # The last byte of the request may have been sent meanwhile.
                if self.open and self.limit_of(self.open[0]) > loop.time():
                    continue
                self.how = "limit"
                return False
            except OSError:
                self.how = "reset"
                return False
            if not data:
                self.how = "reset" if self.was_reset else "fin"
                return False
            self.received += data
            return True

    def limit_of(self, request):
        """When the caller gives up, on the loop's clock."""
        if self.patient:
            return None
        # Time begins for the instance when it has read all of the request, and it reads no further
        # while many requests of a connection are unanswered.
        now = time.monotonic()
        begin = request.last_byte_at or now
        if request.behind:
            begin = max(begin, self.front_since)
        left = begin + request.deadline_s + OVERDUE_S + LIMIT_SLACK_S - now
        return asyncio.get_running_loop().time() + max(0.0, left)

    def has_ended(self):
        """True if the instance has ended the connection."""
        try:
            return not self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    async def read_answers(self, until_close=False, until_answered=False):
        """Reads until the connection ends, until an answer that closes it if `until_close`, or until
        no answer is due if `until_answered`."""
        while True:
            if (self.take_answers() and until_close) or (until_answered and not self.open):
                return
            if not await self.receive():
                await self.note_end()
                return

    def take_answers(self):
        """Handles the whole answers that were read; True if one closes the connection."""
        while (end := self.received.find(b"\r\n\r\n")) >= 0:
            lines = self.received[:end].decode("latin-1").split("\r\n")
            fields = {name.strip().lower(): value.strip() for name, _, value in
                      (line.partition(":") for line in lines[1:])}
            status = int(lines[0].split()[1])
            if status < 200:
                del self.received[:end + 4]
                self.may_send_body.set()
                continue
            length = int(fields.get("content-length", "0"))
            if len(self.received) < end + 4 + length:
                break
            body = bytes(self.received[end + 4:end + 4 + length])
            del self.received[:end + 4 + length]
            if fields.get("connection", "").lower() == "close":
                self.closing = True
            self.answered(status, fields, body)
        return self.closing

    def answered(self, status, fields, body):
        if not self.open:
            self.world.checks.broken("mixed", f"{self.run} answered {status} with no request waiting")
            return
        request = self.open.popleft()
        self.front_since = time.monotonic()
        signature = fields.get("x-catkintally-upstream-signature")
        self.world.checks.answered(request, status, signature, body,
                                   [body_of(request.service, request.path, request.body)])
        self.world.checks.losses.finished(
            request, End("answer", time.monotonic(), own=signature is None))

    async def note_end(self):
        """Tells the checks of every request that is left, and logs how the connection ended."""
        ended_at = time.monotonic()
        if self.how != "limit":
            await asyncio.sleep(EXIT_S)
        gone = self.process.poll() is not None
        for number, request in enumerate(self.open):
            # Those behind one whose caller gave up were given up with it.
            if self.how != "limit" or number == 0:
                self.world.checks.losses.finished(
                    request, End(self.how, ended_at, process_gone=gone))
        self.world.log_connection(
            f"{self.caller} at {self.run}: {self.how}{', process gone' if gone else ''}, "
            f"{len(self.received)} bytes of an answer, "
            f"without answer: {' '.join(each.request for each in self.open) or 'none'}")


def head_of(request, extra=()):
    fields = {"Host": "soak.example", "X-Catkintally-Attempt-Id": request.request,
              "X-Catkintally-Deadline-Ms": str(max(1, int(request.deadline_s * 1000)))}
    fields.update(extra)
    return http_text.message(f"{request.method} {request.path} HTTP/1.1", fields, request.body)[
        :-len(request.body) or None]
