"""Whether requests ended without a whole answer around planned work, judged at the end of a run.

A request counts if it was sent and ended around a SIGTERM or SIGHUP of the instance that took it,
or a change of configuration, and if that instance was undisturbed from CONTACT_S before the request
to its end. Other planned work and faults of the store or of other instances excuse nothing.
"""
import collections
import contextlib
import time

CONTACT_S = 3.0
# A stop counts until so long after the end of the grace.
AFTER_GRACE_S = 1.0
# A request that crosses the close of its connection is refused without an answer.
CROSSING_S = 0.2
APPLY_S = 2.0
# A caller's limit is not judged if this process had no time for so long meanwhile.
LIMIT_LAG_S = 0.2
# An answer is due so long after the deadline at the latest.
OVERDUE_S = 0.5
# Of a request's time; beside a change of configuration, a longer wait excuses its end.
USED_SHARE = 0.7
CONFIGURATION_FACTOR = 3.0
# Requests of kept connections that an undisturbed instance may leave without an answer at other times.
MOST_AT_OTHER_TIMES = 3

ANSWERED, REFUSED, BROKE_OFF = "answered", "refused", "broke off"


class Work:
    """One arrival of a request at a target."""

    def __init__(self, target, request, begin):
        self.target = target
        self.request = request
        self.begin = begin
        # None while the target is at work.
        self.end = None
        self.outcome = None

    def lasts_at(self, now):
        return self.begin <= now and (self.end is None or self.end > now)


class End:
    """How a request ended for its caller: by an `answer`, by the end of its connection as `fin` or
    `reset`, or at the caller's own `limit`."""

    def __init__(self, how, at, own=False, process_gone=False):
        self.how = how
        self.at = at
        # The answer is the instance's own, not a target's.
        self.own = own
        self.process_gone = process_gone

    def __str__(self):
        how = "own answer" if self.own else self.how
        return how + (" (process gone)" if self.process_gone else "")


