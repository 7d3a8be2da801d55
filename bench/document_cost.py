"""Cost of storing, parsing, validating and comparing a configuration document.

PYTHONPATH=src python bench/document_cost.py [--teams N ...]
"""

import argparse
import json
import time
import typing

from sardinehold import changes
from sardinehold import document
from sardinehold import validation

TEAMS = (8, 250, 2500)


def build_document(teams: int) -> document.Document:
    """Return a document with one key per team and one route per ten teams."""
    endpoint = document.Endpoint("main-a", "10.0.0.1", 5432, "dallas")
    group = document.Group("main", (endpoint,), 3, 45)
    names = [f"team-{number:05d}" for number in range(teams)]
    routes = {
        f"route-{first}": document.Route(
            f"route-{first}", "main", tuple(names[first : first + 10])
        )
        for first in range(0, teams, 10)
    }
    return document.Document(
        version=1,
        author="bench",
        reason="bench",
        teams={
            name: document.Team(name, 100, 50, keys=(_build_key(number),))
            for number, name in enumerate(names)
        },
        groups={"main": group},
        routes=routes,
    )


def _build_key(number: int) -> document.Key:
    return document.Key(f"{number:08x}", "0" * 16, f"{number:064x}")


def time_call(call: typing.Callable[[], object]) -> float:
    """Return milliseconds of processor time, the minimum of three calls."""
    costs = []
    for _ in range(3):
        start = time.process_time()
        call()
        costs.append((time.process_time() - start) * 1000)
    return min(costs)


def main() -> None:
    """Print a line for each number of teams."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--teams", type=int, nargs="+", default=TEAMS)
    print(f"{'teams':>6} {'bytes':>8} {'read ms':>8} {'valid ms':>9} {'diff ms':>8}")
    for teams in parser.parse_args().teams:
        config = build_document(teams)
        value = document.dump_document(config)
        size = len(json.dumps(value, separators=(",", ":")))
        read = time_call(lambda value=value: document.parse_document(value, False))
        valid = time_call(lambda value=value: validation.find_faults(value))
        diff = time_call(lambda config=config: changes.compare_documents(None, config))
        print(f"{teams:6} {size:8} {read:8.1f} {valid:9.1f} {diff:8.1f}")


if __name__ == "__main__":
    main()
