"""Time until a document is in force on all nodes.

See ``fleets.py`` for the setup; no network latency is added to that of the machine.
Run it from the root: ``PYTHONPATH=src:tests:bench python bench/propagation.py``.
"""

import argparse
import json
import statistics
import sys
import time

import builders_fleet
import fleets

PAUSE = 0.2
"""Seconds between two changes of the document."""


def measure(size, documents):
    """Return the propagation time of each document in seconds, including its upload."""
    durations = []
    with fleets.Fleet(size) as fleet:
        time.sleep(2.0)
        for version in range(2, documents + 2):
            started_at = time.monotonic()
            fleet.put_document(builders_fleet.make_document_value(version))
            durations.append(
                max(a["last"] for a in fleet.send_command(version)) - started_at
            )
            time.sleep(PAUSE)
    return durations


def main():
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[3, 9, 30, 100])
    parser.add_argument("--documents", type=int, default=30)
    arguments = parser.parse_args()
    rows = []
    print("nodes  documents  median ms  max ms")
    for size in arguments.sizes:
        durations = measure(size, arguments.documents)
        row = {
            "nodes": size,
            "documents": len(durations),
            "median_ms": round(statistics.median(durations) * 1000, 1),
            "max_ms": round(max(durations) * 1000, 1),
        }
        rows.append(row)
        print("{nodes:>5}{documents:>11}{median_ms:>11}{max_ms:>8}".format(**row))
    print(json.dumps({"propagation": rows}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
