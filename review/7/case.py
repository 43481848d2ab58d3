"""An order on a route that is split over three services crashes each upstream that runs it."""
import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))
import crashing  # noqa: E402
import deployment  # noqa: E402

PATH = crashing.ORDERS + "1704"
SERVICES = ("records-a", "records-b", "records-c")


async def main(record, trouble):
    upstreams = [(service, zone, 3, 0.3) for service in SERVICES for zone in crashing.ZONES
                 for _ in range(2)]
    split = {"traffic-split": [{"service": service, "weight": 1} for service in SERVICES]}
    world = crashing.World(
        record, trouble, upstreams, split, split, lambda path, fields: path == PATH)
    try:
        await world.start()
        await asyncio.sleep(crashing.CONTACT_S + 1)
        world.later(world.send_orders(0.1))
        await asyncio.sleep(1)
        sent = []
        for _ in range(18):
            attempt, _, _ = await world.ask("crashing request", "POST", crashing.HOST, PATH, 2000,
                                            body=b"deposit 1704")
            sent.append(attempt)
            await asyncio.sleep(4)
        return world.judge(sent)
    finally:
        await world.stop()


sys.exit(deployment.run(FOLDER, main))
