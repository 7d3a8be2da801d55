"""A replica joins a primary that is cut off from the leader while it is replaced."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand-ins-2"))

import world as stand_ins  # noqa: E402

KEY = "u6wsjnbanfqasnmgkcuy"
TENANTS = [
    {"Name": "nypu920", "ApiKeys": [KEY], "Priority": 1, "RatePerS": 2000, "Burst": 2000}
]
CUT_S = 4.0
ENTRY_LAG_S = 0.8
STORE_ANSWER_S = 0.004 + 2 * 0.008
JOIN_AFTER_S = 0.9
ZONES = {
    "grand-baie": "nord",
    "curepipe": "plateau",
    "souillac": "sud",
    "pamplemousses": "nord",
    "moka": "plateau",
    "mahebourg": "sud",
}
WRITERS = 48
NODES = 6
CUT_NODES = 3


async def write_on(world, name, index, acknowledged, ends) -> None:
    """Write until the end, and note what was acknowledged."""
    client = stand_ins.Client(world, name)
    while stand_ins.now() < ends:
        try:
            if client.writer is None:
                await client.connect(index, "latest", KEY)
            request, outcome, state = await client.query("WRITE item value")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            outcome = state = ""
        if outcome.startswith("COMPLETE"):
            acknowledged.append((request, stand_ins.now()))
        if state != "I":
            client.close()
            client.writer = None
        await asyncio.sleep(0.002)


async def main() -> int:
    world = stand_ins.World(HERE, NODES, zones=ZONES)
    world.splits_paths = True
    world.store.answer_s = STORE_ANSWER_S
    try:
        await world.start(TENANTS)
        primary = world.find_primary()
        ready = stand_ins.now() + 1.0
        await asyncio.gather(
            *(write_on(world, f"w{i}", i, [], ready) for i in range(NODES))
        )
        leader = world.find_leader()
        ranked = sorted(
            range(NODES), key=lambda index: -world.paths[index][primary].count
        )
        cut = list(dict.fromkeys([leader, ranked[0], *ranked[::-1]]))[:CUT_NODES]
        rest = [index for index in range(NODES) if index not in cut]
        acknowledged: list[tuple[str, float]] = []
        ends = stand_ins.now() + 6.0
        writers = [
            asyncio.create_task(
                write_on(world, f"c{n}", rest[n % len(rest)], acknowledged, ends)
            )
            for n in range(WRITERS)
        ]
        await asyncio.sleep(1.5)
        paths = [world.paths[index][primary] for index in cut]
        if stand_ins.has_trouble():
            for path in paths:
                path.whole.clear()
            world.note(f"CUT {primary.name} from nodes {cut}; node {leader} leads")
        await asyncio.sleep(JOIN_AFTER_S)
        await world.add_database(primary.zone, ENTRY_LAG_S)
        await asyncio.sleep(CUT_S - JOIN_AFTER_S)
        for path in paths:
            path.whole.set()
        world.note("HEALED")
        await asyncio.gather(*writers)
        lost = set()
        for name, at, kept in world.promoted:
            missing = [r for r, told in acknowledged if told < at and r not in kept]
            if missing:
                world.note(f"BROKEN {name} was promoted without {missing}")
            lost |= set(missing)
        print(
            f"{len(lost)} of {len(acknowledged)} acknowledged commits are not in the log"
            f" of a promoted database; promotions: {len(world.promoted)}"
        )
        return 1 if lost else 0
    finally:
        await world.stop()


stand_ins.run(main)
