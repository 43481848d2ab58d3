"""Organisations of a seed: their keys change while callers are connected."""
import asyncio
import json
import random
import time

from . import http_text
from .checks import CONFIGURATION_S
from .organisation_check import Access, Key

# One seed in four has organisations, so that the others stay what they were.
SEED_STEP, SEED_OFFSET = 4, 1
NAMES = ("cuka", "fune", "dori", "sato", "mela")
KEYS_EACH = 2
# Mean time between changes of keys.
CHANGE_PAUSE_S = 0.8
PUBLIC_PREFIX = "/p/"
# Shares of the requests: on the public route, with a key that is not valid for sure, and with a name
# of an organisation that the caller sets itself.
PUBLIC_SHARE, ODD_SHARE, CLAIM_SHARE = 0.1, 0.2, 0.2


class Organisations:
    """Keys as they are and were. Without organisations all requests are sent as they always were."""

    def __init__(self, seed, checks):
        self.enabled = seed % SEED_STEP == SEED_OFFSET
        self.pick = random.Random(seed + 4)
        self.checks = checks
        self.checks.organisations.enabled = self.enabled
        # All keys that were ever created, the ones in force or soon to be, and the withdrawn ones.
        self.keys = []
        self.current = []
        self.former = []
        if self.enabled:
            for name in NAMES * KEYS_EACH:
                self.current.append(self.create(name))

    def create(self, organisation):
        key = Key(f"k{self.pick.getrandbits(96):024x}", organisation)
        self.keys.append(key)
        return key

    def replace_one(self):
        """Withdraws a key and adds another one to its organisation; in force with the next
        configuration that is accepted."""
        old = self.current.pop(self.pick.randrange(len(self.current)))
        self.former.append(old)
        self.current.append(self.create(old.organisation))

    def members(self):
        """Members of the configuration that is written now."""
        if not self.enabled:
            return {}
        now = time.monotonic()
        for key in self.current:
            key.proposed_at = key.proposed_at or now
        for key in self.former:
            key.withdrawing_at = key.withdrawing_at or now
        tenants = [{"name": name, "priority": number % 2,
                    "api-keys": [each.text for each in self.current if each.organisation == name]}
                   for number, name in enumerate(NAMES)]
        # A malformed one, which leaves the others in force.
        tenants.insert(1, {"name": "odd", "api-keys": "none"})
        return {"tenants": tenants}

    def rules(self, rule):
        """Rules of its own."""
        return [dict(rule("public", PUBLIC_PREFIX, "safe", "lookup", 200), public=True)] \
            if self.enabled else []

    def without_key(self):
        """Member of the rules whose callers have no keys."""
        return {"public": True} if self.enabled else {}

    def accepted(self, members):
        """The configuration with these members is in the store."""
        now = time.monotonic()
        texts = {text for tenant in members.get("tenants", ()) for text in tenant["api-keys"]
                 if tenant["name"] in NAMES}
        for key in self.keys:
            if key.text in texts:
                key.accepted_at = key.accepted_at or now
            elif key.accepted_at is not None:
                key.withdrawn_at = key.withdrawn_at or now

    def public(self):
        return self.enabled and self.pick.random() < PUBLIC_SHARE

    def claim(self):
        return {"X-Catkintally-Tenant": self.pick.choice(NAMES)} \
            if self.pick.random() < CLAIM_SHARE else {}

    def public_access(self):
        return Access(self.claim(), public=True)

    def valid_access(self):
        """A key that is in force for sure, if there is one; the second result is False otherwise."""
        if not self.enabled:
            return Access(), True
        now = time.monotonic()
        known = [key for key in self.current
                 if key.accepted_at is not None and now - key.accepted_at > CONFIGURATION_S]
        key = self.pick.choice(known or self.current)
        return self.with_key(key), bool(known)

    def with_key(self, key):
        return Access({"Authorization": f"Token {key.text}", **self.claim()}, key)

    def access(self):
        """Access of a caller's request, and whether the request must be served."""
        if not self.enabled or self.pick.random() >= ODD_SHARE:
            return self.valid_access()
        key = self.pick.choice(self.current)
        stranger = Key(f"k{self.pick.getrandbits(96):024x}", "nobody")
        return self.pick.choice((
            Access(self.claim()),
            Access({"Authorization": f"Bearer {key.text}"}),
            Access({"Authorization": key.text}),
            Access({"Authorization": f"Token {key.text}", "authorization": f"Token {key.text}"}),
            Access({"Authorization": f"Token {key.text * 30}"}),
            self.with_key(stranger),
            # Just added, or just withdrawn.
            self.with_key(self.current[-1]),
            self.with_key(self.pick.choice(self.former[-3:] or [stranger])))), False

    async def change_series(self, world):
        while self.enabled:
            await asyncio.sleep(self.pick.expovariate(1 / CHANGE_PAUSE_S))
            self.replace_one()
            while not await world.configure():
                await asyncio.sleep(0.1)

    async def check_secrets(self, world):
        """Looks for keys in what instances log and show."""
        shown = {each.name: (world.directory / f"{each.name}.log").read_text(errors="replace")
                 for each in world.instances if (world.directory / f"{each.name}.log").exists()}
        for instance in world.instances if self.enabled else ():
            if instance.ready:
                _, dump = await http_text.call(instance.admin_port, "GET", "/dump")
                shown[f"dump of {instance.name}"] = json.dumps(dump)
        for place, text in shown.items():
            if any(key.text in text for key in self.keys):
                self.checks.broken("secret", f"{place} shows a key")
