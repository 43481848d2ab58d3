"""Each check must be able to fail: feeds the checks with a broken promise of each kind."""
import unittest

from .checks import Checks, Request
from .limit_check import LimitCheck
from .loss_check import ANSWERED, BROKE_OFF, REFUSED, End, LossCheck


class Place:
    """A target as the checks see it."""
    name, service, domain = "t1", "order", "a"


def order(checks, sent_at=10.0, path="/o/1"):
    request = Request("r1", "i0", "POST", path, b"x", False, "order", sent_at)
    checks.sent(request)
    return request


CASES = {
    "twice": lambda c: (order(c), c.ran(Place, "r1", "POST", "/o/1", b"x"),
                        c.ran(Place, "r1", "POST", "/o/1", b"x")),
    "refused": lambda c: (c.ran(Place, order(c).request, "POST", "/o/1", b"x"),
                          c.answered(c.requests["r1"], 503)),
    "unasked": lambda c: c.ran(Place, "nobody", "POST", "/o/1", b"x"),
    "route": lambda c: (order(c), c.requests["r1"].__setattr__("service", "lookup"),
                        c.ran(Place, "r1", "POST", "/o/1", b"x")),
    "mixed": lambda c: c.answered(order(c), 200),
    "drain": lambda c: (c.draining("t1", 7.0), c.arrived(Place, "r1", 9.1)),
    "evacuation": lambda c: (c.evacuated.update(a=4.0), c.arrived(Place, "r1", 9.1)),
    "cold": lambda c: [c.arrived(Place, f"r{n}", 9.0 + n / 100) for n in range(12)],
    "config": lambda c: (c.routes_since.update(v1=7.0),
                         c.answered(order(c, 9.1, "/v1/1"), 404)),
    "regress": lambda c: (c.routes_since.update(v1=9.0),
                          c.answered(order(c, 9.1, "/v1/1"), 200, "t1", b"", (b"",)),
                          c.answered(c.requests["r1"], 404)),
    "crashing": lambda c: (c.sent(Request("r1", "i0", "GET", "/c", b"", True, "order", 10.0)),
                           [c.ran(Place, "r1", "GET", "/c", b"") for _ in range(7)],
                           c.crashing("/c", 9.0)),
    "lost": lambda c: c.cut(order(c), True),
    "recover": lambda c: (order(c), c.finish(9.0)),
    "limit": lambda c: (c.limits.named("t1", 1.0, 0.0), c.limits.passed_on("t1", "i0", 0.1),
                        [(c.sent(Request(f"r{n}", "i0", "GET", "/l/1", b"", True, "order", 9.0)),
                          c.arrived(Place, f"r{n}", 9.0 + n / 10)) for n in range(12)],
                        c.finish(99.0)),
    "paused": lambda c: (order(c, 8.0), c.turned_away("t1", "r1", 8.0, 3.0),
                         [c.arrived(Place, "r1", 9.0 + n / 10) for n in range(3)]),
    "leaving": lambda c: (c.passed_on_leaving("t1", "i0", 7.0), order(c, 9.1),
                          c.arrived(Place, "r1", 9.2)),
    "retries": lambda c: (order(c), [c.arrived(Place, "r1", 8 + n / 100) for n in range(60)],
                          c.finish(99.0)),
}


class ChecksTest(unittest.TestCase):
    """Guards against checks that cannot fail, and against checks that judge disturbed instances."""

    def test_each_broken_promise_is_found(self):
        for rule, feed in CASES.items():
            with self.subTest(rule):
                checks = Checks(settled_since=lambda: 0.0, cold=lambda *_: rule == "cold")
                feed(checks)
                self.assertEqual({found for found, _ in checks.violations}, {rule})

    def test_time_bounds_hold_for_settled_instances_only(self):
        for rule in ("drain", "evacuation", "config", "lost", "crashing"):
            with self.subTest(rule):
                checks = Checks(settled_since=lambda: 8.0)
                CASES[rule](checks)
                self.assertEqual(checks.violations, [])

    def test_only_requests_that_nobody_misses_are_left_out_of_recovery(self):
        for missed, rules in ((True, {"recover"}), (False, set())):
            with self.subTest(missed=missed):
                checks = Checks()
                order(checks).missed = missed
                checks.finish(9.0)
                self.assertEqual({found for found, _ in checks.violations}, rules)

    def test_a_kept_promise_is_no_violation(self):
        checks = Checks()
        request = order(checks)
        checks.arrived(Place, "r1", 10.0)
        checks.ran(Place, "r1", "POST", "/o/1", b"x")
        checks.answered(request, 200, "t1", b"ok", (b"ok",))
        checks.finish(9.0)
        self.assertEqual(checks.violations, [])


