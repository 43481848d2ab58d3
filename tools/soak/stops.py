"""Planned stops in series and beside each other, with further signals and planned work in them."""
import asyncio
import signal
import time

from . import faults
from .half_closing_stop_caller import HalfClosingStopCaller
from .late_reading_stop_caller import LateReadingStopCaller
from .late_stop_caller import LateStopCaller
from .parts_stop_caller import PartsStopCaller
from .pipelining_stop_caller import PipeliningStopCaller
from .slow_reading_stop_caller import SlowReadingStopCaller

CALLER_KINDS = (PipeliningStopCaller, PipeliningStopCaller, SlowReadingStopCaller,
                LateReadingStopCaller, PartsStopCaller, LateStopCaller, HalfClosingStopCaller)
# Callers of one stop.
MOST_CALLERS = 6
# Shares of stops just after a reload, and just after the process started.
RELOADED_SHARE, STARTING_SHARE = 0.3, 0.2
# Longest wait until a process that starts handles signals.
STARTING_S = 1.0


async def planned_stop(world, instance, pick):
    """One planned stop with callers of its own, from up to two seconds before the signal."""
    async with world.holding(instance):
        if instance.ended or world.stopped:
            return
        await stop_with_callers(world, instance, pick, pick.uniform(0.1, 2.0))
        instance.start()
        while not world.stopped and pick.random() < STARTING_SHARE:
            begin = time.monotonic()
            while not instance.handles(signal.SIGTERM) and time.monotonic() < begin + STARTING_S:
                await asyncio.sleep(0.005)
            await stop_with_callers(world, instance, pick, pick.uniform(0.0, 0.5))
            instance.start()


async def stop_with_callers(world, instance, pick, lead_s):
    kinds = [pick.choice(CALLER_KINDS) for _ in range(pick.randint(2, MOST_CALLERS))]
    callers = [asyncio.create_task(kind(world, instance, pick).run()) for kind in kinds]
    extra = asyncio.create_task(further_signals(instance, pick))
    try:
        await asyncio.sleep(lead_s)
        if pick.random() < RELOADED_SHARE and instance.handles(signal.SIGHUP):
            instance.hang_up()
            await asyncio.sleep(pick.choice((0.0, 0.01, 0.1)))
        begin = time.monotonic()
        world.log(f"SIGTERM to {instance.run_name}")
        await instance.stop()
        world.log(f"{instance.run_name} ended with {instance.process.returncode} after "
                  f"{time.monotonic() - begin:.2f} s")
        await asyncio.gather(*callers)
    finally:
        for each in callers + [extra]:
            each.cancel()
        await asyncio.gather(*callers, extra, return_exceptions=True)


async def further_signals(instance, pick):
    """SIGHUPs and second SIGTERMs around a stop."""
    for _ in range(pick.choice((0, 0, 1, 3))):
        await asyncio.sleep(pick.uniform(0.0, 3.0))
        number = pick.choice((signal.SIGHUP, signal.SIGTERM))
        if number == signal.SIGHUP and instance.handles(number):
            instance.hang_up()
        elif number == signal.SIGTERM and instance.stopping:
            instance.signal(number)


async def timed_target_replaced(world, pick):
    """Drains and ends; its successor starts cold."""
    target = pick.choice(world.timed_targets)
    async with world.holding(target):
        if target.up:
            await target.leave()
            await target.start(cold_s=3.0)


async def timed_target_unlisted(world, pick):
    """Its entry goes without a farewell; it serves on for a while, and starts anew."""
    target = pick.choice(world.timed_targets)
    async with world.holding(target):
        if target.up:
            await target.leave_unlisted()
            await target.start(cold_s=3.0)


async def timed_target_crashes(world, pick):
    target = pick.choice(world.timed_targets)
    async with world.holding(target):
        if target.up:
            target.crash()
            await asyncio.sleep(pick.uniform(0.2, 2.0))
            await target.remove()
            await target.start(cold_s=3.0)


BESIDE = (timed_target_replaced, timed_target_replaced, timed_target_unlisted, timed_target_crashes,
          faults.domain_evacuated, faults.configuration_changes)


class StopSeries:
    """Runs planned stops and other planned work until it is cancelled."""

    def __init__(self, world, pick, pause):
        self.world = world
        self.pick = pick
        # Mean seconds between groups of stops.
        self.pause = pause
        self.running = set()

    def begin(self, work):
        task = asyncio.create_task(work)
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    async def run(self):
        beside = asyncio.create_task(self.run_beside())
        try:
            while True:
                self.begin_stops()
                await asyncio.sleep(self.pick.expovariate(1 / self.pause))
        finally:
            for each in [beside, *self.running]:
                each.cancel()
            await asyncio.gather(beside, *self.running, return_exceptions=True)

    def begin_stops(self):
        """Stops a few at the same time, and about half of the instances at most."""
        instances = self.world.instances
        free = [each for each in instances if not each.ended and each.ready]
        ended = sum(each.ended for each in instances)
        count = min(self.pick.choice((1, 1, 1, 2, 2, 3)), len(free),
                    max(0, (len(instances) + 1) // 2 - ended))
        for instance in self.pick.sample(free, count):
            self.begin(planned_stop(self.world, instance, self.pick))

    async def run_beside(self):
        while True:
            await asyncio.sleep(self.pick.expovariate(1 / self.pause))
            self.begin(self.pick.choice(BESIDE)(self.world, self.pick))
