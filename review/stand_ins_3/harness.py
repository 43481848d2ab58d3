"""Stand-ins for the platform, upstreams and clients, and the start of entry instances.

Everything runs on loopback addresses. The store and the upstreams follow the users' protocol page;
upstreams are objects of this process that can crash in several ways.
"""
import asyncio
import contextlib
import itertools
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {"seed-lag-s": 3, "reuse-delay-s": 2, "contact-ms": 3000, "ack-timeout-ms": 4000, "catch-up-s": 4,
          "drain-timeout-ms": 2000, "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 2000,
          "rollback-slack-ms": 250, "max-stretch-ms": 5000, "retry-budget-ratio": 0.2, "retry-window-s": 10,
          "budget-slack": 56, "warmup-overshoot": 1.5, "warmup-tolerance": 5, "evacuation-ms": 5000,
          "recovery-s": 15, "probes-per-s": 60}
CONTACT_S = BOUNDS["contact-ms"] / 1000
HEARTBEAT_S = 1.5
# A case that takes longer is stopped.
MOST_S = 115
STORE_ANSWER_S = 0.004


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# Ports below those that systems usually give to outgoing connections, which could take one meanwhile. Scripts that run
# beside each other begin at different places.
ports = itertools.cycle(12000 + (os.getpid() * 64 + offset) % 20000 for offset in range(20000))


def free_port():
    for port in itertools.islice(ports, 1000):
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port
    raise RuntimeError("no free port")


def reset(writer):
    """Closes a connection with a reset."""
    with contextlib.suppress(OSError, AttributeError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_message(reader):
    """Start line, header fields (lower case) and body of one HTTP message; None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                break
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return lines[0], fields, body


class Store:
    """The platform's store: objects by kind and name, lists in pages, and watches."""

    def __init__(self):
        self.revision = 1
        self.kinds = {}
        self.events = []
        self.changed = asyncio.Condition()
        self.port = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    async def put(self, kind, name, spec):
        known = self.kinds.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return
        self.revision += 1
        created = known["metadata"]["created"] if known else self.revision
        entry = {"metadata": {"name": name, "revision": self.revision, "created": created, "finalizers": [],
                              "deleting": False}, "spec": spec, "status": None}
        self.kinds[kind][name] = entry
        await self.note(kind, entry, False)

    async def delete(self, kind, name):
        entry = self.kinds.get(kind, {}).pop(name, None)
        if entry is None:
            return
        self.revision += 1
        entry = dict(entry, metadata=dict(entry["metadata"], revision=self.revision))
        await self.note(kind, entry, True)

    async def note(self, kind, entry, deleted):
        self.events.append((self.revision, kind, {"object": entry, "deleted": deleted}))
        async with self.changed:
            self.changed.notify_all()

    def events_after(self, kind, revision):
        return [event for at, of, event in self.events if of == kind and at > revision]

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ")
                status, body = await self.answer(method, target)
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        writer.close()

    async def answer(self, method, target):
        await asyncio.sleep(STORE_ANSWER_S)
        path, _, query = target.partition("?")
        options = dict(part.partition("=")[::2] for part in query.split("&") if part)
        parts = path.split("/")[3:]
        if method != "GET":
            return 503, {}
        if len(parts) == 2:
            entry = self.kinds.get(parts[0], {}).get(parts[1])
            return (200, entry) if entry else (404, {})
        if "watch" in options:
            since, until = int(options["watch"]), time.monotonic() + int(options.get("wait-ms", 0)) / 1000
            while not self.events_after(parts[0], since) and time.monotonic() < until:
                async with self.changed:
                    with contextlib.suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), max(0.001, until - time.monotonic()))
            return 200, {"events": self.events_after(parts[0], since), "store-revision": self.revision}
        names = sorted(name for name in self.kinds.get(parts[0], {}) if name > options.get("after", ""))
        items = [self.kinds[parts[0]][name] for name in names[:500]]
        return 200, {"items": items, "more": len(names) > 500, "store-revision": self.revision}


