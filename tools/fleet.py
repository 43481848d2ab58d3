"""Starts a whole system on loopback for the demo and the fault bench: stand-ins and instances."""
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BIN = Path(os.environ.get("CATKINTALLY_BUILD_DIR", ROOT / "build")).resolve() / "bin"
DOMAINS = ("a", "b", "c")
DONE = ("answered", "already_run")
# Results after which a caller of an order has no final answer.
OPEN = ("attempt_not_run", "in_progress", "no_answer")


def http(method, port, path, body=None, timeout=2.0):
    """Status and parsed JSON (or text) of one call; status 0 if there is no answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            text, status = answer.read().decode(), answer.status
    except urllib.error.HTTPError as error:
        text, status = error.read().decode(), error.code
    except (OSError, urllib.error.URLError):
        return 0, None
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text


def free_base(count, first=12000, step=500):
    """First port of a range in which every port is free, below the range of outgoing ports."""
    for base in range(first, 30000, step):
        sockets = []
        try:
            for port in range(base, base + count):
                sockets.append(socket.socket())
                sockets[-1].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sockets[-1].bind(("127.0.0.1", port))
            return base
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()
    raise RuntimeError("no free range of ports")


class Fleet:
    """Platform and target stand-ins and a number of instances. Use as a context manager."""

    def __init__(self, instances=13, lookup_targets=8, order_targets=6, target_options=(),
                 mode="owner"):
        self.count = instances
        self.mode = mode
        self.lookup_targets = lookup_targets
        self.order_targets = order_targets
        self.target_options = list(target_options)
        self.directory = Path(tempfile.mkdtemp(prefix="catkintally-"))
        self.processes = {}
        self.keep_directory = False
        base = free_base(400)
        self.platform_port, self.target_admin_port = base, base + 1
        self.caller_base, self.peer_base, self.admin_base = base + 100, base + 150, base + 200
        self.target_base = base + 300

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.keep_directory = True
            self.stop()
            raise
        return self

    def __exit__(self, kind, value, trace):
        if kind is not None:
            self.keep_directory = True
        self.stop()

    def spawn(self, name, *command):
        """Starts one process with its output in the temporary directory."""
        with open(self.directory / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                [str(part) for part in command], stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.processes[name] = process
        return process

    def start(self):
        self.spawn("platform", BIN / "platform_stand_in", f"--port={self.platform_port}")
        self.spawn(
            "targets", BIN / "target_stand_in", f"--first-port={self.target_base}",
            f"--admin-port={self.target_admin_port}",
            f"--count={self.lookup_targets + self.order_targets}", *self.target_options)
        self.wait(lambda: http("GET", self.platform_port, "/control")[0] == 200, "platform")
        self.wait(lambda: http("GET", self.target_admin_port, "/status")[0] == 200, "targets")
        table = self.directory / "table.csv"
        table.write_text(self.table_csv())
        self.ctl("apply", table)
        for index in range(self.count):
            self.start_instance(index)
        self.wait_ready()

    def start_instance(self, index):
        """Starts instance `index`, or a replacement for it."""
        settings = self.directory / f"i{index}.ini"
        seeds = ",".join(f"127.0.0.1:{self.peer_base + other}" for other in range(self.count))
        settings.write_text(
            f"[instance]\nid = i{index}\nfailure_domain = {self.domain_of(index)}\n"
            f"[callers]\naddress = 127.0.0.1:{self.caller_base + index}\n"
            f"[peers]\naddress = 127.0.0.1:{self.peer_base + index}\nseeds = {seeds}\n"
            f"shared_key = demo\n"
            f"[admin]\naddress = 127.0.0.1:{self.admin_base + index}\n"
            f"[platform]\naddresses = 127.0.0.1:{self.platform_port}\n"
            f"[admission]\nmode = {self.mode}\n")
        http("POST", self.platform_port, "/control", {"set_instance": {
            "id": f"i{index}", "address": f"127.0.0.1:{self.peer_base + index}",
            "admin": f"127.0.0.1:{self.admin_base + index}",
            "domain": self.domain_of(index), "state": "live"}})
        return self.spawn(f"i{index}", BIN / "catkintally", "--config", settings)

    def table_csv(self):
        """Two services in three failure domains, as an operator's spreadsheet exports them."""
        lines = ["kind,name,state"]
        lines += [f"domain,{name},in" for name in DOMAINS]
        lines.append("kind,name,host,path_prefix,work_class,idempotency_key_header,deadline_ms,"
                     "not_run_statuses,retry_budget_percent")
        lines.append("service,lookup,lookup.test,/,lookup,,2000,503,20")
        lines.append("service,order,order.test,/,order,idempotency-key,2000,503,20")
        lines.append("kind,service,name,address,failure_domain,slots,state")
        for number in range(1, self.lookup_targets + self.order_targets + 1):
            service = "lookup" if number <= self.lookup_targets else "order"
            lines.append(f"target,{service},t{number},127.0.0.1:{self.target_base + number - 1},"
                         f"{DOMAINS[number % len(DOMAINS)]},2,in")
        return "\n".join(lines) + "\n"

    def targets_of(self, domain):
        total = self.lookup_targets + self.order_targets
        return [f"t{n}" for n in range(1, total + 1) if DOMAINS[n % len(DOMAINS)] == domain]

    @staticmethod
    def domain_of(index):
        return DOMAINS[index % len(DOMAINS)]

    def ctl(self, *arguments):
        """Runs catkintallyctl and returns its output; raises if it fails."""
        command = [str(BIN / "catkintallyctl"), f"--store=127.0.0.1:{self.platform_port}"]
        done = subprocess.run(
            command + [str(part) for part in arguments], capture_output=True, text=True, timeout=20)
        if done.returncode != 0:
            raise RuntimeError(f"catkintallyctl {arguments[0]}: exit {done.returncode}: "
                               f"{done.stdout}{done.stderr}")
        return done.stdout

    def platform_control(self, **switches):
        return http("POST", self.platform_port, "/control", switches)[1]

    def target_control(self, target, **switches):
        return http("POST", self.target_admin_port, "/control", {"target": target, **switches})

    def target_log(self):
        return http("GET", self.target_admin_port, "/log", timeout=10)[1]

    def dump(self, index):
        return http("GET", self.admin_base + index, "/dump")[1]

    def ready(self, index):
        return http("GET", self.caller_base + index, "/catkintally/health", timeout=0.5)[0] == 200

    def wait_ready(self, limit=15.0):
        self.wait(lambda: all(self.ready(i) for i in range(self.count)), "instances", limit)

    @staticmethod
    def wait(condition, what, limit=10.0):
        end = time.monotonic() + limit
        while not condition():
            if time.monotonic() > end:
                raise RuntimeError(f"{what}: not ready within {limit:.0f} s")
            time.sleep(0.05)

    def signal(self, index, number):
        """Sends a signal to instance `index`, which this object has started."""
        self.processes[f"i{index}"].send_signal(number)

    def start_load(self, seconds, lookups, orders, seed=1, marks="", only=None):
        """Starts the load driver; finish_load() returns its summary."""
        members = range(self.count) if only is None else only
        addresses = ",".join(f"127.0.0.1:{self.caller_base + i}" for i in members)
        return self.spawn(
            "load", BIN / "load_driver", f"--instances={addresses}", f"--seconds={seconds}",
            f"--lookups={lookups}", f"--orders={orders}", f"--seed={seed}", f"--marks={marks}",
            f"--output={self.directory / 'summary.json'}")

    def finish_load(self, limit):
        if self.processes["load"].wait(limit) != 0:
            raise RuntimeError("load_driver failed")
        return json.loads((self.directory / "summary.json").read_text())

    def stop(self):
        """Ends every process that this object has started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if self.keep_directory:
            print(f"logs and settings are kept in {self.directory}")
        else:
            shutil.rmtree(self.directory)


def judge(summary, log):
    """Compares what callers were told with what the targets ran."""
    keys = log["keys"]
    found = {"lost": [], "doubled": [], "false_not_run": []}
    for key, order in summary["orders"].items():
        started = keys.get(key, {}).get("started", 0)
        if order["outcome"] in OPEN or (order["outcome"] in DONE and started == 0):
            found["lost"].append(key)
        if order["outcome"] == "refused_not_run" and started > 0:
            found["false_not_run"].append(key)
    found["doubled"] = [key for key, entry in keys.items() if entry["started"] > 1]
    return found
