"""The ``sardinehold-standin`` command: stand-ins for platform and databases."""

import argparse
import asyncio
import sys

from sardinehold_standins import gate as gates
from sardinehold_standins import platform
from sardinehold_standins import poller
from sardinehold_standins import service
from sardinehold_standins import store as stores


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with both subcommands."""
    parser = argparse.ArgumentParser(prog="sardinehold-standin", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    _add_platform(commands)
    return parser


def _add_platform(commands) -> None:
    """Add the subcommand of the platform."""
    command = commands.add_parser(
        "platform",
        help="serve the platform's object API",
        epilog="example: sardinehold-standin platform --listen 127.0.0.1:6490",
    )
    command.add_argument("--listen", required=True, metavar="HOST:PORT")
    command.add_argument("--reads", type=float, default=gates.READS_PER_SECOND)
    command.add_argument("--writes", type=float, default=gates.WRITES_PER_SECOND)
    command.add_argument("--history", type=int, default=stores.HISTORY_CHANGES)
    command.add_argument("--list-lag", type=float, default=0.0, metavar="SECONDS")
    command.add_argument(
        "--poll", type=float, default=0.25, metavar="SECONDS", help="of the groups"
    )
    command.set_defaults(run=run_platform)


async def run_platform(arguments: argparse.Namespace) -> None:
    """Serve the platform until a signal."""
    store = stores.Store(arguments.history, arguments.list_lag)
    gate = gates.Gate(arguments.reads, arguments.writes)
    app = platform.Platform(store, gate).app
    listener = service.bind(arguments.listen)
    _announce("platform", service.format_address(listener))
    await service.run_until_signal(
        service.serve_app(app, listener), poller.poll_groups(store, arguments.poll)
    )


def _announce(name: str, address: str) -> None:
    """Print the address of a stand-in that is ready."""
    print(f"{name} listening on {address}", flush=True)


def main(arguments: list[str] | None = None) -> int:
    """Run the command and return its exit code."""
    parsed = build_parser().parse_args(arguments)
    try:
        asyncio.run(parsed.run(parsed))
    except OSError as error:
        print(f"cannot listen: {error}; choose a free port.", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
