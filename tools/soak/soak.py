"""Fault soak: instances, store and callers on loopback, with seeded faults from outside.

Usage: ./run soak [--seeds N] [--seed FIRST] [--jobs N] [--short | --stops SECONDS] [--instances N]
                  [--busy N] [--keep] | --regressions
Exit code 0 if every seed kept every promise. Logs of failed seeds are kept: each process's own,
faults.log, connections.log (how connections ended, on both sides) and violations.log.
"""
import argparse
import asyncio
import collections
import contextlib
import random
import shutil
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from tools.fleet import free_base

from . import faults, http_text, instances
from .busy import Processors
from .callers import TIMEOUT_S, Caller
from .checks import WARMUP_PER_S, Checks
from .organisations import Organisations
from .proxy import Proxy
from .stops import StopSeries
from .targets import Target
from .work import ROUTES

DOMAINS = ("a", "b", "c")
CALLERS = 24
BASE_PORT = 13000
PORTS_PER_JOB = 200
# To the next choice, if another soak uses the first one.
PORT_STEP = 1000
# Phases: start, faults, planned work on a calm system, end. In seconds.
PHASES = {False: (2.0, 14.0, 9.0), True: (1.0, 5.0, 6.0)}
# Seeds that once found a fault, with its cause.
REGRESSIONS = {
    100: "SIGTERM or SIGHUP at the start of main() ended the process by the signal",
    204: "instances that were restarted let a crashing request crash further targets",
}
# Mean time between targets that begin to name limits.
LIMIT_PAUSE_S = 1.5
# Mean time between drills of the store, faulty targets and requests late in a planned stop.
INCIDENT_PAUSE_S = 2.0
# Mean time between groups of planned stops with callers of their own, at 5 instances.
STOP_PAUSE_S = 1.5
# Stops come no more often than with this number of instances: each start takes the processors.
MOST_STOPS_AS_FOR = 13
# Longer ticks of this process count as its own delay in what its callers see.
LAG_S = 0.03
MOST_LAG_SHARE = 0.25
# After the last fault, before promises of a calm system are judged.
SETTLE_S = 5.0


