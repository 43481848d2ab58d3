"""Processors that the instances share with busy processes, as on machines that they have a part of."""
import os
import subprocess
import sys

# One processor for so many instances.
SHARED_BY = 5
# Ends by itself if the soak goes away.
LOOP = """
import os, time
parent, end = os.getppid(), time.monotonic() + 600
while os.getppid() == parent and time.monotonic() < end:
    sum(range(50000))
"""


class Processors:
    """Keeps `count` busy processes on each of a few processors, to which instances are bound. With
    no busy processes the instances are not bound."""

    def __init__(self, count, instances, slot):
        free = sorted(os.sched_getaffinity(0))
        used = min(len(free) - 1, -(-instances // SHARED_BY)) if count else 0
        self.shared = [free[-1 - (slot + number) % len(free)] for number in range(used)]
        self.running = []
        for processor in self.shared:
            for _ in range(count):
                process = subprocess.Popen([sys.executable, "-c", LOOP])
                os.sched_setaffinity(process.pid, {processor})
                self.running.append(process)

    def bind(self, process, number):
        if self.shared:
            os.sched_setaffinity(process.pid, {self.shared[number % len(self.shared)]})

    def stop(self):
        for each in self.running:
            each.kill()
            each.wait()