class LimitCheckTest(unittest.TestCase):
    """Guards against a check of limits that counts otherwise than the platform's rule."""

    def found(self, count=12, told=0.1, begin=9.0, changes=((0.0, 1.0),), excuse=None):
        check = LimitCheck()
        for at, limit in changes:
            check.named("t1", limit, at)
            if limit is not None:
                check.passed_on("t1", "i0", at + told)
        if excuse:
            check.excuse("i0", *excuse)
        for number in range(count):
            check.arrived("t1", "i0", begin + number / 10)
        return len(list(check.broken()))

    def test_cases(self):
        cases = [
            ("one too many", {}, 1),
            ("as many as allowed", {"count": 11}, 0),
            ("soon after the first naming", {"begin": 1.0}, 0),
            ("an instance that was not told", {"told": 8.8, "count": 11}, 0),
            ("a withdrawn limit", {"changes": ((0.0, 1.0), (8.5, None))}, 0),
            ("a raised limit", {"changes": ((0.0, 1.0), (8.0, 2.0))}, 0),
            ("a lowered limit", {"changes": ((0.0, 2.0), (5.0, 1.0))}, 1),
            ("named again", {"changes": ((0.0, 1.0), (5.0, None), (7.0, 1.0))}, 1),
            ("a paused instance", {"excuse": (5.0, 7.0)}, 0),
        ]
        for name, given, count in cases:
            with self.subTest(name):
                self.assertEqual(self.found(**given), count)


