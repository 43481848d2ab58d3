"""Processes that take the processors from the instances while a soak runs."""
import contextlib
import subprocess
import sys

# Ends by itself if the soak goes away.
LOOP = """
import os, time
parent, end = os.getppid(), time.monotonic() + 600
while os.getppid() == parent and time.monotonic() < end:
    sum(range(50000))
"""


@contextlib.contextmanager
def processors(count):
    """Keeps `count` busy processes."""
    running = [subprocess.Popen([sys.executable, "-c", LOOP]) for _ in range(count)]
    try:
        yield
    finally:
        for each in running:
            each.kill()
            each.wait()
