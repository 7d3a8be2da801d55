"""Cost of the control path per node, at several sizes of the fleet.

See ``fleets.py`` for the setup. Run it from the root:
``PYTHONPATH=src:tests:bench python bench/control_cost.py``.
"""

import argparse
import json
import sys
import time

import fleets

SIZES = (3, 9, 30, 100)
WARM_UP_SECONDS = 4.0


def measure(size, seconds):
    """Return the measurements for one fleet size."""
    started_at = time.monotonic()
    with fleets.Fleet(size) as fleet:
        started = time.monotonic() - started_at
        time.sleep(WARM_UP_SECONDS)
        before, calls = add_up(fleet.send_command("read")), fleet.count_calls()
        time.sleep(seconds)
        after, calls_after = add_up(fleet.send_command("read")), fleet.count_calls()
    spent = {name: (after[name] - before[name]) / seconds / size for name in after}
    return {
        "nodes": size,
        "started_s": round(started, 1),
        "bytes_sent_node_s": round(spent["bytes"]),
        "messages_node_s": round(spent["messages"], 1),
        "cpu_percent_node": round(100 * spent["cpu"], 2),
        "memory_kib_node": round(after["memory"] / size / 1024),
        "platform_calls_s": {
            kind: round((amount - calls.get(kind, 0)) / seconds, 1)
            for kind, amount in sorted(calls_after.items())
            if amount > calls.get(kind, 0)
        },
        "serving": after["serving"],
    }


def add_up(answers):
    """Return the sum of each value over all workers."""
    return {name: sum(answer[name] for answer in answers) for name in answers[0]}


def main():
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=list(SIZES))
    parser.add_argument("--seconds", type=float, default=10.0)
    arguments = parser.parse_args()
    rows = []
    print("nodes  start s  bytes/node/s  msgs/node/s  cpu %  KiB/node  platform/s")
    for size in arguments.sizes:
        row = measure(size, arguments.seconds)
        rows.append(row)
        print(
            f"{row['nodes']:>5}{row['started_s']:>9}{row['bytes_sent_node_s']:>14}"
            f"{row['messages_node_s']:>13}{row['cpu_percent_node']:>7}"
            f"{row['memory_kib_node']:>10}  {row['platform_calls_s']}",
            flush=True,
        )
    print(json.dumps({"control_cost": rows}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