class World:
    """One seed: everything that runs, and how it is disturbed."""

    def __init__(self, seed, slot, directory, count=5, busy=0):
        self.seed = seed
        self.random = random.Random(seed)
        self.directory = directory
        self.domains = DOMAINS
        self.processors = Processors(busy, count, slot)
        base = free_base(PORTS_PER_JOB, BASE_PORT + slot * PORTS_PER_JOB, PORT_STEP)
        self.store_port = base
        self.instances = [
            instances.Instance(self, number, base + 10, DOMAINS[number % 3])
            for number in range(count)]
        self.targets = [
            Target(self, number, "lookup" if number < 9 else "order", DOMAINS[number % 3])
            for number in range(15)]
        # Targets of the callers around planned stops. Each instance asks each target how it is, so
        # that many instances get fewer and larger targets: this process serves all of them.
        many = count > MOST_STOPS_AS_FOR
        parts, slots = (3, 6) if many else (6, 3)
        self.timed_targets = [
            Target(self, 100 + number, "records" if number < 2 * parts else "deposits",
                   DOMAINS[number % 3], slots=slots, queue=4 * slots, proxied=False)
            for number in range(3 * parts)]
        self.settled_since = time.monotonic()
        self.disturbances = 0
        self.checks = Checks(
            settled_since=lambda: time.monotonic() if self.disturbances else self.settled_since,
            cold=lambda target, now: now < target.cold_until)
        self.organisations = Organisations(seed, self.checks)
        self.locks = {}
        self.revivals = set()
        self.version = 0
        # The last one that the store has accepted.
        self.configuration = None
        self.store_process = None
        self.stopped = False
        # The faults are over; most requests must be served from now on.
        self.recovering = False

    @property
    def all_targets(self):
        return self.targets + self.timed_targets

    def chance(self, share):
        return share > 0 and self.random.random() < share

    @contextlib.asynccontextmanager
    async def holding(self, thing):
        """Faults of the same instance or target take turns."""
        async with self.locks.setdefault(thing, asyncio.Lock()):
            yield

    async def store(self, kind, name, spec):
        """Writes an object as an operator or a target does, past all proxies; true if accepted."""
        body = {"metadata": {"name": name}, "spec": spec}
        status, _ = await http_text.call(self.store_port, "PUT", f"/v1/objects/{kind}/{name}", body)
        if status == 404:
            status, _ = await http_text.call(self.store_port, "POST", f"/v1/objects/{kind}", body)
        return status in (200, 201)

    async def remove_until_gone(self, kind, name):
        """Removes an object; a store that is away is asked again."""
        path = f"/v1/objects/{kind}/{name}"
        # The stand-in answers 409 if there is no such object any more.
        while (await http_text.call(self.store_port, "DELETE", path))[0] not in (200, 404, 409):
            await asyncio.sleep(0.1)

    async def control(self, **switches):
        await http_text.call(self.store_port, "POST", "/control", switches)

    def revive(self, target):
        """Starts a target again that a request has crashed."""
        async def later():
            async with self.holding(target):
                await asyncio.sleep(0.5)
                if not target.up:
                    await target.remove()
                    await target.start()
        self.revivals.add(asyncio.create_task(later()))

    def newest_route(self):
        return f"/v{self.version}/" if self.version else "/l/"

    async def configure(self):
        """Writes a configuration with one more route and the keys as they are to be; known to callers
        once it is accepted. True if it was."""
        async with self.holding("configuration"):
            return await self.write_configuration(self.version + 1)

    async def write_configuration(self, version):
        def rule(name, prefix, kind, service, objective, timeout_s=TIMEOUT_S):
            return {"name": name, "route-type": kind, "target-latency-ms": objective,
                    "priority": 1, "match": {"path-prefix": prefix},
                    "action": {"service": service, "timeout-ms": int(timeout_s * 1000), "max-attempts": 3}}

        rules = [rule("lookups", "/l/", "safe", "lookup", 200),
                 rule("orders", "/o/", "unsafe", "order", 300)]
        rules += [rule(f"v{each}", f"/v{each}/", "safe", "lookup", 200)
                  for each in range(1, version + 1)]
        rules += self.organisations.rules(rule)
        rules += [rule(each.service + each.prefix[1], each.prefix,
                       "safe" if each.safe else "unsafe", each.service, 1200, each.timeout_s)
                  | self.organisations.without_key() for each in ROUTES]
        organisations = self.organisations.members()
        services = ("lookup", "order", "records", "deposits")
        clusters = [{"name": name, "health-path": "/healthz", "max-connections": 200,
                     "warmup-s": 3.0, "warmup-per-s": WARMUP_PER_S} for name in services]
        configuration = {
            "version": f"{version:08x}",
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "listeners": [{"host": "soak.example", "rules": rules}], "clusters": clusters,
            **organisations}
        sent = time.monotonic()
        accepted = await self.store("config", "main", configuration)
        if accepted:
            self.checks.losses.configured(sent, time.monotonic())
            self.version = version
            self.configuration = configuration
            self.checks.routes_since[f"v{version}"] = time.monotonic()
            self.organisations.accepted(organisations)
        return accepted

    async def write_again(self):
        """What operator and targets do once the store has returned from a copy."""
        async with self.holding("configuration"):
            while not await self.store("config", "main", self.configuration):
                await asyncio.sleep(0.1)
        for target in self.all_targets:
            await target.report_until_accepted()
        alive = {target.name for target in self.all_targets if target.up}
        for name in await self.names("servers"):
            if name not in alive:
                await self.remove_until_gone("servers", name)
        async with self.holding("evacuations"):
            for domain in self.checks.evacuated:
                while not await self.store("evacuations", domain, {}):
                    await asyncio.sleep(0.1)
            for domain in await self.names("evacuations"):
                if domain not in self.checks.evacuated:
                    await self.remove_until_gone("evacuations", domain)

    async def names(self, kind):
        """Names of all objects of a kind; a store that is away is asked again."""
        while True:
            status, listed = await http_text.call(
                self.store_port, "GET", f"/v1/objects/{kind}")
            if status == 200:
                return [each["metadata"]["name"] for each in listed["items"]]
            await asyncio.sleep(0.1)

    def choose_instance(self):
        ready = [each for each in self.instances if each.ready]
        return self.random.choice(ready or self.instances)

    async def start(self):
        self.store_process = instances.spawn(
            self.directory / "store.log", instances.BIN / "platform_stand_in",
            f"--port={self.store_port}", f"--seed={self.seed}")
        while (await http_text.call(self.store_port, "GET", "/control"))[0] != 200:
            await asyncio.sleep(0.05)
        await self.configure()
        await asyncio.gather(*(target.start() for target in self.all_targets))
        for instance in self.instances:
            instance.store_proxy = Proxy(self.store_port)
            await instance.store_proxy.start()
        for instance in self.instances:
            instance.start()

    async def disturb(self, fault, pick=None):
        """Runs one fault, and marks the instances as disturbed while it lasts."""
        disturbing = fault in faults.DISTURBING
        self.disturbances += disturbing
        try:
            await fault(self, pick or self.random)
        finally:
            self.disturbances -= disturbing
            if disturbing:
                self.settled_since = time.monotonic()

    async def fault_series(self, kinds, span, pause):
        """Faults begin at random times and overlap."""
        end = time.monotonic() + span
        running = []
        while time.monotonic() < end:
            fault = self.random.choice(kinds)
            running.append(asyncio.create_task(self.disturb(fault)))
            self.log(fault.__name__)
            await asyncio.sleep(self.random.expovariate(1 / pause))
        await asyncio.gather(*running)

    async def limit_series(self, pause):
        """Targets name limits at random times; a generator of its own keeps the faults of a seed."""
        pick = random.Random(self.seed + 1)
        running = set()
        while True:
            task = asyncio.create_task(faults.target_names_limits(self, pick))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(pick.expovariate(1 / pause))

    async def incident_series(self, pause):
        """Faults of the incidents CONFIG, with a generator of their own as well."""
        pick = random.Random(self.seed + 2)
        running = set()
        try:
            while True:
                kinds = faults.CALM_INCIDENTS if self.recovering else faults.INCIDENTS
                fault = pick.choice(kinds)
                self.log(fault.__name__)
                task = asyncio.create_task(self.disturb(fault, pick))
                running.add(task)
                task.add_done_callback(running.discard)
                await asyncio.sleep(pick.expovariate(1 / pause))
        finally:
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)

    def log(self, text):
        with open(self.directory / "faults.log", "a", encoding="utf-8") as log:
            log.write(f"{time.monotonic():.3f} {text}\n")

    def log_connection(self, text):
        with open(self.directory / "connections.log", "a", encoding="utf-8") as log:
            log.write(f"{time.monotonic():.3f} {text}\n")

    async def watch_lag(self):
        """Notes spans in which this process had no time for its callers."""
        while True:
            begin = time.monotonic()
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if now - begin > 0.02 + LAG_S:
                self.checks.losses.lags.append((begin + 0.02, now))

    async def keep_alive(self):
        """Finds instances that end by themselves."""
        while True:
            for instance in self.instances:
                instance.check_alive()
            await asyncio.sleep(0.1)

    async def start_ready(self):
        """Starts everything; returns the tasks that watch the instances, once all are ready."""
        await self.start()
        watching = [asyncio.create_task(each.watch_health()) for each in self.instances]
        while not all(each.ready for each in self.instances):
            await asyncio.sleep(0.1)
        return watching

    async def run_stops(self, span):
        """Planned stops and other planned work only, on a system that nothing else disturbs."""
        background = await self.start_ready()
        callers = [Caller(self, number) for number in range(CALLERS)]
        calls = [asyncio.create_task(each.run()) for each in callers]
        background.append(asyncio.create_task(self.keep_alive()))
        background.append(asyncio.create_task(self.watch_lag()))
        await asyncio.sleep(1.0)
        stops = asyncio.create_task(self.stop_series())
        background.append(asyncio.create_task(self.organisations.change_series(self)))
        await asyncio.sleep(span)
        await self.end(calls, background + [stops], float("inf"))

    async def stop_series(self):
        pause = STOP_PAUSE_S * 5 / min(MOST_STOPS_AS_FOR, len(self.instances))
        await StopSeries(self, random.Random(self.seed + 3), pause).run()

    async def end(self, calls, background, calm_from):
        for each in calls + background:
            each.cancel()
        await asyncio.gather(*calls, *background, return_exceptions=True)
        await self.organisations.check_secrets(self)
        self.checks.finish(calm_from)
        await self.close()

    async def run(self, short):
        start_s, faults_s, calm_s = PHASES[short]
        background = await self.start_ready()
        callers = [Caller(self, number) for number in range(CALLERS)]
        calls = [asyncio.create_task(each.run()) for each in callers]
        background.append(asyncio.create_task(self.keep_alive()))
        background.append(asyncio.create_task(self.limit_series(LIMIT_PAUSE_S)))
        background.append(asyncio.create_task(self.incident_series(INCIDENT_PAUSE_S)))
        background.append(asyncio.create_task(self.watch_lag()))
        background.append(asyncio.create_task(self.stop_series()))
        background.append(asyncio.create_task(self.organisations.change_series(self)))
        await asyncio.sleep(start_s)
        await self.fault_series(faults.UNPLANNED + faults.PLANNED, faults_s, 0.5)
        self.recovering = True
        await asyncio.sleep(SETTLE_S)
        calm_from = time.monotonic()
        self.log("calm")
        await self.fault_series(faults.PLANNED, calm_s, 1.5)
        await asyncio.sleep(1.0)
        await self.end(calls, background, calm_from)

    async def close(self):
        """Ends the instances, closes all connections and waits for the tasks that serve them."""
        # Instances that outlive their proxies send to ports that another seed may use by then.
        self.stop()
        for target in self.all_targets:
            target.crash()
            if target.proxy:
                target.proxy.stop()
        for instance in self.instances:
            instance.store_proxy.stop()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        if tasks:
            await asyncio.wait(tasks, timeout=10.0)

    def stop(self):
        """Ends every process that this object has started; a fault that goes on starts no other."""
        self.stopped = True
        for instance in self.instances:
            if instance.process is not None:
                instance.kill()
        if self.store_process is not None:
            self.store_process.kill()
            self.store_process.wait()


