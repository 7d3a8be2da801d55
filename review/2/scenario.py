"""An entry of another writer names a service that isn't in the configuration.

Its name has letters beyond Latin-1. Whichever node leads ends with an uncaught
exception, again and again, until the entry is removed. VARIANT=address writes an entry
with an ordinary name instead, whose address has an empty label.
"""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import world as worlds  # noqa: E402

SERVICE = "zam\u00f3wienia-\u0142\u00f3d\u017a"
ADDRESS_VARIANT = os.environ.get("VARIANT") == "address"
SECONDS = 50.0
RESTART_DELAY = 3.0
MAX_ENDS = 3
"""Rule Fault: two machines (a tenth, two at least) whose processes end three times."""


async def serve_other_product(reader, writer) -> None:
    """A database of another product, at which only its own callers are known."""
    try:
        await reader.readuntil(b"\n")
        writer.write(b"ERROR WRONGNODE i-0ther001\r\n")
        await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        pass
    writer.close()


async def ask_once(world: worlds.World, node: worlds.Node) -> bool:
    """Return whether a node serves a read in a new session."""
    session = worlds.Session(world, node, "lepu270", "u6wsjnba")
    try:
        if not (await session.open()).startswith("READY"):
            return False
        code, _, _ = await session.ask(worlds.make_id(), "READ 1a4")
        return code == "COMPLETE"
    except (OSError, EOFError, TimeoutError):
        return False
    finally:
        session.close()


async def scenario(world: worlds.World, has_trouble: bool) -> None:
    record = world.record
    world.add_cluster()
    await world.start(3)
    other = await asyncio.start_server(serve_other_product, "127.0.0.1", 0)
    port = other.sockets[0].getsockname()[1]
    await asyncio.sleep(4.0)
    if has_trouble:
        entry = {
            "Service": "another-product" if ADDRESS_VARIANT else SERVICE,
            "Address": "db..example:5432" if ADDRESS_VARIANT else f"127.0.0.1:{port}",
            "Zone": "curepipe",
            "Version": "v7",
            "Capacity": 2,
            "State": "ready",
            "ColdMs": 0,
            "DatabaseRole": "replica",
            "Sequence": 1,
        }
        world.store.put("servers", "i-0ther001", entry)
        record.write(f"store: another writer's entry servers/i-0ther001: {entry}")
    deadline = time.monotonic() + SECONDS
    ends = {node.name: 0 for node in world.nodes}
    down_until: dict[str, float] = {}
    served = asked = 0
    while time.monotonic() < deadline:
        for node in world.nodes:
            if node.is_running:
                continue
            if node.name not in down_until:
                ends[node.name] += 1
                down_until[node.name] = time.monotonic() + RESTART_DELAY
                record.write(
                    f"node {node.name}: ended by itself with exit code"
                    f" {node.process.returncode}, for the {ends[node.name]}. time"
                )
            elif time.monotonic() >= down_until[node.name]:
                del down_until[node.name]
                await node.start()
        for node in world.nodes:
            if node.is_running:
                asked += 1
                served += await ask_once(world, node)
        await asyncio.sleep(0.2)
    for node in world.nodes:
        text = node.log_path.read_text("utf-8", "replace")
        errors = {line.strip(" |") for line in text.splitlines() if "Error:" in line}
        for line in sorted(errors):
            record.write(f"log of {node.name}: {line[:200]}")
    record.write(f"ends by node: {ends}; reads served: {served} of {asked}")
    print(f"ends by node: {ends}; reads served: {served} of {asked}")
    often = [name for name, count in ends.items() if count >= MAX_ENDS]
    if len(often) >= 2:
        record.violate(f"Fault: processes of {often} ended by themselves 3 times or more")


if __name__ == "__main__":
    worlds.run(str(FOLDER), scenario)