class LossCheck:
    """Collects what callers, targets and the soak's own signals do."""

    def __init__(self, grace_s):
        self.grace_s = grace_s
        # By run of an instance: times of signals.
        self.stops = {}
        self.reloads = collections.defaultdict(list)
        # (sent, acknowledged) of each configuration.
        self.configurations = []
        # By name of an instance's place, or of a target: (begin, end).
        self.disturbed = collections.defaultdict(list)
        # Spans in which this process had no time for its callers.
        self.lags = []
        self.works = collections.defaultdict(list)
        self.ended = []
        # Requests sent after their caller had read `Connection: close`, and those that targets got.
        self.after_close = set()
        self.passed_on_after_close = []
        # Times of the first and last request.
        self.first, self.last = float("inf"), float("-inf")

    # What the soak does.

    def stopping(self, run, now):
        """The first SIGTERM of a run."""
        self.stops.setdefault(run, now)

    def reloaded(self, run, now):
        self.reloads[run].append(now)

    def configured(self, sent, acknowledged):
        self.configurations.append((sent, acknowledged))

    @contextlib.contextmanager
    def disturbing(self, name):
        """An unplanned disturbance of an instance's place, or of a target or its link."""
        begin = time.monotonic()
        try:
            yield
        finally:
            self.disturbed[name].append((begin, time.monotonic()))

    # What targets see.

    def began(self, target, request, now):
        work = Work(target, request, now)
        self.works[request].append(work)
        if request in self.after_close:
            self.passed_on_after_close.append(work)
        return work

    def worked(self, work, outcome, now):
        if work.end is None:
            work.end, work.outcome = now, outcome

    def broke_off(self, target, now):
        """The target ended with whatever it had at work."""
        for works in self.works.values():
            for work in works:
                if work.target == target:
                    self.worked(work, BROKE_OFF, now)

    # What callers see.

    def finished(self, request, end):
        """A request has its whole answer, or will get none any more."""
        if request.end is None:
            request.end = end
            self.first, self.last = min(self.first, request.sent_at), max(self.last, end.at)
            if end.how != "answer" or end.own:
                self.ended.append(request)

    # Judgement.

    def broken(self):
        """Pairs of rule and detail."""
        for work in self.passed_on_after_close:
            yield "after close", (f"{work.request} reached {work.target} though it was sent after an "
                                  "answer that closes the connection")
        missing = [each for each in self.ended if self.is_missing(each)]
        at_other_times = collections.Counter()
        near_configurations = collections.defaultdict(list)
        for request in missing:
            kind = self.planned_kind(request)
            if kind is not None:
                yield "lost", self.describe(request, kind)
            elif request.end.own:
                continue
            elif self.near_configuration(request):
                if request.end.at - request.sent_at < USED_SHARE * time_of(request):
                    near_configurations[request.instance].append(request)
            elif self.works[request.request]:
                at_other_times[request.instance] += 1
        for run, count in at_other_times.items():
            if count > MOST_AT_OTHER_TIMES:
                yield "lost", f"{run} left {count} requests that a target got without an answer"
        for run, requests in near_configurations.items():
            if self.is_configuration_worse(len(requests), at_other_times[run]):
                yield "lost", (f"{at_other_times[run]} without an answer at other times; " +
                               self.describe(requests[0], f"1 of {len(requests)} beside changes of "
                                                          "configuration"))

    def is_configuration_worse(self, count, otherwise):
        """Compares the rates beside changes of configuration and at other times."""
        inside = self.configuration_seconds()
        outside = max(0.0, self.span() - inside)
        return otherwise == 0 or count * outside > CONFIGURATION_FACTOR * otherwise * inside

    def configuration_seconds(self):
        total, covered = 0.0, float("-inf")
        for sent, acknowledged in sorted(self.configurations):
            end = acknowledged + APPLY_S + AFTER_GRACE_S
            total += max(0.0, end - max(sent, covered))
            covered = max(covered, end)
        return total

    def is_missing(self, request):
        """No whole answer, and nothing that excuses it."""
        end, works = request.end, self.works[request.request]
        if self.is_disturbed(request.instance.partition("#")[0], request.sent_at - CONTACT_S, end.at):
            return False
        if end.own:
            return self.at_work(request, end.at) and end.at < request.sent_at + time_of(request)
        if end.how == "limit":
            return (bool(works) and not self.target_failed(request) and
                    self.lag(request.sent_at, end.at) < LIMIT_LAG_S)
        if works:
            return not (self.target_failed(request) or end.at >= request.sent_at + time_of(request) or
                        self.is_late_work(request))
        return (request.last_byte_at is not None and not request.behind and
                end.at - request.last_byte_at - self.lag(request.last_byte_at, end.at) > CROSSING_S)

    def span(self):
        """Seconds from the first request to the end of the last."""
        return max(0.0, self.last - self.first)

    def lag(self, begin, end):
        """Seconds of a span in which the soak itself could not have seen the end."""
        return sum(max(0.0, min(end, until) - max(begin, since)) for since, until in self.lags)

    def target_failed(self, request):
        """The last target that got the request broke off, or its link was disturbed."""
        works = self.works[request.request]
        last = max(works, key=lambda each: each.begin)
        return last.outcome == BROKE_OFF or any(
            self.is_disturbed(each.target, each.begin, request.end.at) for each in works)

    def at_work(self, request, now):
        """A sound target is at work on the request, and not excused by the end of the grace."""
        lasting = [each for each in self.works[request.request] if each.lasts_at(now)]
        return bool(lasting) and not self.target_failed(request) and not self.is_late_work(request)

    def is_late_work(self, request):
        """The target was still at work in the last sixth of the grace."""
        begin = self.stops.get(request.instance)
        if begin is None or request.sent_at > begin + self.grace_s / 2:
            return False
        sixth = begin + self.grace_s * 5 / 6
        return any(each.lasts_at(max(sixth, each.begin)) and each.begin <= begin + self.grace_s
                   for each in self.works[request.request]) and request.end.at >= sixth

    def is_disturbed(self, name, begin, end):
        return any(since <= end and until >= begin for since, until in self.disturbed.get(name, ()))

    def planned_kind(self, request):
        """The planned work of the instance around which the request ended, or None."""
        stopped = self.stops.get(request.instance)
        if stopped is not None and stopped <= request.end.at <= stopped + self.grace_s + AFTER_GRACE_S:
            return "SIGTERM"
        if not request.end.own and any(request.sent_at <= at + APPLY_S and request.end.at >= at
                                       for at in self.reloads[request.instance]):
            return "SIGHUP"
        return None

    def near_configuration(self, request):
        return any(sent <= request.end.at <= acknowledged + APPLY_S + AFTER_GRACE_S
                   for sent, acknowledged in self.configurations)

    def describe(self, request, kind):
        since = self.stops.get(request.instance, max(self.reloads[request.instance], default=0.0))
        works = ", ".join(
            f"{each.target} {each.begin - since:.3f}.." +
            ("at work" if each.end is None else f"{each.end - since:.3f} {each.outcome}")
            for each in self.works[request.request]) or "not passed on"
        return (f"{request.request} {request.caller} {request.method} {request.path} of "
                f"{request.instance}: {request.end}, {kind}, sent {request.sent_at - since:.3f}, "
                f"end {request.end.at - since:.3f}, deadline {request.deadline_s:.2f} s; {works}")


def time_of(request):
    """The request's time: its deadline or its route's timeout."""
    return min(request.deadline_s, request.timeout_s)
