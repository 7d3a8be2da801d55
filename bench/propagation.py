"""Measures how long a document takes to be in force on all nodes.

All nodes share one process, see ``fleets.py``; there is no latency but that
of the process itself. Run it from the root:
``PYTHONPATH=src:tests:bench python bench/propagation.py``.
"""

import argparse
import json
import statistics
import sys

import anyio

import builders_fleet
import fleets

PAUSE = 0.15
"""Seconds between two documents."""


async def measure(size, documents):
    """Return the seconds that each document took."""
    fleet = fleets.Fleet(size, builders_fleet.make_document_value())
    taken = []
    async with anyio.create_task_group() as tasks:
        await fleet.start(tasks)
        await anyio.sleep(2.0)
        for version in range(2, documents + 2):
            value = builders_fleet.make_document_value(version)
            taken.append(await fleet.change_document(value))
            await anyio.sleep(PAUSE)
        tasks.cancel_scope.cancel()
    return taken


def main():
    """Run the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[3, 9, 30, 100])
    parser.add_argument("--documents", type=int, default=30)
    arguments = parser.parse_args()
    rows = []
    print("nodes  documents  median ms  max ms")
    for size in arguments.sizes:
        taken = anyio.run(measure, size, arguments.documents)
        row = {
            "nodes": size,
            "documents": len(taken),
            "median_ms": round(statistics.median(taken) * 1000, 1),
            "max_ms": round(max(taken) * 1000, 1),
        }
        rows.append(row)
        print("{nodes:>5}{documents:>11}{median_ms:>11}{max_ms:>8}".format(**row))
    print(json.dumps({"propagation": rows}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
