"""The promises that a soak checks, from what callers and targets see. Times are of one steady clock."""
import collections

from .limit_check import LimitCheck
from .loss_check import LossCheck
from .organisation_check import OrganisationCheck
from .work import TIMED_SERVICES

PROMISES = (408, 421, 429, 503)
# Bounds of the platform's pages; the soak passes the same ones to the instances.
DRAIN_S = 2.0
EVACUATION_S = 5.0
CONFIGURATION_S = 2.0
CONTACT_S = 3.0
# After SIGTERM the platform waits this long before it kills.
GRACE_S = 6.0
RETRY_WINDOW_S = 10.0
RETRY_RATIO = 0.2
RETRY_SLACK = 56
WARMUP_PER_S = 4.0
COLD_BOUND = WARMUP_PER_S * 1.5 + 5
# Three crashes show the cause; three more may be on their way.
MOST_CRASHES = 6
SERVED_SHARE = 0.95
# After an answer that asks for a pause, requests may still be on their way.
PAUSE_SLACK_S = 0.5


class Request:
    """One attempt of a caller."""

    def __init__(self, request, instance, method, path, body, safe, service, sent_at):
        self.request = request
        self.instance = instance
        self.method = method
        self.path = path
        self.body = body
        self.safe = safe
        # Services at which the routes in force may let it run, all versions included.
        self.service = service
        self.sent_at = sent_at
        # False if nobody misses an answer: sent on purpose to an instance that stops, or made to crash
        # its targets.
        self.missed = True
        self.runs = 0
        self.promised = False
        self.status = None
        # For the check of lost requests: the time that it has, when its last byte was sent, and its end.
        self.caller = ""
        self.deadline_s = float("inf")
        self.timeout_s = float("inf")
        self.last_byte_at = sent_at
        # Sent behind another request of its connection that had no answer yet, or after the announced end.
        self.behind = False
        self.end = None


