"""A small deployment on loopback for the scripts of the second review.

Instances of catkintally run as processes of their own, with the command of the deploy file and the
settings of platform/settings.ini.template. The platform's store, the upstreams and the clients are
stand-ins in this process and do what the users' PROTOCOL page says.
"""
import asyncio
import contextlib
import itertools
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
BOUNDS = {
    "seed-lag-s": 3, "reuse-delay-s": 2, "contact-ms": 3000, "ack-timeout-ms": 4000,
    "catch-up-s": 4, "drain-timeout-ms": 2000, "grace-s": 6, "loss-slack-ms": 200,
    "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000,
    "retry-budget-ratio": 0.2, "retry-window-s": 10, "budget-slack": 56, "warmup-overshoot": 1.5,
    "warmup-tolerance": 5, "evacuation-ms": 5000, "recovery-s": 15, "probes-per-s": 60}


class Record:
    """What was sent, answered and run, written to record.txt line by line."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


def http_answer(status, body=b"", fields=(), length=True):
    head = f"HTTP/1.1 {status} Status\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields)
    if length:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


async def read_message(reader):
    """First line, fields (lower case) and body of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in rest:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return first, fields, body


def reset(writer):
    """Resets a connection, as the system of a process that has crashed does."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store: lists, watches, and writes of the operator and the upstreams."""

    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.events = []
        # Set at the next change, and replaced by a new one then.
        self.changed = asyncio.Event()
        self.server = None

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def put(self, kind, name, spec, status=None):
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision, "created": 1,
                             "finalizers": [], "deleting": False},
                "spec": spec, "status": status}
        self.objects[(kind, name)] = item
        await self.tell(kind, item, False)

    async def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            item = {**item, "metadata": {**item["metadata"], "revision": self.revision}}
            await self.tell(kind, item, True)

    async def tell(self, kind, item, deleted):
        self.events.append((self.revision, kind, {"object": item, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    def since(self, kind, revision):
        return [event for at, each, event in self.events if each == kind and at > revision]

    async def serve(self, reader, writer):
        with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while message := await read_message(reader):
                method, target, _ = message[0].split(" ")
                status, body = await self.answer(method, target)
                fields = [("Content-Type", "application/json")]
                writer.write(http_answer(status, json.dumps(body).encode(), fields))
                await writer.drain()
        writer.close()

    async def answer(self, method, target):
        path, _, query = target.partition("?")
        asked = {name: values[0] for name, values in urllib.parse.parse_qs(query).items()}
        parts = path.removeprefix("/v1/objects/").split("/")
        await asyncio.sleep(0.004)
        if method != "GET":
            return 404, {}
        if len(parts) > 1:
            item = self.objects.get((parts[0], parts[1]))
            return (200, item) if item else (404, {})
        kind = parts[0]
        if "watch" in asked:
            revision = int(asked["watch"])
            end = time.monotonic() + int(asked.get("wait-ms", "0")) / 1000
            while not self.since(kind, revision) and time.monotonic() < end:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(
                        self.changed.wait(), max(0.001, end - time.monotonic()))
            return 200, {"events": self.since(kind, revision), "store-revision": self.revision}
        names = sorted(name for each, name in self.objects if each == kind)
        names = [name for name in names if name > asked.get("after", "")]
        return 200, {"items": [self.objects[(kind, name)] for name in names[:500]],
                     "more": len(names) > 500, "store-revision": self.revision}


class Upstream:
    """One place at which incarnations of an upstream run, at one address."""

    def __init__(self, world, service, zone, slots, work_s, keep_id=False):
        self.world = world
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.keep_id = keep_id
        self.id = ""
        self.port = 0
        self.server = None
        self.writers = set()
        self.tasks = set()
        self.up = False

    async def start(self, warmup_s=0.0):
        if not (self.keep_id and self.id):
            self.id = f"i-{random.getrandbits(40):010x}"
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)
        self.cold_until = time.monotonic() + warmup_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.server = await asyncio.start_server(self.serve, self.world.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.up = True
        await self.report()

    def warmup_ms(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    async def report(self):
        self.sequence += 1
        await self.world.store.put("servers", self.id, {
            "address": f"{self.world.host}:{self.port}", "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.zone,
                     "concurrency": self.slots},
            "status": {"state": self.state, "sequence": self.sequence,
                       "warmup-left-ms": self.warmup_ms()}})

    def crash(self, down_s=2.0):
        """Ends at once; the upstream is back after `down_s`, cold."""
        self.up = False
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()
        for task in self.tasks - {asyncio.current_task()}:
            task.cancel()
        self.world.later(self.restart(self.id, down_s))

    async def restart(self, old_id, down_s):
        await asyncio.sleep(down_s)
        await self.start(self.world.warmup_s)
        if old_id != self.id:
            # The entry of the old incarnation goes after three heartbeat intervals of silence.
            await asyncio.sleep(max(0.0, 3 * HEARTBEAT_S - down_s))
            await self.world.store.remove("servers", old_id)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while message := await read_message(reader):
                answer = await self.answer(*message)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    def load(self):
        return ("X-Catkintally-Upstream-Load", f"{self.running},{self.waiting},{self.slots},100")

    async def answer(self, line, fields, body):
        method, path, _ = line.split(" ")
        if path == "/healthz":
            state = [("X-Catkintally-Instance-Id", self.id), self.load()]
            if self.warmup_ms():
                state.append(("X-Catkintally-Warmup-Ms", self.warmup_ms()))
            return http_answer(200, b"ok", state)
        attempt = fields.get("x-catkintally-attempt-id", "")
        echo = [("X-Catkintally-Attempt-Id", attempt)]
        if fields.get("x-catkintally-expect-instance", self.id) != self.id:
            return http_answer(421, b"", echo + [("X-Catkintally-Instance-Id", self.id)])
        if self.waiting >= 4:
            return http_answer(503, b"", echo + [("X-Catkintally-Not-Executed", 1), self.load()])
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            try:
                self.world.began(self, attempt, method, path, fields, body)
                await asyncio.sleep(self.work_s)
                if self.world.crashes(path, fields, body):
                    self.world.crashed(self, attempt)
                    self.crash()
                    return None
                self.world.finished(self, attempt)
            finally:
                self.running -= 1
        signature = ("X-Catkintally-Upstream-Signature", f"{self.id}.{attempt}")
        return http_answer(200, f"{self.service}:{attempt}".encode(),
                           echo + [signature, self.load()])


class World:
    """All parts of one run."""

    def __init__(self, record, zones, upstreams, routes, warmup_per_s=4.6, warmup_s=3.0):
        self.record = record
        self.zones = zones
        self.warmup_per_s = warmup_per_s
        self.warmup_s = warmup_s
        self.host = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.1"
        self.store = Store()
        self.upstreams = [Upstream(self, *each) for each in upstreams]
        self.routes = routes
        self.tenants = []
        self.bounds = dict(BOUNDS)
        self.instances = []
        self.processes = {}
        self.writers_of_settings = {}
        self.frontends = {}
        self.temporary = tempfile.TemporaryDirectory(prefix="catkintally-review-")
        self.background = set()
        self.ids = itertools.count(1)
        self.seed = random.getrandbits(24)
        # Seconds for which the answer to an attempt asks its caller to wait.
        self.retry_after = {}
        # Of each attempt: where and when it began, finished and crashed.
        self.runs = {}

    def later(self, work):
        task = asyncio.ensure_future(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    # What the upstreams tell.

    def crashes(self, path, fields, body):
        return False

    def began(self, upstream, attempt, method, path, fields, body):
        self.runs.setdefault(attempt, []).append(
            {"at": self.record.now(), "upstream": upstream.id, "service": upstream.service,
             "end": "running"})
        self.record(f"upstream {upstream.id} ({upstream.service}, {upstream.zone}) begins "
                    f"{attempt} {method} {path}")

    def finished(self, upstream, attempt):
        self.runs[attempt][-1].update(end="finished", ended=self.record.now())

    def crashed(self, upstream, attempt):
        self.runs[attempt][-1].update(end="crashed the upstream", ended=self.record.now())
        others = [other for other, runs in self.runs.items()
                  if other != attempt and runs[-1]["upstream"] == upstream.id
                  and runs[-1]["end"] == "running"]
        for other in others:
            self.runs[other][-1].update(end="lost in a crash", ended=self.record.now())
        self.record(f"upstream {upstream.id} crashes by {attempt}; it was also at work on "
                    f"{others or 'nothing'}")

    # The system.

    def configuration(self, version=7):
        listeners = {}
        for route in self.routes:
            listeners.setdefault(route["host"], []).append(
                {key: value for key, value in route.items() if key != "host"})
        services = sorted({each.service for each in self.upstreams})
        return {
            "version": f"{version:08x}",
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "listeners": [{"host": host, "rules": rules} for host, rules in listeners.items()],
            "clusters": [{"name": name, "health-path": "/healthz", "max-connections": 220,
                          "protocol": "h1", "tls": False, "warmup-s": self.warmup_s,
                          "warmup-per-s": self.warmup_per_s} for name in services],
            **({"tenants": self.tenants} if self.tenants else {})}

    async def start(self, stale_seeds_s=None):
        """With `stale_seeds_s`, the settings name three addresses at which no machine is any more.
        After that time the platform writes the right ones and sends SIGHUP."""
        self.store_address = await self.store.start(self.host)
        await self.store.put("config", "main", self.configuration())
        for each in self.upstreams:
            await each.start()
        ports = self.free_ports()
        nodes = [(zone, number) for zone, count in self.zones.items() for number in range(count)]
        prefix = self.host.rsplit(".", 1)[0]
        addresses = [f"{prefix}.{10 + index}" for index in range(len(nodes))]
        stale = [f"{prefix}.{240 + index}" for index in range(3)]
        seeds = addresses[:3] if stale_seeds_s is None else stale
        for index, (zone, number) in enumerate(nodes):
            self.start_instance(f"edge-{zone}-{number + 1}", zone, addresses[index], ports, seeds)
        for name, (_, readiness, _) in self.frontends.items():
            await self.wait_ready(name, readiness)
        self.record(f"{len(nodes)} instances are ready; their seeds are {', '.join(seeds)}")
        if stale_seeds_s is not None:
            await asyncio.sleep(stale_seeds_s)
            self.renew_settings(addresses[:3])

    def renew_settings(self, seeds):
        """Writes the settings with other seeds, and tells the instances by SIGHUP."""
        for name, write in self.writers_of_settings.items():
            write(seeds)
            self.processes[name].send_signal(signal.SIGHUP)
        self.record(f"SIGHUP to all instances; the seeds in their settings are {', '.join(seeds)}")

    def free_ports(self):
        ports = []
        for _ in range(4):
            with socket.socket() as probe:
                probe.bind((self.host, 0))
                ports.append(probe.getsockname()[1])
        return ports

    def start_instance(self, name, zone, ip, ports, seeds):
        frontend, control, readiness, admin = ports
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        template = (ROOT / deploy["template"]).read_text()
        settings = Path(self.temporary.name) / f"{name}.ini"
        values = {
            "node-name": name, "zone": zone, "ip": ip, "limits.memory-mb": 260,
            "listen.frontend": f"{ip}:{frontend}", "listen.readiness": f"{ip}:{readiness}",
            "listen.control-plane": f"{ip}:{control}",
            "platform.address": self.store_address,
            "bounds": json.dumps(self.bounds, separators=(",", ":"))}

        def write(named_seeds):
            values["seed-nodes"] = ",".join(f"{seed}:{control}" for seed in named_seeds)
            text = re.sub(
                r"\{\{([^}]+)\}\}", lambda found: str(values[found.group(1)]), template)
            settings.write_text(text.replace(f"{ip}:9464", f"{ip}:{admin}"))

        write(seeds)
        self.writers_of_settings[name] = write
        self.frontends[name] = ((ip, frontend), (ip, readiness), zone)
        command = deploy["run"].replace("/etc/catkintally/settings.toml", str(settings)).split(" ")
        command[0] = str(ROOT / command[0])
        with open(Path(self.temporary.name) / f"{name}.log", "ab") as log:
            process = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                       cwd=ROOT)
        self.instances.append(process)
        self.processes[name] = process

    async def wait_ready(self, name, address, limit_s=15.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                answer = await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                if answer and " 200 " in answer[0]:
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{name} is not ready")

    # The clients.

    def attempt_id(self):
        return f"{self.seed:06x}{next(self.ids):010x}"

    async def ask(
            self, what, method, host, path, deadline_ms, zone=None, body=b"", fields=()):
        """One attempt on a new connection at an instance of the zone. Returns id and status; the
        status is None if the connection ended without an answer."""
        names = [name for name, each in self.frontends.items() if zone in (None, each[2])]
        name = random.choice(names)
        attempt = self.attempt_id()
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        head += f"X-Catkintally-Attempt-Id: {attempt}\r\n"
        head += f"X-Catkintally-Deadline-Ms: {deadline_ms}\r\n"
        head += "".join(f"{field}: {value}\r\n" for field, value in fields)
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        sent = self.record.now()
        status, writer, answer = None, None, None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                reader, writer = await asyncio.open_connection(*self.frontends[name][0])
                writer.write(head.encode() + b"\r\n" + body)
                answer = await read_message(reader)
                status = int(answer[0].split(" ")[1]) if answer else None
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        if writer:
            writer.close()
        reason = answer[1].get("catkintally-reason", "") if answer else ""
        self.record(f"{what} {attempt} {method} {path}, sent at {sent:.3f} s to {name}: "
                    f"{status or 'no answer'} {reason}")
        self.retry_after[attempt] = float(answer[1].get("retry-after", 0)) if answer else 0.0
        return attempt, status, sent

    async def stop(self):
        for task in list(self.background):
            task.cancel()
        for process in self.instances:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        with contextlib.suppress(Exception):
            for each in self.upstreams:
                each.server.close()
            self.store.server.close()
        self.temporary.cleanup()


def run(folder, main):
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    # A stop from outside ends the case like an interrupt, so that its processes are ended too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("with the disruption" if trouble else "without the disruption (TROUBLE=0)")
    try:
        code = asyncio.run(asyncio.wait_for(main(record, trouble), 110))
    except Exception as error:
        record(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        code = 2
    record(f"exit {code}")
    return code
