"""Measures what control costs one instance, idle and under load, at several fleet sizes.

Counts bytes between instances (payload and length fields, without TCP/IP headers), processor time,
memory and calls to the platform's store, and the time until a changed table is in force everywhere.
"""
import os
import sys
import time

from fleet import Fleet, http

SIZES = (4, 13, 20, 26)
IDLE_SECONDS = 4
LOAD_SECONDS = 4
LOOKUPS_PER_S = 100
ORDERS_PER_S = 30
CHANGES = 8
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def gauge(text, name):
    """Sum of all series of one metric."""
    lines = [line for line in text.splitlines() if line.split("{")[0].split(" ")[0] == name]
    return sum(float(line.rsplit(" ", 1)[1]) for line in lines)


def snapshot(fleet):
    """Sums over all instances: control bytes sent, store calls, processor seconds, memory."""
    sums = {"bytes": 0.0, "store": 0.0, "cpu": 0.0, "rss": 0.0}
    for index in range(fleet.count):
        text = http("GET", fleet.admin_base + index, "/metrics")[1]
        sums["bytes"] += gauge(text, "catkintally_control_bytes_sent")
        sums["store"] += gauge(text, "catkintally_store_calls")
        pid = fleet.processes[f"i{index}"].pid
        with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        sums["cpu"] += (int(fields[11]) + int(fields[12])) / TICKS_PER_S
        sums["rss"] += int(fields[21]) * PAGE_BYTES
    return sums


def rates(fleet, seconds):
    """Rates of one instance over `seconds`."""
    before, start = snapshot(fleet), time.monotonic()
    time.sleep(seconds)
    after, took = snapshot(fleet), time.monotonic() - start
    each = fleet.count * took
    return {
        "bytes_per_s": (after["bytes"] - before["bytes"]) / each,
        "store_per_s": (after["store"] - before["store"]) / took,
        "cpu_pct": 100 * (after["cpu"] - before["cpu"]) / each,
        "rss_mb": after["rss"] / fleet.count / 1e6,
    }


def change_times(fleet):
    """Milliseconds from the accepted change until `status --wait` finds it in force everywhere."""
    times = []
    for number in range(CHANGES):
        start = time.monotonic()
        fleet.ctl("set", "target", "lookup/t1", f"weight={100 + number}")
        fleet.ctl("status", "--wait")
        times.append((time.monotonic() - start) * 1000)
    return sorted(times)


def main():
    print(f"{'size':>4} {'state':<5} {'bytes/s':>9} {'store calls/s':>13} {'cpu %':>6} {'rss MB':>7}")
    idle = {}
    loaded = {}
    changes = []
    for size in SIZES:
        with Fleet(instances=size) as fleet:
            time.sleep(1.0)
            idle[size] = rates(fleet, IDLE_SECONDS)
            changes = change_times(fleet) if size == 13 else changes
            fleet.start_load(LOAD_SECONDS + 2, LOOKUPS_PER_S, ORDERS_PER_S)
            time.sleep(1.0)
            loaded[size] = rates(fleet, LOAD_SECONDS)
            fleet.finish_load(30)
            for state, values in (("idle", idle[size]), ("load", loaded[size])):
                print(f"{size:>4} {state:<5} {values['bytes_per_s']:>9.0f} "
                      f"{values['store_per_s']:>13.1f} {values['cpu_pct']:>6.2f} "
                      f"{values['rss_mb']:>7.1f}", flush=True)
    slope = (idle[26]["bytes_per_s"] - idle[4]["bytes_per_s"]) / (26 - 4)
    print(f"idle bytes a second grow by {slope:.0f} a member; loaded at {LOOKUPS_PER_S} lookups/s "
          f"and {ORDERS_PER_S} orders/s over the fleet; change times {changes[0]:.0f} to "
          f"{changes[-1]:.0f} ms over {CHANGES} changes, two runs of catkintallyctl included")
    print(f"bench control: bytes_per_s_node_13={idle[13]['bytes_per_s']:.0f} "
          f"bytes_per_s_node_26={idle[26]['bytes_per_s']:.0f} cpu_pct={idle[13]['cpu_pct']:.2f} "
          f"rss_mb={idle[13]['rss_mb']:.1f} change_in_force_ms_max={changes[-1]:.0f} "
          f"store_calls_per_s={idle[13]['store_per_s']:.1f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
