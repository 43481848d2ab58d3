"""A new route whose prefix covers a path that the instances answer themselves."""
import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins_3"))
import harness  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "orders.example"
OLD_PREFIX = "/orders/"
NEW_PREFIX = "/catkintally/" if TROUBLE else "/hailnets/"
NAMES = ("price", "deposit", "health")


async def main(folder):
    zones = ["bg-south-a", "bg-south-b", "bg-south-c", "bg-south-a"]
    services = {"orders": ["bg-south-a", "bg-south-b", "bg-south-c"]}
    async with harness.deployment(folder, zones, services) as (record, store, upstreams, instances):
        routes = [(HOST, OLD_PREFIX, "unsafe", "orders", 1200, 400, 2)]
        await store.put("config", "main", harness.configuration(7, routes, services))
        await harness.start_all(instances)
        routes.append((HOST, NEW_PREFIX, "unsafe", "orders", 1200, 400, 2))
        await store.put("config", "main", harness.configuration(9, routes, services))
        record.write(f"changed  configuration 9 with the route {NEW_PREFIX}")
        await asyncio.sleep(harness.BOUNDS["config-apply-ms"] / 1000 + 1)
        unsigned = 0
        for number in range(24):
            path = (OLD_PREFIX, NEW_PREFIX)[number % 2] + NAMES[number // 2 % 3]
            attempt, status, fields, body = await harness.request(
                record, instances[number % 4], "POST", HOST, path, b"order")
            signed = "x-catkintally-upstream-signature" in fields
            ran = any(run[2] == attempt for each in upstreams for run in each.runs)
            record.write(f"         status={status} signed={signed} ran={ran} body={body!r}")
            unsigned += status is not None and 200 <= status < 300 and not signed
        record.write(f"result   {unsigned} successes without the signature of an upstream")
        print(f"{unsigned} successes without the signature of an upstream")
        return 1 if unsigned else 0


if __name__ == "__main__":
    harness.run_case(main, Path(__file__).resolve().parent)
