"""Instances as processes, started, stopped, paused and killed by signals."""
import asyncio
import json
import os
import signal
import subprocess
import time
from pathlib import Path

from . import checks, http_text

ROOT = Path(__file__).resolve().parent.parent.parent
BIN = Path(os.environ.get("CATKINTALLY_BUILD_DIR", ROOT / "build")).resolve() / "bin"
# A process that is signalled this soon may not have reached main().
LOADING_S = 0.1
# In the form in which the platform fills in its template.
BOUNDS = json.dumps({
    "drain-timeout-ms": int(checks.DRAIN_S * 1000),
    "retry-budget-ratio": checks.RETRY_RATIO,
    "retry-window-s": int(checks.RETRY_WINDOW_S),
    "budget-slack": checks.RETRY_SLACK,
    "grace-s": checks.GRACE_S,
}, separators=(",", ":"))


def spawn(log_path, *command):
    """Starts one process with its output in a file."""
    with open(log_path, "ab") as log:
        return subprocess.Popen([str(part) for part in command], stdout=log, stderr=log,
                                stdin=subprocess.DEVNULL)


class Instance:
    """One place at which runs of an instance follow each other."""

    def __init__(self, world, number, base_port, domain):
        self.world = world
        self.number = number
        self.name = f"i{number}"
        self.domain = domain
        self.front_port, self.peer_port, self.admin_port, self.health_port = (
            base_port + number * 4 + offset for offset in range(4))
        self.store_proxy = None
        self.process = None
        self.started_at = 0.0
        self.runs = 0
        self.reloads = 0
        # A planned stop is under way.
        self.stopping = False
        # The soak itself has ended the process.
        self.ended = False
        self.ready = False

    @property
    def run_name(self):
        return f"{self.name}#{self.runs}"

    def settings(self):
        seeds = ",".join(f"127.0.0.1:{each.peer_port}" for each in self.world.instances[:3])
        return f"""[instance]
id = {self.name}
failure_domain = {self.domain}
[callers]
address = 127.0.0.1:{self.front_port}
deadline_header = X-Catkintally-Deadline-Ms
[targets]
connections = 8
connect_time_ms = 300
idle_time_ms = {9000 + self.reloads}
unacknowledged_time_ms = 1500
[peers]
address = 127.0.0.1:{self.peer_port}
seeds = {seeds}
[admin]
address = 127.0.0.1:{self.admin_port}
health_addresses = 127.0.0.1:{self.health_port}
health_path = /v1/readyz
[platform]
addresses = 127.0.0.1:{self.store_proxy.port}
configuration = objects
watch_time_ms = 1000
call_time_ms = 700
limits = {BOUNDS}
[stop]
drain_ms = 2700
stop_limit_ms = 1000
[admission]
mode = probing
"""

    def write_settings(self):
        path = self.world.directory / f"{self.name}.ini"
        path.write_text(self.settings())
        return path

    def start(self):
        if self.world.stopped:
            return
        self.runs += 1
        self.stopping = self.ended = False
        path = self.write_settings()
        self.started_at = time.monotonic()
        self.world.checks.starts[self.run_name] = self.started_at
        self.process = spawn(self.world.directory / f"{self.name}.log", BIN / "catkintally",
                             "--config", path)
        self.world.processors.bind(self.process, self.number)

    def handles(self, number):
        """True once the process ignores or catches the signal, which it does first in main()."""
        masks = {}
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as status:
                masks = dict(line.split(":\t", 1) for line in status if ":\t" in line)
        except OSError:
            # The process has ended.
            return False
        known = int(masks.get("SigIgn", "0"), 16) | int(masks.get("SigCgt", "0"), 16)
        return known >> (number - 1) & 1 == 1

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def hang_up(self):
        """A planned reload, with another value of a setting."""
        self.reloads += 1
        self.write_settings()
        self.world.checks.losses.reloaded(self.run_name, time.monotonic())
        self.signal(signal.SIGHUP)

    def kill(self):
        self.ended = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def stop(self):
        """A planned stop: SIGTERM, and SIGKILL for what does not end in time."""
        if self.ended:
            return
        self.stopping = self.ended = True
        stopped_at = time.monotonic()
        self.world.checks.losses.stopping(self.run_name, stopped_at)
        self.signal(signal.SIGTERM)
        end = stopped_at + checks.GRACE_S
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        if self.process.poll() is None:
            self.world.checks.broken("exit", f"{self.run_name} did not end within {checks.GRACE_S} s")
            self.kill()
        elif self.process.returncode == -signal.SIGTERM and stopped_at - self.started_at < LOADING_S:
            # Seed 100: the signal came before main() could set a handler. Nothing was taken yet.
            self.world.log(f"{self.run_name} stopped while it was loaded")
        elif self.process.returncode != 0:
            self.world.checks.broken(
                "exit", f"{self.run_name} ended with {self.process.returncode} after SIGTERM, "
                        f"{stopped_at - self.started_at:.2f} s after its start")

    def check_alive(self):
        if not self.ended and self.process.poll() is not None:
            self.world.checks.broken(
                "exit", f"{self.run_name} ended by itself with {self.process.returncode}")
            self.start()

    async def watch_health(self):
        """As the platform's balancer does: two misses in a row take the instance out."""
        misses = 0
        while True:
            status, _ = await http_text.call(self.health_port, "GET", "/v1/readyz", timeout=0.5)
            misses = 0 if status == 200 else misses + 1
            if misses == 0 or misses >= 2:
                self.ready = misses == 0
            await asyncio.sleep(0.5)
