"""What the cases with a request that crashes its upstreams have in common."""
import asyncio

import deployment

ZONES = {"bg-south-a": 5, "bg-south-b": 4, "bg-south-c": 4}
HOST = "sheets.example"
SHEETS, ORDERS = "/sheets/", "/deposit/"
CONTACT_S = 3.0
# Retries that the rule allows after `contact-ms` from the third crash.
MAX_RETRIES = 3


def routes(sheet_action, order_action):
    """A safe route of lookups and an unsafe one of orders."""
    return [
        {"host": HOST, "name": "r-sheet", "route-type": "safe", "target-latency-ms": 800,
         "priority": 2, "match": {"path-prefix": SHEETS},
         "action": {**sheet_action, "timeout-ms": 2000, "max-attempts": 2}},
        {"host": HOST, "name": "r-order", "route-type": "unsafe", "target-latency-ms": 800,
         "priority": 1, "match": {"path-prefix": ORDERS},
         "action": {**order_action, "timeout-ms": 2000, "max-attempts": 2}}]


class World(deployment.World):
    """`is_crashing` tells the request that crashes each upstream that runs it."""

    def __init__(self, record, trouble, upstreams, sheet_action, order_action, is_crashing):
        super().__init__(record, ZONES, upstreams, routes(sheet_action, order_action))
        self.trouble = trouble
        self.is_crashing = is_crashing
        self.orders = []

    def crashes(self, path, fields, body):
        return self.trouble and self.is_crashing(path, fields)

    async def send_orders(self, gap_s):
        """Orders of other callers, which the same upstreams serve."""
        while True:
            self.later(self.send_order())
            await asyncio.sleep(gap_s)

    async def send_order(self):
        self.orders.append(
            await self.ask("order", "POST", HOST, ORDERS + "new", 2000, None, b"deposit"))

    def judge(self, sent):
        """`sent`: identifiers of all attempts of the crashing request."""
        runs = sorted((run["at"], run.get("ended", run["at"]), run["end"])
                      for attempt in sent for run in self.runs.get(attempt, []))
        crashes = sorted(ended for _, ended, end in runs if end == "crashed the upstream")
        lost = [attempt for attempt, status, _ in self.orders if status != 200 and any(
            run["end"] == "lost in a crash" for run in self.runs.get(attempt, []))]
        self.record(
            f"the crashing request was sent {len(sent)} times, began at upstreams {len(runs)} "
            f"times and crashed {len(crashes)}; {len(lost)} orders at work there were lost")
        if len(crashes) < 3:
            return 0
        late = [at for at, _, _ in runs if at > crashes[2] + CONTACT_S]
        self.record(
            f"third crash at {crashes[2]:.3f} s; {len(late)} retries began at upstreams more than "
            f"{CONTACT_S} s later; the rule allows {MAX_RETRIES}")
        return 1 if len(late) > MAX_RETRIES else 0
