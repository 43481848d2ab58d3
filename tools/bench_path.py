"""Measures the processor time that one instance spends on a request, by admission mode.

The load stays far below saturation, so that the figure is the cost of a request and not of a queue.
The throughput of one core follows from it. One instance runs alone, so it owns every service.
"""
import os
import sys
import time

from fleet import Fleet

SECONDS = 4
LOOKUPS_PER_S = (200, 500, 800)
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# 16 targets with 8 slots of about 1 ms each carry far more than the load.
TARGETS = ("--slots=8", "--service-us=500")


def processor_seconds(pid):
    with open(f"/proc/{pid}/schedstat", encoding="ascii") as stat:
        return int(stat.read().split()[0]) / 1e9


def cost(fleet, rate):
    """Processor seconds a second at this rate of lookups, and the requests served a second."""
    pid = fleet.processes["i0"].pid
    fleet.start_load(SECONDS + 2, rate, 0, seed=rate)
    time.sleep(1.0)
    before, start = processor_seconds(pid), time.monotonic()
    time.sleep(SECONDS)
    used, took = processor_seconds(pid) - before, time.monotonic() - start
    summary = fleet.finish_load(30)
    totals = summary["totals"]
    if totals["answered"] < 0.98 * totals["sent"]:
        raise RuntimeError(f"only {totals['answered']} of {totals['sent']} requests were answered")
    return used / took


def microseconds_a_request(mode):
    """Slope of a straight line through the costs at three rates."""
    with Fleet(instances=1, lookup_targets=16, order_targets=1, target_options=TARGETS,
               mode=mode) as fleet:
        points = [(rate, cost(fleet, rate)) for rate in LOOKUPS_PER_S]
    mean_rate = sum(rate for rate, _ in points) / len(points)
    mean_cost = sum(used for _, used in points) / len(points)
    slope = (sum((rate - mean_rate) * (used - mean_cost) for rate, used in points) /
             sum((rate - mean_rate) ** 2 for rate, _ in points))
    for rate, used in points:
        print(f"{mode:<12} {rate:>5} requests/s: {100 * used:.2f} % of a core")
    print(f"{mode:<12} {slope * 1e6:.0f} us a request", flush=True)
    return slope * 1e6


def main():
    owner = microseconds_a_request("owner")
    baseline = microseconds_a_request("round_robin")
    print(f"bench path: us_per_request={owner:.0f} rps_core={1e6 / owner:.0f} "
          f"vs_round_robin={owner / baseline:.2f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
