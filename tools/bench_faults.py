"""Fault bench: each fault of section 9 of the design page alone, under load, on a fresh fleet."""
import datetime
import signal
import subprocess
import sys
import time

from fleet import ROOT, Fleet, judge

SEED = 1
FAULT_AT = 2.0
OUTAGE = 20.0


def owner_of_orders(fleet):
    """Index of the instance that owns the order service, from the instances' dumps."""
    for index in range(fleet.count):
        dump = fleet.dump(index) or {}
        for owned in dump.get("fleet", {}).get("owned", []):
            name = owned.get("service") if isinstance(owned, dict) else owned
            if name == "order":
                return index
    raise RuntimeError("no instance says that it owns the order service")


def owner_killed(fleet):
    fleet.signal(owner_of_orders(fleet), signal.SIGKILL)


def owner_paused(fleet):
    owner = owner_of_orders(fleet)
    fleet.signal(owner, signal.SIGSTOP)
    time.sleep(2.0)
    fleet.signal(owner, signal.SIGCONT)


def store_down(fleet):
    fleet.platform_control(outage=True)
    time.sleep(OUTAGE)
    fleet.platform_control(outage=False)


def store_loses_answers(fleet):
    """Half of the answers to writes are lost while an instance leaves and another is killed."""
    fleet.platform_control(lose_answer_percent=50)
    fleet.signal(3, signal.SIGTERM)
    fleet.signal(4, signal.SIGKILL)
    time.sleep(5.0)
    fleet.platform_control(lose_answer_percent=0)


def owner_killed_store_down(fleet):
    fleet.platform_control(outage=True)
    time.sleep(1.0)
    fleet.signal(owner_of_orders(fleet), signal.SIGKILL)
    time.sleep(5.0)
    fleet.platform_control(outage=False)


def domain_out(fleet):
    fleet.ctl("domain", "out", "b")
    time.sleep(4.0)
    fleet.ctl("domain", "in", "b")


def target_crash(fleet):
    fleet.target_control(f"t{fleet.lookup_targets + 1}", crash=True)


def crashing_request(fleet):
    """A caller sends the request that crashes its target again and again, to several instances."""
    for attempt in range(6):
        subprocess.run(
            ["curl", "-s", "-m", "2", "-o", "/dev/null", "-X", "POST", "-d", "poison",
             "-H", "idempotency-key: crashing",
             f"http://127.0.0.1:{fleet.caller_base + attempt}/order/crash"], check=False)
        time.sleep(0.2)


# Name, fault, and seconds of load.
CASES = (
    ("owner killed", owner_killed, 8),
    ("owner paused 2 s", owner_paused, 8),
    ("store down 20 s", store_down, 24),
    ("store loses answers", store_loses_answers, 10),
    ("owner killed, store down", owner_killed_store_down, 14),
    ("domain out", domain_out, 9),
    ("target crash", target_crash, 8),
    ("crashing request", crashing_request, 8),
)


def run_case(name, fault, seconds):
    with Fleet() as fleet:
        start = time.monotonic()
        fleet.start_load(seconds, lookups=100, orders=40, seed=SEED)
        time.sleep(max(0.0, start + FAULT_AT - time.monotonic()))
        fault(fleet)
        summary = fleet.finish_load(seconds + 20)
        log = fleet.target_log()
    found = judge(summary, log)
    totals = summary["totals"]
    counts = " ".join(f"{key}={totals[key]}" for key in (
        "sent", "answered", "already_run", "refused_not_run", "unknown", "no_answer"))
    line = (f"{name:<26} {counts} lost={len(found['lost'])} doubled={len(found['doubled'])} "
            f"false_not_run={len(found['false_not_run'])} gap_ms={summary['longest_gap_ms']:.0f}")
    return line, found, summary["longest_gap_ms"]


def main():
    wanted = sys.argv[1:]
    cases = [case for case in CASES if not wanted or case[0] in wanted]
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True).stdout
    lines = [f"command: ./run bench faults {' '.join(wanted)}".rstrip(), f"seed: {SEED}",
             f"date: {datetime.datetime.now(datetime.timezone.utc):%Y-%m-%d %H:%M:%S} UTC",
             f"commit: {commit.strip()}", ""]
    sums = {"lost": 0, "doubled": 0, "false_not_run": 0}
    longest, failed = 0.0, 0
    for name, fault, seconds in cases:
        try:
            line, found, gap = run_case(name, fault, seconds)
        except (RuntimeError, OSError, subprocess.SubprocessError) as error:
            line, found, gap = f"{name:<26} did not run: {error}", {}, 0.0
            failed += 1
        print(line, flush=True)
        lines.append(line)
        for key in sums:
            sums[key] += len(found.get(key, ()))
        longest = max(longest, gap)
    lines.append(f"bench faults: cases={len(cases) - failed} lost={sums['lost']} "
                 f"doubled={sums['doubled']} false_not_run={sums['false_not_run']} "
                 f"longest_gap_ms={longest:.0f}")
    print(lines[-1])
    results = ROOT / "bench" / "results"
    results.mkdir(parents=True, exist_ok=True)
    (results / "faults.txt").write_text("\n".join(lines) + "\n")
    return 1 if failed or any(sums.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
