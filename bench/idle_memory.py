"""Memory of the proxy per idle caller connection.

``python bench/idle_memory.py --connections 1000 4000 8000`` signs callers in,
leaves them idle, and reads the proxy's resident memory. The target of issue 4 is
at most 16 KiB per connection at each size. The exit code is 1 if it is missed.
"""

import argparse
import json
import pathlib
import re
import resource
import sys

import anyio

import canned
import relay
import static_fleet
from sardinehold import keys

TARGET = 16 * 1024
"""Bytes of resident memory per idle connection."""

SPARE_FILES = 100

_RESIDENT = re.compile(r"^VmRSS:\s+(\d+) kB$", re.MULTILINE)


def read_resident(process: int) -> int:
    """Return a process's resident memory in bytes."""
    status = pathlib.Path(f"/proc/{process}/status").read_text(encoding="ascii")
    return int(_RESIDENT.search(status).group(1)) * 1024


async def _measure(child: relay.Child, sizes: list[int], key: str) -> dict[int, float]:
    """Return bytes per connection for each number of connections."""
    counters = canned.Counters()
    callers = await canned.sign_in(child.address, 10, counters, key=key)
    empty = read_resident(child.process.pid)
    found = {}
    for size in sizes:
        counters.ready = 0
        missing = size - (len(callers) - 10)
        callers += await canned.sign_in(child.address, missing, counters, key=key)
        await anyio.sleep(1.0)
        found[size] = (read_resident(child.process.pid) - empty) / size
    for caller in callers:
        caller.transport.abort()
    return found


def main() -> int:
    """Run the benchmark; return 1 if the target is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    sizes = [1000, 4000, 8000]
    parser.add_argument("--connections", type=int, nargs="+", default=sizes)
    options = parser.parse_args()
    files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = [size for size in options.connections if size + SPARE_FILES < files]
    key = keys.generate_key().text
    with (
        relay.Child(relay.serve_endpoint) as endpoint,
        relay.Child(static_fleet.serve_proxy, endpoint.address, key) as proxy,
    ):
        found = anyio.run(_measure, proxy, wanted, key)
    for size, cost in found.items():
        print(f"{size:>6} connections: {cost:>8.0f} bytes each")
    for size in sorted(set(options.connections) - set(wanted)):
        print(f"{size:>6} connections: not run, the limit of open files is {files}")
    met = len(found) == len(options.connections) and max(found.values()) <= TARGET
    shown = {str(size): round(cost) for size, cost in found.items()}
    print(json.dumps({"bytes_each": shown, "target": TARGET, "met": met}))
    return 0 if met else 1


if __name__ == "__main__":
    sys.exit(main())
