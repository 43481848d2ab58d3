"""Starts instances of the project with the command and the template of the deploy file."""
import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from .platform import Platform

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {"seed-lag-s": 3, "reuse-delay-s": 2, "contact-ms": 3000, "ack-timeout-ms": 4000,
          "catch-up-s": 4, "drain-timeout-ms": 2000, "grace-s": 6, "loss-slack-ms": 200,
          "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000,
          "retry-budget-ratio": 0.2, "retry-window-s": 10, "budget-slack": 56,
          "warmup-overshoot": 1.5, "warmup-tolerance": 5, "evacuation-ms": 5000, "recovery-s": 15,
          "probes-per-s": 60}
LIMITS = {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000,
          "idle-timeout-ms": 15000}


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """Lines of record.txt, with seconds from the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.began, text))
        self.file.flush()


class Instance:
    def __init__(self, deployment, number, zone):
        self.deployment, self.number, self.zone = deployment, number, zone
        self.host = "127.0.%d.%d" % (deployment.net, number + 1)
        self.frontend, self.readiness, self.control = (free_port(self.host) for _ in range(3))
        self.process = None

    def settings(self):
        seeds = ["%s:%d" % (each.host, each.control) for each in self.deployment.instances[:3]]
        values = {
            "node-name": "edge-%s-%d" % (self.zone, self.number), "zone": self.zone,
            "limits.memory-mb": "260", "ip": self.host,
            "listen.frontend": "%s:%d" % (self.host, self.frontend),
            "listen.readiness": "%s:%d" % (self.host, self.readiness),
            "listen.control-plane": "%s:%d" % (self.host, self.control),
            "seed-nodes": ",".join(seeds), "platform.address": self.deployment.platform_address,
            "bounds": json.dumps(BOUNDS, separators=(",", ":"))}
        template = (ROOT / self.deployment.role["template"]).read_text(encoding="utf-8")
        return re.sub(r"\{\{([^}]+)\}\}", lambda found: values[found[1]], template)

    def start(self):
        path = self.deployment.directory / ("settings-%d.toml" % self.number)
        path.write_text(self.settings(), encoding="utf-8")
        words = self.deployment.role["run"].split()
        command = [str(path) if word == "/etc/catkintally/settings.toml" else word for word in words]
        output = open(self.deployment.directory / ("log-%d.txt" % self.number), "ab")
        self.process = subprocess.Popen(
            command, cwd=ROOT, stdout=output, stderr=subprocess.STDOUT,
            env={"PATH": os.environ["PATH"], "CATKINTALLY_SETTINGS": str(path)})
        self.deployment.record("instance %d starts" % self.number)

    def signal(self, number):
        self.deployment.record("instance %d gets %s" % (self.number, signal.Signals(number).name))
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.readiness)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
        except OSError:
            return False


class Deployment:
    """A small deployment: a platform and some instances, each on a loopback address of its own."""

    def __init__(self, record, zones=("zone-a", "zone-b"), count=2):
        self.record = record
        self.net = os.getpid() % 200 + 20
        self.directory = Path(tempfile.mkdtemp(prefix="catkintally-review-"))
        self.role = tomllib.loads(
            (ROOT / "deploy/system.toml").read_text(encoding="utf-8"))["roles"]["entry"]
        self.platform = Platform()
        self.platform_address = ""
        self.instances = []
        for number in range(count):
            self.instances.append(Instance(self, number, zones[number % len(zones)]))

    async def start(self, configuration, upstreams, settle_s=3.0):
        host = "127.0.%d.200" % self.net
        self.platform_address = "%s:%d" % (host, await self.platform.start(host))
        await self.platform.put("config", "main", configuration)
        for number, each in enumerate(upstreams):
            await each.start("127.0.%d.%d" % (self.net, 100 + number), self.platform)
        for each in self.instances:
            each.start()
        deadline = time.monotonic() + 15
        while not all([await each.is_ready() for each in self.instances]):
            if time.monotonic() > deadline:
                raise RuntimeError("instances are not ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(settle_s)

    def stop(self, keep=False):
        for each in self.instances:
            if each.process is not None and each.process.poll() is None:
                each.process.kill()
                each.process.wait()
        if not keep:
            shutil.rmtree(self.directory, ignore_errors=True)


def route(name, kind, prefix, service, timeout_ms=1500, attempts=2, objective_ms=250, priority=1):
    return {"name": name, "route-type": kind, "target-latency-ms": objective_ms,
            "priority": priority, "match": {"path-prefix": prefix},
            "action": {"service": service, "timeout-ms": timeout_ms, "max-attempts": attempts}}


def configuration(version, host, rules, services):
    return {"version": "%08x" % version, "limits": LIMITS,
            "listeners": [{"host": host, "rules": rules}],
            "clusters": [{"name": each, "health-path": "/healthz", "max-connections": 220,
                          "protocol": "h1", "tls": False, "warmup-s": 3.0, "warmup-per-s": 5.9}
                         for each in services]}
