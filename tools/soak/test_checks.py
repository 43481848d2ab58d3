"""Each check must be able to fail: feeds the checks with a broken promise of each kind."""
import unittest

from .checks import Checks, Request


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

    def test_a_kept_promise_is_no_violation(self):
        checks = Checks()
        request = order(checks)
        checks.arrived(Place, "r1", 10.0)
        checks.ran(Place, "r1", "POST", "/o/1", b"x")
        checks.answered(request, 200, "t1", b"ok", (b"ok",))
        checks.finish(9.0)
        self.assertEqual(checks.violations, [])


if __name__ == "__main__":
    unittest.main()