class LossCheckTest(unittest.TestCase):
    """Guards against a check of lost requests that counts otherwise than the platform's rule. Each
    case names what differs from a request that a target got in a planned stop from 10.0 on, and
    whose connection ended without an answer."""

    @staticmethod
    def found(sent=11.0, last_byte=None, ended=12.0, how="fin", own=False, deadline=3.0, timeout=9.0,
              work=11.1, worked=None, outcome=ANSWERED, behind=False, stop=10.0, reload=None,
              configuration=None, disturbed=(), lag=None, calm_count=1):
        check = LossCheck(6.0)
        if stop is not None:
            check.stopping("i0#1", stop)
        if reload is not None:
            check.reloaded("i0#1", reload)
        if configuration is not None:
            check.configured(*configuration)
        for name, begin, end in disturbed:
            check.disturbed[name].append((begin, end))
        if lag is not None:
            check.lags.append(lag)
        for number in range(calm_count):
            request = Request(f"r{number}", "i0#1", "GET", "/d/1", b"", True, "records", sent)
            request.deadline_s, request.timeout_s = deadline, timeout
            request.last_byte_at = sent if last_byte is None else last_byte
            request.behind = behind
            if work is not None:
                begun = check.began("t1", request.request, work)
                if worked is not None:
                    check.worked(begun, outcome, worked)
            check.finished(request, End(how, ended, own=own))
        return len(list(check.broken()))

    def test_cases(self):
        silent = {"work": None}
        cases = [
            ("passed on, ended by FIN", {}, 1),
            ("passed on, ended by a reset", {"how": "reset"}, 1),
            ("the caller's limit", {"how": "limit", "ended": 14.9}, 1),
            ("the caller's limit while the soak was too slow",
             {"how": "limit", "ended": 14.9, "lag": (14.0, 14.5)}, 0),
            ("its target had answered", {"worked": 11.5}, 1),
            ("sent before the signal", {"sent": 8.0, "work": 8.1, "ended": 10.2}, 1),
            ("ended 1 s after the grace", {"sent": 15.5, "work": 15.6, "ended": 16.9}, 1),
            ("ended before the signal", {"sent": 8.0, "work": 8.1, "ended": 9.9}, 0),
            ("ended long after the grace", {"sent": 16.5, "work": 16.6, "ended": 17.1}, 0),
            ("its target broke off", {"worked": 11.5, "outcome": BROKE_OFF}, 0),
            ("its target turned it away", {"worked": 11.5, "outcome": REFUSED}, 1),
            ("its target's link was disturbed", {"disturbed": [("t1", 11.2, 11.3)]}, 0),
            ("another target's link was disturbed", {"disturbed": [("t2", 11.2, 11.3)]}, 1),
            ("the instance was disturbed 2.9 s before", {"disturbed": [("i0", 8.0, 8.1)]}, 0),
            ("the instance was disturbed 3.1 s before", {"disturbed": [("i0", 7.0, 7.9)]}, 1),
            ("another instance was disturbed", {"disturbed": [("i1", 11.0, 11.1)]}, 1),
            ("the deadline was reached", {"ended": 14.0}, 0),
            ("the route's timeout was reached", {"timeout": 0.9}, 0),
            ("at work in the last sixth", {"deadline": 9.0, "ended": 15.9}, 0),
            ("at work in the last sixth, sent in the second half",
             {"sent": 13.1, "work": 13.2, "deadline": 9.0, "ended": 15.9}, 1),
            ("at work until shortly before the last sixth",
             {"deadline": 9.0, "worked": 14.9, "ended": 15.9}, 1),
            ("cut shortly before the last sixth", {"deadline": 9.0, "ended": 14.9}, 1),
            ("read and left", {**silent, "ended": 11.3}, 1),
            ("crossed the close", {**silent, "ended": 11.1}, 0),
            ("crossed the close, seen late", {**silent, "ended": 11.3, "lag": (11.1, 11.25)}, 0),
            ("read and left, seen late", {**silent, "ended": 11.5, "lag": (11.1, 11.25)}, 1),
            ("read late and left", {**silent, "last_byte": 11.9}, 0),
            ("never sent in full", {**silent, "last_byte": float("inf")}, 0),
            ("behind another, not passed on", {**silent, "behind": True}, 0),
            ("behind another, passed on", {"behind": True}, 1),
            ("an own answer beside its target's work", {"how": "answer", "own": True}, 1),
            ("an own answer behind its target's work",
             {"how": "answer", "own": True, "worked": 11.5}, 0),
            ("an own answer before any work", {**silent, "how": "answer", "own": True}, 0),
            ("an own answer at the deadline", {"how": "answer", "own": True, "ended": 14.01}, 0),
            ("an own answer in the last sixth",
             {"how": "answer", "own": True, "deadline": 9.0, "ended": 15.9}, 0),
            ("an own answer without a stop", {"how": "answer", "own": True, "stop": None}, 0),
            ("around a reload", {"stop": None, "reload": 11.5}, 1),
            ("sent long after a reload", {"stop": None, "reload": 8.0}, 0),
            ("cut before a reload", {"stop": None, "reload": 12.5}, 0),
            ("beside a configuration", {"stop": None, "configuration": (10.0, 10.1)}, 1),
            ("beside a configuration, after most of its time",
             {"stop": None, "configuration": (10.0, 10.1), "ended": 13.2}, 0),
            ("three at other times", {"stop": None, "calm_count": 3}, 0),
            ("four at other times", {"stop": None, "calm_count": 4}, 1),
        ]
        for name, given, count in cases:
            with self.subTest(name):
                self.assertEqual(self.found(**given), count)

    def test_requests_after_the_announced_end_of_a_connection_reach_no_target(self):
        check = LossCheck(6.0)
        check.after_close.add("r1")
        check.began("t1", "r1", 1.0)
        check.began("t1", "r2", 1.0)
        self.assertEqual([rule for rule, _ in check.broken()], ["after close"])

    def test_a_target_that_crashes_breaks_off_its_work(self):
        check = LossCheck(6.0)
        work = check.began("t1", "r1", 1.0)
        check.broke_off("t1", 2.0)
        check.worked(work, ANSWERED, 3.0)
        self.assertEqual((work.outcome, work.end), (BROKE_OFF, 2.0))


if __name__ == "__main__":
    unittest.main()
