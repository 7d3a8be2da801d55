"""A key is withdrawn while its client has a transaction open."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import world as worlds  # noqa: E402

CONFIG_APPLY = 3.0
PAUSE = 0.9
KEY = "u6wsjnba"


async def scenario(world: worlds.World, has_trouble: bool) -> None:
    record = world.record
    cluster = world.add_cluster()
    world.tenants = {"nypu920": [KEY, "j8pjbvk9"], "dofa41": ["k2m4x7wq"]}
    await world.start(3)
    # Five seconds without any disruption: all machines are in touch.
    await asyncio.sleep(5.0)
    late: dict[str, float] = {}
    acknowledged_at = None
    answers = []
    session = worlds.Session(world, world.nodes[0], "lepu270", KEY)
    line = await session.open()
    record.write(f"client: START is answered {line}")
    if not line.startswith("READY"):
        raise worlds.CannotRun("the session was not opened")
    for number in range(11):
        text = "BEGIN" if number == 0 else f"READ {number}a4"
        if number == 3:
            text = "WRITE 1a4 xkqpwnzd"
        if number == 10:
            text = "COMMIT"
        request = worlds.make_id()
        sent_at = time.monotonic()
        if acknowledged_at is not None and sent_at > acknowledged_at + CONFIG_APPLY:
            late[request] = sent_at - acknowledged_at
        code, _, _ = await session.ask(request, text)
        answers.append((text, code))
        if number == 2 and has_trouble:
            world.tenants["nypu920"].remove(KEY)
            world.configure()
            acknowledged_at = time.monotonic()
            record.write(f"operator: key {KEY} is withdrawn; the store has acknowledged")
        if code != "COMPLETE":
            break
        await asyncio.sleep(PAUSE)
    session.close()
    if not has_trouble and answers[-1] != ("COMMIT", "COMPLETE"):
        raise worlds.CannotRun("the transaction failed without the disruption")
    for _, name, tenant, request, text, _ in cluster.runs:
        if request in late:
            record.violate(
                f"{name} ran {request} [{text}] for {tenant}, sent"
                f" {late[request]:.2f} s after the key's withdrawal was acknowledged"
            )
    # A new session shows whether the nodes know of the withdrawal.
    for node in world.nodes:
        probe = worlds.Session(world, node, "lepu270", KEY)
        record.write(f"client: new START at {node.name}: {await probe.open()}")
        probe.close()
    if world.note_ends():
        raise worlds.CannotRun("a node ended")


if __name__ == "__main__":
    worlds.run(str(FOLDER), scenario)
