"""A key is withdrawn and restored while a transaction of its client is open."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand-ins-2"))

import world as stand_ins  # noqa: E402

KEY, OTHER = "u6wsjnbanfqasnmgkcuy", "j8pjbvk9m68k7b2ex5wa"


def make_tenants(keys: list[str]) -> list[dict]:
    return [
        {"Name": "nypu920", "ApiKeys": keys, "Priority": 1, "RatePerS": 66, "Burst": 66}
    ]


def find_committed(world: stand_ins.World) -> set[str]:
    """Return the ids of the writes in the log of the primary."""
    log = world.find_primary().log
    return {request for _, _, writes in log for request, _, _ in writes}


async def run_transaction(world, client, pause: float) -> list[str]:
    """Run a transaction; return what a success of its COMMIT promised falsely."""
    await client.query("BEGIN")
    first, outcome, _ = await client.query(f"WRITE {client.name}a first")
    if not outcome.startswith("COMPLETE"):
        return []
    await asyncio.sleep(pause)
    expected = [first]
    if client.name.endswith("w"):
        second, outcome, _ = await client.query(f"WRITE {client.name}b second")
        expected.append(second)
    if outcome.startswith("COMPLETE"):
        _, outcome, _ = await client.query("COMMIT")
    if not outcome.startswith("COMPLETE"):
        return []
    held = find_committed(world)
    return [request for request in expected if request not in held]


async def main() -> int:
    world = stand_ins.World(HERE)
    try:
        await world.start(make_tenants([KEY, OTHER]))
        clients = []
        for index in range(world.node_count):
            for kind in "cw":
                client = stand_ins.Client(world, f"n{index}{kind}")
                await client.connect(index, "latest", KEY)
                clients.append(client)
        runs = [
            asyncio.create_task(run_transaction(world, client, 1.6))
            for client in clients
        ]
        await asyncio.sleep(0.4)
        if stand_ins.has_trouble():
            world.configure(make_tenants([OTHER]))
            await asyncio.sleep(0.6)
            world.configure(make_tenants([KEY, OTHER]))
        missing = [request for found in await asyncio.gather(*runs) for request in found]
        for request in missing:
            world.note(f"BROKEN the COMMIT succeeded, but write {request} is in no log")
        print(f"{len(missing)} writes of successful transactions are missing")
        return 1 if missing else 0
    finally:
        await world.stop()


stand_ins.run(main)
