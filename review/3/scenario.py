"""An entry of another writer can't be read; then all processes are killed at once.

The nodes refuse the whole list in which the entry stands, so that none of them
becomes ready again. VARIANT chooses what can't be read: ``bytes`` (the default: a
name in Latin-1), ``nested`` or ``digits`` (JSON that is valid, but of another type).
"""

import asyncio
import json
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import world as worlds  # noqa: E402

VARIANT = os.environ.get("VARIANT", "bytes")
RECOVERY = 12.0
DOWN = 0.74
BEFORE = 6.0
AFTER = 15.0


def make_entry() -> worlds.Raw:
    """Return the body that the other writer stored."""
    text = json.dumps(
        {
            "Service": "another-product",
            "Address": "127.0.0.1:9",
            "Zone": "ZONE",
            "Version": "v7",
            "Capacity": 2,
            "State": "ready",
            "ColdMs": 0,
            "DatabaseRole": "replica",
            "Sequence": 1,
        }
    )
    if VARIANT == "nested":
        return worlds.Raw(text.replace('"ZONE"', "[" * 3000 + "]" * 3000))
    if VARIANT == "digits":
        return worlds.Raw(text.replace('"ZONE"', "7" * 5000))
    latin = b"For\xeat".decode("utf-8", "surrogateescape")
    return worlds.Raw(text.replace("ZONE", latin))


async def ask_once(world: worlds.World, node: worlds.Node) -> bool:
    """Return whether a node serves a read in a new session."""
    session = worlds.Session(world, node, "xapu221", "u6wsjnba")
    try:
        line = await session.open()
        if not line.startswith("READY"):
            world.record.write(f"client: START at {node.name} is answered {line}")
            return False
        code, _, _ = await session.ask(worlds.make_id(), "READ 1a4")
        return code == "COMPLETE"
    except (OSError, EOFError, TimeoutError) as error:
        world.record.write(f"client: session at {node.name} failed: {error!r}")
        return False
    finally:
        session.close()


async def measure(world: worlds.World, seconds: float) -> tuple[int, int]:
    """Return how many reads were served and sent in a time; a read a node each 0.5 s."""
    deadline = time.monotonic() + seconds
    reads = []
    while time.monotonic() < deadline:
        reads += [asyncio.create_task(ask_once(world, node)) for node in world.nodes]
        await asyncio.sleep(0.5)
    served = await asyncio.gather(*reads)
    return sum(served), len(served)


async def scenario(world: worlds.World, has_trouble: bool) -> None:
    record = world.record
    world.add_cluster()
    await world.start(3)
    await asyncio.sleep(4.0)
    if has_trouble:
        world.store.put("servers", "i-0ther001", make_entry())
        record.write(f"store: another writer's entry servers/i-0ther001 ({VARIANT})")
        await asyncio.sleep(2.0)
    before = await measure(world, BEFORE)
    record.write(f"before the final fault, reads served and sent: {before}")
    world.configure()
    for node in world.nodes:
        node.process.kill()
    for node in world.nodes:
        await node.process.wait()
    record.write("final fault: all processes are killed")
    await asyncio.sleep(DOWN)
    for node in world.nodes:
        await node.start()
    record.write("all processes are started again")
    await asyncio.sleep(RECOVERY)
    after = await measure(world, AFTER)
    record.write(f"from {RECOVERY} s after the machines are back: {after}")
    for node in world.nodes:
        record.write(f"{node.name} is ready: {await node.is_ready()}")
        for event in (node.read_events("store_lost") + node.read_events("task_failed"))[-2:]:
            record.write(f"log of {node.name}: {event}")
    print(f"served and sent: before {before}, after {after}")
    world.note_ends()
    if before[0] * 4 < before[1]:
        raise worlds.CannotRun("less than a quarter was served before the final fault")
    if after[0] * 4 < after[1]:
        record.violate(
            f"RECOVER: {after[0]} of {after[1]} reads served from {RECOVERY} s after"
            " the machines are back"
        )


if __name__ == "__main__":
    worlds.run(str(FOLDER), scenario)