class Checks:
    """Collects violations while a soak runs. `settled_since` tells since when neither the store nor
    an instance was disturbed; rules with a time bound hold for instances in touch only."""

    def __init__(self, settled_since=lambda: 0.0, cold=lambda target, now: False):
        self.settled_since = settled_since
        self.cold = cold
        self.violations = []
        self.requests = {}
        self.drained = {}
        self.evacuated = {}
        self.routes_since = {}
        self.routes_seen = set()
        self.arrivals = collections.defaultdict(list)
        self.firsts = collections.defaultdict(list)
        self.reached = set()
        self.cold_arrivals = collections.defaultdict(collections.deque)
        self.limits = LimitCheck()
        self.losses = LossCheck(GRACE_S)
        self.organisations = OrganisationCheck(
            self.broken, self.is_settled, self.is_instance_in_touch, CONFIGURATION_S)
        # By run of an instance: when its process was started.
        self.starts = {}
        # When an instance first passed on an answer that says that its target leaves, by both names.
        self.left = {}
        # Pauses that a target has asked an instance for, as (from, to), by both names.
        self.pauses = collections.defaultdict(list)
        self.while_paused = collections.Counter()
        # Retry-After of each 503, as text; None if it was missing.
        self.retry_after = []

    def broken(self, rule, detail):
        self.violations.append((rule, detail))

    # What callers see.

    def sent(self, request):
        self.requests[request.request] = request
        self.firsts[request.service].append(request.sent_at)

    def answered(self, request, status, signature=None, body=b"", expected=()):
        request.status = status
        if status in PROMISES:
            request.promised = True
            if not request.safe and request.runs:
                self.broken("refused", f"{request.request} got {status} and has run")
        if 200 <= status < 300:
            if signature is None:
                self.broken("mixed", f"{request.request} got {status} that no target gave")
            elif body not in expected:
                self.broken("mixed", f"{request.request} got another body")
        self.check_route(request, status)
        self.organisations.answered(request, status, signature is None)

    def check_route(self, request, status):
        """A route that was added is found two seconds later, and for good once it was found."""
        since = self.routes_since.get(request.path.split("/")[1])
        if since is None:
            return
        seen = (request.instance, request.path.split("/")[1])
        if 200 <= status < 300:
            self.routes_seen.add(seen)
        elif status == 404 and seen in self.routes_seen:
            self.broken("regress", f"{request.instance} forgot the route of {request.path}")
        elif status == 404 and self.in_force(since, request.sent_at, CONFIGURATION_S):
            self.broken("config", f"{request.instance} does not know {request.path} "
                                  f"{request.sent_at - since:.1f} s after its acknowledgement")

    def cut(self, request, stopping):
        """A whole request was read and its connection ended without an answer."""
        if stopping and request.sent_at - self.settled_since() >= CONTACT_S:
            self.broken("lost", f"{request.request} was cut by the planned stop of "
                                f"{request.instance}")

    def passed_on_leaving(self, target, instance, now):
        self.left.setdefault((target, instance), now)

    # What targets see.

    def turned_away(self, target, request, now, pause_s):
        known = self.requests.get(request)
        if known is not None:
            self.pauses[(target, known.instance)].append((now + PAUSE_SLACK_S, now + pause_s))

    def count_paused(self, target, instance, now):
        """Requests within a pause; more than two break the rule, whatever the pause."""
        for number, (begin, end) in enumerate(self.pauses[(target, instance)]):
            if begin < now < end and not self.limits.is_excused(instance, now) and \
                    not self.limits.is_excused(target, now):
                key = (target, instance, number)
                self.while_paused[key] += 1
                if self.while_paused[key] == 3:
                    self.broken("paused", f"{target} got three requests from {instance} within "
                                          f"the pause that it had asked for")

    def arrived(self, target, request, now):
        self.arrivals[target.service].append((now, request in self.reached))
        self.reached.add(request)
        if request in self.requests:
            known = self.requests[request]
            self.limits.arrived(target.name, known.instance, now)
            self.count_paused(target.name, known.instance, now)
            since = self.left.get((target.name, known.instance))
            if since is not None and known.sent_at - since > DRAIN_S:
                self.broken("leaving", f"{request} was sent {known.sent_at - since:.1f} s after "
                                       f"{known.instance} passed on that {target.name} leaves")
        since = self.drained.get(target.name)
        if since is not None and self.in_force(since, now, DRAIN_S) and \
                self.is_in_touch(target, request, now):
            self.broken("drain", f"{request} reached {target.name} {now - since:.1f} s after it "
                                 "drained")
        since = self.evacuated.get(target.domain)
        if since is not None and self.in_force(since, now, EVACUATION_S) and \
                self.is_in_touch(target, request, now):
            self.broken("evacuation", f"{request} reached {target.domain} {now - since:.1f} s "
                                      "after it was taken out")
        if self.cold(target, now):
            recent = self.cold_arrivals[target.name]
            recent.append(now)
            while recent[0] <= now - 1.0:
                recent.popleft()
            if len(recent) > COLD_BOUND:
                self.broken("cold", f"{target.name} got {len(recent)} requests in a second")

    def ran(self, target, request, method, path, body):
        known = self.requests.get(request)
        if known is None:
            self.broken("unasked", f"{target.name} ran {request!r} ({method} {path}), which nobody sent")
            return
        known.runs += 1
        if (method, path, body) != (known.method, known.path, known.body):
            self.broken("unasked", f"{request} ran with another method, path or body")
        if target.service not in known.service.split("|"):
            self.broken("route", f"{request} ran at {target.service}")
        if not known.safe and known.runs > 1:
            self.broken("twice", f"{request} ran {known.runs} times")
        if not known.safe and known.promised:
            self.broken("refused", f"{request} runs after its refusal")

    # What operators do.

    def draining(self, target, now):
        self.drained[target] = now

    def in_force(self, since, now, bound):
        """The bound has passed, and the instances were in touch all the while."""
        return now - since > bound and since - self.settled_since() >= CONTACT_S

    def is_settled(self, since, now, bound):
        """The bound has passed since the change, or since instances that were out of touch are in
        touch again."""
        return now - max(since, self.settled_since() + CONTACT_S) > bound

    def is_instance_in_touch(self, instance, now):
        """False if the instance was started or got SIGTERM in the last CONTACT_S."""
        return all(now - at > CONTACT_S for at in (self.losses.stops.get(instance, -CONTACT_S),
                                                   self.starts.get(instance, -CONTACT_S)))

    def is_in_touch(self, target, request, now):
        """False if the instance that sent a request of a caller around planned stops was started or
        got SIGTERM in the last CONTACT_S: seed 42 of the planned stops, started 2.5 s before."""
        known = self.requests.get(request)
        return target.service not in TIMED_SERVICES or known is None or \
            self.is_instance_in_touch(known.instance, now)

    def crashing(self, path, began):
        """A request that crashes its targets was sent many times since `began`."""
        crashes = sum(each.runs for each in self.requests.values() if each.path == path)
        if crashes > MOST_CRASHES and began - self.settled_since() >= CONTACT_S:
            self.broken("crashing", f"{path} crashed {crashes} targets")

    # At the end.

    def finish(self, calm_from):
        """Checks that need the whole run. Requests sent after `calm_from` must be served."""
        for service, arrivals in self.arrivals.items():
            firsts = [at for name, times in self.firsts.items() if service in name.split("|")
                      for at in times]
            self.check_retries(service, arrivals, firsts)
        for detail in self.limits.broken():
            self.broken("limit", detail)
        for rule, detail in self.losses.broken():
            self.broken(rule, detail)
        calm = [each for each in self.requests.values() if each.sent_at >= calm_from and each.missed]
        served = sum(each.status is not None and 200 <= each.status < 300 for each in calm)
        if served < SERVED_SHARE * len(calm):
            self.broken("recover", f"{served} of {len(calm)} requests served after the faults")

    def check_retries(self, service, arrivals, firsts):
        repeats = [at for at, repeated in arrivals if repeated]
        for end in repeats:
            begin = end - RETRY_WINDOW_S
            count = sum(begin < at <= end for at in repeats)
            requests = max(
                sum(begin - shift < at <= end - shift for at in firsts)
                for shift in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S))
            if count > RETRY_RATIO * requests + RETRY_SLACK:
                self.broken("retries", f"{service} got {count} repeats for {requests} requests")
                return
