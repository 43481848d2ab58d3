"""The faults of a soak. Each is a coroutine that disturbs the world and puts it right again."""
import asyncio
import contextlib
import signal
import time

from .callers import Caller, PipeliningCaller
from .targets import CRASHING_PATH

# Limits that targets name, in requests a second.
LIMITS = (0.5, 1.0, 1.1, 1.5, 3.0, 8.0, 40.0, 300.0)
# At most one target in so many of a service is limited at a time, and one alone after the faults:
# in seeds 4000 and 4049 nearly all targets were limited, evacuated, cold or crashed.
LIMITED_PART = 3


async def instance_killed(world, pick):
    instance = pick.choice(world.instances)
    async with world.holding(instance):
        with world.checks.losses.disturbing(instance.name):
            instance.kill()
            await asyncio.sleep(pick.uniform(0.1, 1.5))
            instance.start()


async def herd_killed(world, pick):
    herd = pick.sample(world.instances, len(world.instances) - pick.randint(0, 1))
    with contextlib.ExitStack() as disturbing:
        for instance in herd:
            async with world.holding(instance):
                disturbing.enter_context(world.checks.losses.disturbing(instance.name))
                instance.kill()
        await asyncio.sleep(pick.uniform(0.1, 1.0))
        for instance in herd:
            async with world.holding(instance):
                if instance.ended:
                    instance.start()


async def instance_paused(world, pick):
    instance = pick.choice(world.instances)
    async with world.holding(instance):
        begin = time.monotonic()
        with world.checks.losses.disturbing(instance.name):
            instance.signal(signal.SIGSTOP)
            await asyncio.sleep(pick.uniform(0.2, 4.0))
            instance.signal(signal.SIGCONT)
        # A process that is paused before main() is still being loaded when it goes on (seed 4000).
        instance.started_at += time.monotonic() - begin
        world.checks.limits.excuse(instance.run_name, begin, time.monotonic())


async def instance_restarted(world, pick):
    instance = pick.choice(world.instances)
    async with world.holding(instance):
        await instance.stop()
        instance.start()


async def settings_reloaded(world, pick):
    instance = pick.choice(world.instances)
    # Seeds 202, 7014 and 7031: before main() nothing can keep the signal from ending the process, and
    # beside other work a process may be loaded for longer than any fixed time.
    if instance.handles(signal.SIGHUP):
        instance.hang_up()


async def store_link_harmed(world, pick):
    """One instance, or a few, reach the store badly or not at all."""
    proxies = [each.store_proxy for each in
               pick.sample(world.instances, pick.randint(1, len(world.instances) - 1))]
    await harm(proxies, pick)


async def target_link_harmed(world, pick):
    target = pick.choice(world.targets)
    begin = time.monotonic()
    with world.checks.losses.disturbing(target.name):
        await harm([target.proxy], pick)
    # Requests that the link held back arrive together.
    world.checks.limits.excuse(target.name, begin, time.monotonic())


async def harm(proxies, pick):
    mode = pick.choice(("delay", "silent", "no_requests", "no_answers", "refuse", "reset"))
    span = pick.uniform(0.3, 4.0)
    for proxy in proxies:
        if mode in ("reset", "refuse"):
            proxy.reset_open()
        if mode != "reset":
            proxy.mode = mode
            proxy.delay = pick.uniform(0.05, 0.8)
    await asyncio.sleep(span)
    for proxy in proxies:
        if proxy.mode == mode:
            proxy.mode = "ok"
            # What was held back is lost, so these connections can't go on.
            proxy.reset_open()


async def store_fails(world, pick):
    switch = pick.choice(({"outage": True}, {"silent": True}, {"slow_ms": 600},
                          {"lose_answer_percent": 40}))
    await world.control(**switch)
    await asyncio.sleep(pick.uniform(0.5, 5.0))
    await world.control(**{name: False if value is True else 0 for name, value in switch.items()})


async def store_forgets(world, pick):
    await world.control(forget_history=True)


async def store_returns_from_copy(world, pick):
    """The store comes back as it was some seconds ago; its writers write again."""
    async with world.holding("copy"):
        await world.control(save_copy=True)
        await asyncio.sleep(pick.uniform(0.5, 5.0))
        await world.control(outage=True)
        await asyncio.sleep(pick.uniform(0.2, 2.0))
        await world.control(return_from_copy=True, outage=False)
        await asyncio.sleep(pick.uniform(0.0, 1.0))
        await world.write_again()


async def target_repeats_refusals(world, pick):
    await set_for_a_while(pick.choice(world.targets), pick, shed=0.5, stale=0.7)


async def target_leaves_by_answers(world, pick):
    """A target says only in its answers that it leaves, serves on for a while and ends."""
    target = pick.choice(world.targets)
    async with world.holding(target):
        if not target.up:
            return
        target.leaving = True
        await asyncio.sleep(5.0)
        if target.up:
            target.crash()
        await target.remove()
        await target.start(cold_s=3.0)


async def target_asks_for_a_pause(world, pick):
    """Turns everything away for a while, and asks for a pause with each answer."""
    target = pick.choice(world.targets)
    async with world.holding(target):
        if target.up:
            target.pause_s = pick.uniform(0.8, 3.0)
            await asyncio.sleep(pick.uniform(0.1, 4.0))
            target.pause_s = 0.0


