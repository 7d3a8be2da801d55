"""A route is moved to another service and back between a session's write and read."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand-ins-2"))

import world as stand_ins  # noqa: E402

KEY = "u6wsjnbanfqasnmgkcuy"
TENANTS = [
    {"Name": "nypu920", "ApiKeys": [KEY], "Priority": 1, "RatePerS": 200, "Burst": 200}
]
FIRST, SECOND = "releves1", "releves2"
LAG_X = 25
READS = 12


async def main() -> int:
    world = stand_ins.World(HERE, services=(FIRST, SECOND))
    try:
        await world.start(TENANTS)
        client = stand_ins.Client(world, "s")
        await client.connect(1, "session", KEY)
        for item in world.list_databases(FIRST):
            item.apply_s = stand_ins.APPLY_S * LAG_X
        for number in range(40):
            await client.query(f"WRITE warm{number} w{number}")
            await asyncio.sleep(0.1)
        written, outcome, _ = await client.query("WRITE item new")
        if not outcome.startswith("COMPLETE"):
            raise RuntimeError("the write was not acknowledged")
        if stand_ins.has_trouble():
            world.route_service = SECOND
            world.configure(TENANTS)
        await asyncio.sleep(0.3)
        _, outcome, _ = await client.query("WRITE other value")
        world.route_service = FIRST
        world.configure(TENANTS)
        await asyncio.sleep(0.3)
        missed = 0
        for _ in range(READS):
            await client.query("READ item")
            missed += client.rows != ["new"]
            if client.rows != ["new"]:
                world.note(f"BROKEN the read got {client.rows} instead of ['new']")
        print(f"{missed} of {READS} reads lack the session's own acknowledged write")
        return 1 if missed else 0
    finally:
        await world.stop()


stand_ins.run(main)
