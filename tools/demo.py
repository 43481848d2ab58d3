"""Demo: a fleet of 13 instances under load, with the events of an eventful day in 20 seconds."""
import signal
import sys
import time

from fleet import Fleet, judge

OUT = "b"
KILLED, STOPPED = 5, 7


def at(start, second):
    time.sleep(max(0.0, start + second - time.monotonic()))


def main():
    problems = []
    with Fleet() as fleet:
        print(f"13 instances in 3 failure domains, {fleet.lookup_targets} lookup targets and "
              f"{fleet.order_targets} order targets; table applied with catkintallyctl")
        start = time.monotonic()
        fleet.start_load(18, lookups=120, orders=40, marks="3,8,11,14")

        at(start, 3)
        fleet.ctl("domain", "out", OUT)
        for target in fleet.targets_of(OUT):
            fleet.target_control(target, watch_starts=True)
        at(start, 7.8)
        counters = fleet.target_log()["targets"]
        late = max(counters[t]["last_start_after_drain_ms"] for t in fleet.targets_of(OUT))
        print(f"  3 s  domain {OUT} taken out: its targets last received new work {late} ms later")
        if late > 2000:
            problems.append(f"domain {OUT} received new work {late} ms after it was taken out")
        for target in fleet.targets_of(OUT):
            fleet.target_control(target, watch_starts=False)
        before = {t: counters[t]["started"] for t in fleet.targets_of(OUT)}

        at(start, 8)
        fleet.ctl("domain", "in", OUT)
        at(start, 11)
        counters = fleet.target_log()["targets"]
        back = sum(counters[t]["started"] - before[t] for t in fleet.targets_of(OUT))
        print(f"  8 s  domain {OUT} brought back: its targets ran {back} requests in 3 s")

        fleet.signal(KILLED, signal.SIGKILL)
        print(f" 11 s  instance i{KILLED} killed")
        at(start, 14)
        fleet.signal(STOPPED, signal.SIGTERM)
        stop_status = fleet.processes[f"i{STOPPED}"].wait(25)
        print(f" 14 s  instance i{STOPPED} stopped gracefully: exit status {stop_status} after "
              f"{time.monotonic() - start - 14:.1f} s")
        if stop_status != 0:
            problems.append(f"the graceful stop ended with status {stop_status}")

        summary = fleet.finish_load(40)
        log = fleet.target_log()
        for name, process in fleet.processes.items():
            if process.poll() not in (None, 0) and name != f"i{KILLED}":
                problems.append(f"{name} ended with status {process.returncode}")
        totals, found = summary["totals"], judge(summary, log)
        answered = totals["answered"] + totals["already_run"]
        phases = ("all in", "domain out", "domain back", "one killed", "one stopped")
        for kind in ("lookup", "order"):
            for phase, values in zip(phases, summary["classes"][kind]["phases"]):
                print(f"{kind:>7} {phase:<12} answered={values['answered']:<5} "
                      f"p50={values['p50_ms']:.1f} ms p99={values['p99_ms']:.1f} ms")
        others = {name: count for name, count in totals.items()
                  if count and name not in ("sent", "answered", "already_run")}
        print(f"other results: {others}; longest time without an answer: "
              f"{summary['longest_gap_ms']:.0f} ms; refused by collapsing cold targets: "
              f"{sum(t['refused_cold'] for t in log['targets'].values())}")
        # A fleet that refuses everything loses nothing either, so most requests must be answered.
        if answered < 0.9 * totals["sent"]:
            problems.append(f"only {answered} of {totals['sent']} requests were answered")
        for kind in ("lookup", "order"):
            for phase, values in zip(phases, summary["classes"][kind]["phases"]):
                if values["answered"] == 0:
                    problems.append(f"no {kind} was answered in phase '{phase}'")
        if found["false_not_run"]:
            problems.append(f"refused as not run but run: {found['false_not_run'][:5]}")
        if totals["wrong_answers"]:
            problems.append(f"{totals['wrong_answers']} answers belonged to another request")
        for name in ("lost", "doubled"):
            if found[name]:
                problems.append(f"{name}: {found[name][:5]}")
        fleet.keep_directory = bool(problems)
    for problem in problems:
        print(f"problem: {problem}")
    print(f"demo: sent={totals['sent']} answered={answered} "
          f"refused_not_run={totals['refused_not_run']} lost={len(found['lost'])} "
          f"doubled={len(found['doubled'])}")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