async def target_cuts_heads(world, pick):
    await set_for_a_while(pick.choice(world.targets), pick, cut_head=0.3)


async def set_for_a_while(target, pick, **shares):
    for name, value in shares.items():
        setattr(target, name, value)
    await asyncio.sleep(pick.uniform(0.5, 4.0))
    for name in shares:
        setattr(target, name, 0.0)


async def requests_late_in_grace(world, pick):
    """Pipelining callers keep an instance busy until its planned stop ends."""
    instance = pick.choice(world.instances)
    async with world.holding(instance):
        if instance.ended or not instance.ready:
            return
        caller = PipeliningCaller(world, 2000 + pick.randrange(1 << 14), instance, pick)
        running = asyncio.create_task(caller.run())
        try:
            await asyncio.sleep(0.2)
            await instance.stop()
            await running
        finally:
            # At the end of a soak the instance is killed in the middle of its stop (seed 7013).
            running.cancel()
        instance.start()


async def target_crashes(world, pick):
    target = pick.choice(world.targets)
    async with world.holding(target):
        if target.up:
            target.crash()
            await asyncio.sleep(pick.uniform(0.2, 3.0))
            await target.remove()
            await target.start(cold_s=3.0)


async def target_goes_dark(world, pick):
    target = pick.choice(world.targets)
    async with world.holding(target):
        with world.checks.losses.disturbing(target.name):
            target.proxy.mode = "silent"
            await asyncio.sleep(pick.uniform(0.5, 3.0))
            target.proxy.mode = "ok"
            target.proxy.reset_open()


async def target_misbehaves(world, pick):
    target = pick.choice(world.targets)
    name, value = pick.choice((("slowdown", 6.0), ("shed", 0.5), ("lose", 0.3), ("surplus", 0.3)))
    usual = {"slowdown": 1.0}.get(name, 0.0)
    setattr(target, name, value)
    await asyncio.sleep(pick.uniform(0.5, 4.0))
    setattr(target, name, usual)


async def target_names_limits(world, pick):
    """Names a limit, changes it a few times, withdraws it and perhaps names it again."""
    target = pick.choice(world.targets)

    def too_many():
        """More targets of the service are limited than leave room for the callers' work."""
        same_service = [each for each in world.targets if each.service == target.service]
        limited = sum(each.limit is not None for each in same_service if each is not target)
        return limited >= (1 if world.recovering else len(same_service) // LIMITED_PART)

    if target.limit is not None or too_many():
        return
    incarnation = target.incarnation
    limits = [pick.choice(LIMITS) for _ in range(pick.randint(1, 3))]
    if pick.random() < 0.3:
        limits += [None, pick.choice(LIMITS)]
    for limit in limits + [None]:
        if target.incarnation != incarnation:
            return
        target.set_limit(None if too_many() else limit)
        await asyncio.sleep(pick.uniform(1.0, 8.0))


async def target_replaced(world, pick):
    """A planned departure; its successor starts cold at the same address."""
    target = pick.choice(world.targets)
    async with world.holding(target):
        if target.up:
            await target.leave()
            await target.start(cold_s=3.0)


async def domain_evacuated(world, pick):
    domain = pick.choice(world.domains)
    async with world.holding("evacuations"):
        if world.checks.evacuated or not await world.store("evacuations", domain, {}):
            return
        world.checks.evacuated[domain] = time.monotonic()
    await asyncio.sleep(pick.uniform(1.0, 8.0))
    async with world.holding("evacuations"):
        # The callers' requests under way may still arrive, so the bound ends before the recall.
        del world.checks.evacuated[domain]
        await world.remove_until_gone("evacuations", domain)


async def crashing_request(world, pick):
    """A caller sends the same request again and again, to any instance; it crashes its targets."""
    path = f"{CRASHING_PATH}-{pick.randrange(1 << 30)}"
    began = time.monotonic()
    caller = Caller(world, 1000 + pick.randrange(1 << 14))
    for _ in range(12):
        await caller.attempt("GET", path, b"", True, "lookup", time.monotonic() + 1.5)
        await caller.close()
        await asyncio.sleep(0.4)
    world.checks.crashing(path, began)


async def configuration_changes(world, pick):
    await world.configure()


# Work of operators and callers that leaves instances and store undisturbed.
PLANNED = (instance_restarted, settings_reloaded, target_replaced, domain_evacuated,
           configuration_changes, crashing_request)
# Those after which instances count as disturbed until some time later.
DISTURBING = (instance_killed, herd_killed, instance_paused, store_link_harmed, store_fails,
              store_forgets, store_returns_from_copy)
UNPLANNED = DISTURBING[:-1] + (target_link_harmed, target_crashes, target_goes_dark, target_misbehaves)
# Drawn by a generator of their own, so that the seeds of the others stay what they were.
INCIDENTS = (store_returns_from_copy, target_repeats_refusals, target_cuts_heads,
             requests_late_in_grace, target_leaves_by_answers, target_asks_for_a_pause)
CALM_INCIDENTS = (requests_late_in_grace,)