def run_seed(seed, given):
    """Plays one seed; True if every promise was kept."""
    directory = Path(tempfile.mkdtemp(prefix=f"catkintally-soak-{seed}-"))

    async def play():
        world = World(seed, given.slot, directory, given.instances, given.busy)
        try:
            if given.stops:
                await world.run_stops(given.stops)
            else:
                await world.run(given.short)
        finally:
            world.stop()
            world.processors.stop()
        return world.checks

    checks = asyncio.run(play())
    answered = sum(each.status == 200 for each in checks.requests.values())
    print(f"seed {seed}: {len(checks.requests)} attempts, {answered} answered, "
          f"{len(checks.losses.stops)} planned stops, {len(checks.violations)} broken promises, "
          f"own delay {checks.losses.lag(0.0, float('inf')):.1f} s",
          flush=True)
    with open(directory / "violations.log", "w", encoding="utf-8") as log:
        log.writelines(f"{rule}: {detail}\n" for rule, detail in checks.violations)
    if checks.losses.lag(0.0, float("inf")) > MOST_LAG_SHARE * checks.losses.span():
        print("  this process was too slow for a judgement of time bounds", flush=True)
    for rule, count in collections.Counter(rule for rule, _ in checks.violations).items():
        shown = [detail for found, detail in checks.violations if found == rule][:5]
        print(f"  {count} {rule}: " + "\n    ".join(shown))
    if checks.violations or given.keep:
        print(f"  logs are kept in {directory}")
    else:
        shutil.rmtree(directory)
    return not checks.violations


