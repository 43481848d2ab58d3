"""Whether targets got more requests than the limits that they named allow.

Counts as the platform's rule does: in any 4 s, from CONTACT_S after a target first named a limit, it
gets at most one and a half times what the limit allows and 5 requests more, summed over the instances
that had passed on such an answer half a second before or earlier. A restart, freeze or cut of an
instance excuses that instance.
"""
import bisect
import collections

WINDOW_S = 4.0
CONTACT_S = 3.0
TOLD_S = 0.5
FACTOR = 1.5
SLACK = 5
# A changed limit binds those that have heard of it; the target's answers need this long to tell them.
CHANGE_S = 1.0


def allowed(limit):
    """Requests in one window."""
    return FACTOR * limit * WINDOW_S + SLACK


class LimitCheck:
    """Collects what targets name and get; judged at the end."""

    def __init__(self):
        # By target: (time, limit or None) of each change.
        self.changes = collections.defaultdict(list)
        # By target and instance: when the instance first passed on a limit after the last naming.
        self.told = {}
        # By target: (time, instance, time when the instance was told).
        self.arrivals = collections.defaultdict(list)
        # Spans in which an instance, or a target's link, is excused: name to list of (from, to).
        self.excused = collections.defaultdict(list)

    def named(self, target, limit, now):
        """The target names another limit from now on; None names none."""
        changes = self.changes[target]
        if not changes or changes[-1][1] is None:
            for key in [key for key in self.told if key[0] == target]:
                del self.told[key]
        changes.append((now, limit))

    def passed_on(self, target, instance, now):
        """The instance gave a caller an answer of the target that names a limit."""
        self.told.setdefault((target, instance), now)

    def arrived(self, target, instance, now):
        told = self.told.get((target, instance))
        if told is not None and told <= now - TOLD_S:
            self.arrivals[target].append((now, instance))

    def excuse(self, name, begin, end):
        """An instance or the link of a target was disturbed; it counts again CONTACT_S later."""
        self.excused[name].append((begin, end + CONTACT_S))

    def is_excused(self, name, now):
        return any(begin <= now <= end for begin, end in self.excused.get(name, ()))

    def limit_in(self, target, begin, end):
        """The highest limit that held in a window; None if there was a moment without one."""
        highest = None
        for index, (at, limit) in enumerate(self.changes[target]):
            until = (self.changes[target][index + 1][0] if index + 1 < len(self.changes[target])
                     else float("inf"))
            if at <= end and until + CHANGE_S >= begin:
                if limit is None:
                    return None
                highest = max(highest or 0.0, limit)
        return highest

    def broken(self):
        """One text for each target that got too much, about the worst window."""
        for target, arrivals in self.arrivals.items():
            if not self.changes[target]:
                continue
            first = next(at for at, limit in self.changes[target] if limit is not None)
            counted = [at for at, instance in arrivals
                       if not self.is_excused(instance, at) and not self.is_excused(target, at)]
            worst = None
            for index, begin in enumerate(counted):
                if begin < first + CONTACT_S:
                    continue
                limit = self.limit_in(target, begin, begin + WINDOW_S)
                count = bisect.bisect_right(counted, begin + WINDOW_S) - index
                if limit is not None and count > allowed(limit):
                    worst = max(worst or (0,), (count - allowed(limit), count, limit, begin - first))
            if worst:
                yield (f"{target} got {worst[1]} requests in {WINDOW_S:g} s, {worst[3]:.1f} s after "
                       f"it first named a limit, now {worst[2]:g} a second; allowed "
                       f"{allowed(worst[2]):g}")
