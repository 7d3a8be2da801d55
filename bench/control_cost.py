"""Measures what the control path costs a node, at several sizes of fleet.

All nodes share one process, see ``fleets.py``; each size runs in a process of
its own. Run it from the root:
``PYTHONPATH=src:tests:bench python bench/control_cost.py``.
"""

import argparse
import gc
import json
import subprocess
import sys

import anyio

import builders_fleet
import fleets

SIZES = (3, 9, 30, 100)


async def measure(size, seconds):
    """Return the figures of one size."""
    gc.collect()
    before = fleets.read_memory()
    fleet = fleets.Fleet(size, builders_fleet.make_document_value())
    async with anyio.create_task_group() as tasks:
        started = await fleet.start(tasks)
        await anyio.sleep(3.0)
        sent = fleet.count("peer_bytes_sent")
        messages = fleet.count("peer_messages_sent")
        calls = fleet.count_calls()
        cpu = fleets.read_cpu()
        await anyio.sleep(seconds)
        cpu = fleets.read_cpu() - cpu
        per_second = {
            kind: round((amount - calls.get(kind, 0)) / seconds, 2)
            for kind, amount in fleet.count_calls().items()
        }
        figures = {
            "nodes": size,
            "started_s": round(started, 2),
            "bytes_sent_node_s": round(
                (fleet.count("peer_bytes_sent") - sent) / seconds / size
            ),
            "messages_node_s": round(
                (fleet.count("peer_messages_sent") - messages) / seconds / size, 2
            ),
            "cpu_percent_node": round(100 * cpu / seconds / size, 3),
            "memory_kib_node": round((fleets.read_memory() - before) / size / 1024),
            "platform_calls_s": {k: v for k, v in sorted(per_second.items()) if v},
            "serving": sum(node.is_serving for node in fleet.nodes),
        }
        tasks.cancel_scope.cancel()
    return figures


def main():
    """Run the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=list(SIZES))
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--one", type=int, help="measure this size and print JSON")
    arguments = parser.parse_args()
    if arguments.one:
        print(json.dumps(anyio.run(measure, arguments.one, arguments.seconds)))
        return 0
    rows = []
    print("nodes  start s  bytes/node/s  messages  cpu %  KiB/node  platform calls/s")
    for size in arguments.sizes:
        command = [sys.executable, __file__, "--one", str(size)]
        command += ["--seconds", str(arguments.seconds)]
        done = subprocess.run(command, capture_output=True, text=True, check=True)
        row = json.loads(done.stdout.splitlines()[-1])
        rows.append(row)
        print(
            f"{row['nodes']:>5}{row['started_s']:>9}{row['bytes_sent_node_s']:>14}"
            f"{row['messages_node_s']:>10}{row['cpu_percent_node']:>7}"
            f"{row['memory_kib_node']:>10}  {row['platform_calls_s']}",
            flush=True,
        )
    print(json.dumps({"control_cost": rows}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