def main():
    parser = argparse.ArgumentParser(prog="./run soak", description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds to play")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--jobs", type=int, default=1, help="seeds played at the same time")
    parser.add_argument("--regressions", action="store_true",
                        help="play the seeds that once found a fault")
    parser.add_argument("--short", action="store_true", help="a short run, as in CI")
    parser.add_argument("--stops", type=float, default=0.0, metavar="SECONDS",
                        help="play only planned stops and other planned work for so long")
    parser.add_argument("--instances", type=int, default=5, help="number of instances, up to 40")
    parser.add_argument("--busy", type=int, default=0, help="bind five instances each to a processor, with so many busy processes")
    parser.add_argument("--keep", action="store_true", help="keep the logs of good seeds, too")
    parser.add_argument("--slot", type=int, default=0, help=argparse.SUPPRESS)
    given = parser.parse_args()
    if given.regressions:
        given.short, given.stops = False, 0.0
        results = [run_seed(seed, given) for seed in REGRESSIONS]
        return 0 if all(results) else 1
    if given.seeds == 1:
        return 0 if run_seed(given.seed, given) else 1
    # One process a seed, so that seeds do not share a loop.
    waiting = list(range(given.seed, given.seed + given.seeds))
    running, failed = {}, []
    while waiting or running:
        for slot in range(given.jobs):
            if slot in running and running[slot][1].poll() is not None:
                seed, process = running.pop(slot)
                if process.returncode != 0:
                    failed.append(seed)
            if slot not in running and waiting:
                seed = waiting.pop(0)
                command = [sys.executable, "-m", "tools.soak.soak", f"--seed={seed}",
                           f"--slot={slot}", f"--instances={given.instances}",
                           f"--busy={given.busy}", f"--stops={given.stops}"]
                command += ["--short"] * given.short + ["--keep"] * given.keep
                running[slot] = (seed, subprocess.Popen(command))
        time.sleep(0.1)
    print(f"{given.seeds} seeds, {len(failed)} with a broken promise: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