class Upstream:
    """One place at which incarnations of an upstream run."""

    starts = 0

    def __init__(self, store, record, service, zone, slots=3, work_s=0.02):
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.slots, self.work_s = slots, work_s
        self.port = free_port()
        self.up = False
        self.dark = False
        self.runs = []
        self.on_run = None
        self.name = None

    async def start(self, name=None, clock_ahead_s=0.0):
        """`name`: the id of an earlier incarnation; `clock_ahead_s`: how far its time of day is off."""
        Upstream.starts += 1
        self.name = name or f"i-{Upstream.starts:08x}"
        self.born = int((time.time() + clock_ahead_s) * 1000)
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)
        self.writers = set()
        self.fillers = []
        self.dark = False
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.port))
        self.server = await asyncio.start_server(self.serve, sock=self.listener)
        self.up = True
        self.beating = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def report(self):
        """Writes the entry; the store changes it when more than the sequence differs."""
        self.sequence += 1
        entry = {"address": f"127.0.0.1:{self.port}", "born": self.born,
                 "info": {"service": self.service, "version": "v1", "zone": self.zone, "concurrency": self.slots},
                 "status": {"state": self.state, "sequence": self.sequence, "warmup-left-ms": 0}}
        known = self.store.kinds.get("servers", {}).get(self.name)
        if known is not None:
            status = dict(known["spec"]["status"], sequence=self.sequence)
            if dict(known["spec"], status=status) == entry:
                return
        await self.store.put("servers", self.name, entry)

    async def drain(self):
        """Reports that it leaves; returns when the store has accepted that."""
        self.state = "draining"
        await self.report()

    async def lapse(self, name):
        await asyncio.sleep(3 * HEARTBEAT_S)
        if not (self.up and self.name == name):
            await self.store.delete("servers", name)

    def end_beats(self):
        self.up = False
        self.beating.cancel()
        self.lapsing = asyncio.create_task(self.lapse(self.name))

    def crash(self):
        """The process ends: connections are reset and new ones are refused."""
        self.end_beats()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def lose_power(self):
        """The machine goes dark: open connections hang, and packets of new ones are dropped."""
        self.dark = True
        self.end_beats()
        asyncio.get_running_loop().remove_reader(self.listener.fileno())
        self.listener.listen(0)
        # A full queue of connections drops the first packet of each further one.
        for _ in range(8):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(("127.0.0.1", self.port))
            self.fillers.append(filler)

    async def power_back(self):
        """The machine is back with a new incarnation."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        for filler in self.fillers:
            filler.close()
        self.listener.close()
        await asyncio.sleep(0.05)
        await self.start()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None and not self.dark:
                await self.answer(message, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            if not self.dark:
                self.writers.discard(writer)
                writer.close()

    def load(self):
        return f"X-Catkintally-Upstream-Load: {self.running},{self.waiting},{self.slots}\r\n"

    async def answer(self, message, writer):
        line, fields, body = message
        method, path, _ = line.split(" ")
        own = f"X-Catkintally-Instance-Id: {self.name}\r\n" + self.load()
        if path == "/healthz":
            writer.write(f"HTTP/1.1 200 OK\r\n{own}Content-Length: 0\r\n\r\n".encode())
            return
        attempt = fields.get("x-catkintally-attempt-id", "")
        echo = f"X-Catkintally-Attempt-Id: {attempt}\r\n"
        expected = fields.get("x-catkintally-expect-instance")
        if expected is not None and expected != self.name:
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\n{own}{echo}Content-Length: 0\r\n\r\n".encode())
            return
        if self.waiting >= 4 * self.slots:
            writer.write(f"HTTP/1.1 503 Full\r\nX-Catkintally-Not-Executed: 1\r\n{own}{echo}"
                         "Content-Length: 0\r\n\r\n".encode())
            return
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            if self.dark or not self.up:
                return
            self.running += 1
            self.runs.append((self.record.now(), self.name, attempt, method, path))
            self.record.write(f"run      {self.service} {self.name} {method} {path} attempt={attempt}")
            try:
                if self.on_run is not None:
                    await self.on_run(self, path, attempt)
                    if self.dark or not self.up:
                        return
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
        if self.dark or not self.up:
            return
        text = f"{self.service}:{path}:{len(body)}".encode()
        writer.write(f"HTTP/1.1 200 OK\r\n{echo}{self.load()}X-Catkintally-Upstream-Signature: s.{self.name}.{attempt}"
                     f"\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
        await writer.drain()


class Instance:
    """One entry instance, run with the command of the deploy file and its settings template."""

    def __init__(self, record, folder, number, zone, store_port):
        self.record, self.zone, self.number = record, zone, number
        self.name = f"edge-{zone}-{number}"
        self.store_port = store_port
        self.frontend, self.readiness, self.control = free_port(), free_port(), free_port()
        self.metrics = free_port()
        self.settings = Path(folder) / f"{self.name}.ini"
        self.log = Path(folder) / f"{self.name}.log"
        self.process = None

    def write_settings(self, seeds):
        values = {"node-name": self.name, "zone": self.zone, "limits.memory-mb": "260",
                  "listen.frontend": f"127.0.0.1:{self.frontend}", "listen.control-plane": f"127.0.0.1:{self.control}",
                  "seed-nodes": ",".join(seeds), "listen.readiness": f"127.0.0.1:{self.readiness}",
                  "platform.address": f"127.0.0.1:{self.store_port}", "bounds": json.dumps(BOUNDS)}
        template = (ROOT / "platform/settings.ini.template").read_text(encoding="utf-8")
        # All instances share one address here, so that the fixed port of the metrics would clash.
        template = template.replace("{{ip}}:9464", f"127.0.0.1:{self.metrics}")
        self.settings.write_text(re.sub(r"\{\{([^}]+)\}\}", lambda found: values[found[1]], template),
                                 encoding="utf-8")

    async def start(self):
        command = re.search(r'^run = "([^"]+)"', (ROOT / "deploy/system.toml").read_text(encoding="utf-8"), re.M)[1]
        program, *arguments = command.split(" ")
        arguments = [str(self.settings) if each.startswith("/etc/") else each for each in arguments]
        environment = {"PATH": os.environ["PATH"], "CATKINTALLY_INSTANCE_LINK_MBPS": "1000",
                       "CATKINTALLY_SETTINGS": str(self.settings)}
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(ROOT / program), *arguments, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.record.write(f"start    {self.name} pid {self.process.pid}")

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.readiness)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in answer
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=10):
        until = time.monotonic() + limit_s
        while not await self.ready():
            if time.monotonic() > until:
                last = self.log.read_text(encoding="utf-8", errors="replace").splitlines()[-1:]
                raise RuntimeError(f"{self.name} is not ready: ended with {self.process.returncode}, {last}")
            await asyncio.sleep(0.1)

    def send(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.send(signal.SIGKILL)
        await self.process.wait()
        self.record.write(f"killed   {self.name}")


def configuration(version, routes, services):
    """`routes`: (host, prefix, type, service, timeout_ms, target_ms, attempts)."""
    hosts = {}
    for number, (host, prefix, kind, service, timeout, aim, attempts) in enumerate(routes):
        hosts.setdefault(host, []).append(
            {"name": f"r-{number}", "route-type": kind, "target-latency-ms": aim, "priority": 1,
             "match": {"path-prefix": prefix},
             "action": {"service": service, "timeout-ms": timeout, "max-attempts": attempts}})
    return {"version": f"{version:08x}",
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000},
            "listeners": [{"host": host, "rules": rules} for host, rules in hosts.items()],
            "clusters": [{"name": name, "health-path": "/healthz", "max-connections": 220, "protocol": "h1",
                          "tls": False, "warmup-s": 3.0, "warmup-per-s": 4.6} for name in services]}


attempts_made = 0


async def request(record, instance, method, host, path, body=b"", deadline_ms=1200, label="client"):
    """One client attempt on a new connection: (status or None, header fields, body)."""
    global attempts_made
    attempts_made += 1
    attempt = f"{attempts_made:016x}"
    head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Catkintally-Attempt-Id: {attempt}\r\n"
            f"X-Catkintally-Deadline-Ms: {deadline_ms}\r\n")
    if method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    record.write(f"sent     {label} {instance.name} {method} {path} attempt={attempt}")
    answer = None
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", instance.frontend), 1)
        writer.write(head.encode() + b"\r\n" + body)
        answer = await asyncio.wait_for(read_message(reader), deadline_ms / 1000 + 0.3)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    status = int(answer[0].split(" ")[1]) if answer else None
    record.write(f"answered {label} attempt={attempt} status={status}")
    return attempt, status, (answer[1] if answer else {}), (answer[2] if answer else b"")


@contextlib.asynccontextmanager
async def deployment(folder, zones, services):
    """Store, upstreams and instances of a small deployment. `zones`: zone of each instance; `services`:
    name and zones of the upstreams."""
    record = Record(folder)
    with tempfile.TemporaryDirectory() as place:
        store = Store()
        await store.start()
        upstreams = [Upstream(store, record, name, zone) for name, of in services.items() for zone in of]
        instances = [Instance(record, place, number, zone, store.port) for number, zone in enumerate(zones)]
        seeds = [f"127.0.0.1:{each.control}" for each in instances[:3]]
        try:
            for each in upstreams:
                await each.start()
            for each in instances:
                each.write_settings(seeds)
            yield record, store, upstreams, instances
        finally:
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
            for each in instances:
                if each.process is not None and each.process.returncode is None:
                    each.process.kill()
                    await each.process.wait()
            if os.environ.get("KEEP_LOGS"):
                for each in instances:
                    if each.log.exists():
                        (Path(os.environ["KEEP_LOGS"]) / each.log.name).write_bytes(each.log.read_bytes())


async def start_all(instances):
    """Starts the instances and waits until all are ready and in touch."""
    for each in instances:
        await each.start()
    for each in instances:
        await each.wait_ready()
    await asyncio.sleep(CONTACT_S + 1)


def late_retries(runs, crashes):
    """Attempts that reached an upstream later than the contact time after the third crash."""
    return {attempt for at, attempt in runs if len(crashes) >= 3 and at > crashes[2] + CONTACT_S}


def run_case(case, folder):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

    async def bounded():
        # A case that is stopped from outside ends its processes, too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(case(folder), MOST_S)

    try:
        sys.exit(asyncio.run(bounded()))
    except (RuntimeError, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
