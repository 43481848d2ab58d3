"""The check of organisations must be able to fail, and judges no request that may be in transit."""
import unittest

from .checks import Checks, Request
from .organisation_check import Access, Key


def key(proposed=1.0, accepted=1.0, withdrawing=None, withdrawn=None):
    made = Key("secret", "one")
    made.proposed_at, made.accepted_at = proposed, accepted
    made.withdrawing_at, made.withdrawn_at = withdrawing, withdrawn
    return made


NEVER = {"proposed": None, "accepted": None}
GONE = {"withdrawing": 10.0, "withdrawn": 10.1}
NAMED = {"x-catkintally-tenant": "one"}


class OrganisationCheckTest(unittest.TestCase):
    """Guards against a check that cannot fail."""

    @staticmethod
    def checks(settled_since=0.0, enabled=True):
        checks = Checks(settled_since=lambda: settled_since)
        checks.organisations.enabled = enabled
        return checks

    @staticmethod
    def ask(checks, access, at=20.0):
        request = Request("r1", "i0#1", "GET", "/l/1", b"", True, "lookup", at)
        checks.sent(request)
        checks.organisations.sent(request, access)
        return request

    def test_arrivals(self):
        cases = [
            ("with a valid key", key(), NAMED, 20.0, 0.0, []),
            ("without the name", key(), {}, 20.0, 0.0, ["unasked"]),
            ("for another organisation", key(), {"x-catkintally-tenant": "two"}, 20.0, 0.0,
             ["unasked"]),
            ("for two", key(), {"x-catkintally-tenant": "two, one"}, 20.0, 0.0, ["unasked"]),
            ("with the key itself", key(), {**NAMED, "authorization": "Token secret"}, 20.0, 0.0,
             ["unasked"]),
            ("with a key that never was", key(**NEVER), NAMED, 20.0, 0.0, ["route"]),
            ("without a key", None, {}, 20.0, 0.0, ["route"]),
            ("2.1 s after the withdrawal", key(**GONE), NAMED, 12.2, 0.0, ["config"]),
            ("1.9 s after the withdrawal", key(**GONE), NAMED, 12.0, 0.0, []),
            ("after a withdrawal in a disturbance", key(**GONE), NAMED, 12.2, 8.0, []),
            ("long after a withdrawal in a disturbance", key(**GONE), NAMED, 13.1, 8.0, ["config"]),
        ]
        for name, own, fields, now, settled, rules in cases:
            with self.subTest(name):
                checks = self.checks(settled)
                self.ask(checks, Access(key=own), now)
                checks.organisations.arrived("t1", "r1", "i0#1", fields, now)
                self.assertEqual([rule for rule, _ in checks.violations], rules)

    def test_public_routes(self):
        for name, fields, rules in (("nothing", {}, []), ("a name", NAMED, ["unasked"])):
            with self.subTest(name):
                checks = self.checks()
                self.ask(checks, Access(public=True))
                checks.organisations.arrived("t1", "r1", "i0#1", fields, 20.0)
                self.assertEqual([rule for rule, _ in checks.violations], rules)

    def test_refused_keys(self):
        cases = [
            ("a key in force", Access(key=key()), 401, ["config"], True),
            ("a key in force, refused for want of room", Access(key=key()), 503, [], True),
            ("a key that was added 1.9 s before", Access(key=key(accepted=18.1)), 401, [], True),
            ("a key that was withdrawn", Access(key=key(**GONE)), 401, [], False),
            ("a key that never was", Access(key=key(**NEVER)), 401, [], False),
            ("no key", Access(), 401, [], False),
            ("a public route", Access(public=True), 401, ["config"], True),
        ]
        for name, access, status, rules, missed in cases:
            with self.subTest(name):
                checks = self.checks()
                request = self.ask(checks, access)
                checks.answered(request, status)
                self.assertEqual([rule for rule, _ in checks.violations], rules)
                self.assertEqual(request.missed, missed)

    def test_instances_that_have_just_started_are_not_judged(self):
        for started, rules in ((19.0, []), (10.0, ["config"])):
            with self.subTest(started=started):
                checks = self.checks()
                checks.starts["i0#1"] = started
                checks.answered(self.ask(checks, Access(key=key())), 401)
                self.assertEqual([rule for rule, _ in checks.violations], rules)

    def test_without_organisations_nothing_is_judged(self):
        checks = self.checks(enabled=False)
        checks.organisations.arrived("t1", "r1", "i0#1", {"authorization": "x"}, 20.0)
        checks.answered(self.ask(checks, Access()), 401)
        self.assertEqual(checks.violations, [])


if __name__ == "__main__":
    unittest.main()
