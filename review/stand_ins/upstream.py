"""Stand-in for an upstream server."""
import asyncio
import hashlib
import socket
import struct
import time


def reset(writer):
    """Ends a connection by a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_head(reader):
    """Start line and fields, with lower-case names; None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Upstream:
    """Registers itself, answers health checks and runs requests; `run` may be replaced."""

    def __init__(self, log, name, service, zone, slots=2, work_s=0.05):
        self.log, self.name, self.service, self.zone = log, name, service, zone
        self.slots, self.work_s = slots, work_s
        self.running = 0
        self.state = "ready"
        self.free = asyncio.Semaphore(slots)
        self.born = int(time.time() * 1000)
        self.ran = []
        self.server = None
        self.address = None
        self.cold_until = 0.0

    async def start(self, host, platform):
        self.server = await asyncio.start_server(self.serve, host, 0, limit=1 << 22)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        await self.register(platform)

    async def register(self, platform):
        await platform.put("servers", self.name, {
            "address": self.address, "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.zone,
                     "concurrency": self.slots},
            "status": {"state": self.state, "sequence": 1, "warmup-left-ms": self.cold_ms()}})

    def cold_ms(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def marks(self, fields):
        return ("X-Catkintally-Attempt-Id: %s\r\nX-Catkintally-Upstream-Load: %d,0,%d,100\r\n"
                % (fields.get("x-catkintally-attempt-id", ""), self.running, self.slots)).encode()

    def body(self, path, request_body):
        digest = hashlib.sha256(path.encode() + b"|" + request_body).hexdigest()
        return (self.name + ":" + digest + "\n").encode()

    def message(self, status, fields, body, signed=True, extra=b""):
        signature = b"X-Catkintally-Upstream-Signature: %s\r\n" % self.name.encode() if signed else b""
        return (b"HTTP/1.1 %s\r\n" % status.encode() + self.marks(fields) + signature + extra
                + b"Content-Length: %d\r\n\r\n" % len(body) + body)

    async def run(self, method, path, fields, body, writer):
        """Runs one request and writes its answer; returns False to end the connection."""
        await asyncio.sleep(self.work_s)
        writer.write(self.message("200 OK", fields, self.body(path, body)))
        return True

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                line, fields = head
                method, path, _ = line.split(" ")
                if path == "/healthz":
                    ready = b"200 OK" if self.state == "ready" else b"503 Service Unavailable"
                    cold = b"X-Catkintally-Warmup-Ms: %d\r\n" % self.cold_ms()
                    writer.write(b"HTTP/1.1 %s\r\nX-Catkintally-Instance-Id: %s\r\n%s"
                                 b"X-Catkintally-Upstream-Load: %d,0,%d,100\r\n"
                                 b"Content-Length: 0\r\n\r\n"
                                 % (ready, self.name.encode(), cold if self.cold_ms() else b"",
                                    self.running, self.slots))
                    await writer.drain()
                    continue
                body = await read_body(reader, fields)
                if fields.get("x-catkintally-expect-instance", self.name) != self.name:
                    writer.write(self.message("421 Misdirected Request", fields, b"", signed=False))
                    continue
                if self.running >= self.slots:
                    writer.write(self.message("503 Service Unavailable", fields, b"", signed=False,
                                              extra=b"X-Catkintally-Not-Executed: 1\r\n"))
                    continue
                self.running += 1
                attempt = fields.get("x-catkintally-attempt-id", "")
                self.ran.append(attempt)
                self.log("upstream %s runs %s %s %s" % (self.name, attempt, method, path))
                try:
                    if not await self.run(method, path, fields, body, writer):
                        return
                finally:
                    self.running -= 1
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()
