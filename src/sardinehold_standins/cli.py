"""The ``sardinehold-standin`` command: stand-ins for the platform and databases."""

import argparse
import asyncio
import pathlib
import ssl
import sys

import sardinehold
from sardinehold_standins import admission
from sardinehold_standins import control
from sardinehold_standins import engine
from sardinehold_standins import faults as switches
from sardinehold_standins import platform
from sardinehold_standins import poller
from sardinehold_standins import replication
from sardinehold_standins import server as servers
from sardinehold_standins import service
from sardinehold_standins import store as stores


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with both subcommands."""
    parser = argparse.ArgumentParser(prog="sardinehold-standin", description=__doc__)
    parser.add_argument(
        "--version", action="version", version=f"%(prog)s {sardinehold.__version__}"
    )
    commands = parser.add_subparsers(dest="command", required=True)
    _add_platform(commands)
    _add_database(commands)
    return parser


def _add_platform(commands) -> None:
    """Add the ``platform`` subcommand."""
    command = commands.add_parser(
        "platform",
        help="serve the platform's object API",
        epilog="example: sardinehold-standin platform --listen 127.0.0.1:6490",
    )
    command.add_argument(
        "--listen", required=True, type=check_address, metavar="HOST:PORT"
    )
    command.add_argument("--reads", type=float, default=admission.READS_PER_SECOND)
    command.add_argument("--writes", type=float, default=admission.WRITES_PER_SECOND)
    command.add_argument("--history", type=int, default=stores.HISTORY_CHANGES)
    command.add_argument("--list-lag", type=float, default=0.0, metavar="SECONDS")
    command.add_argument(
        "--poll",
        type=float,
        default=0.25,
        metavar="SECONDS",
        help="interval of polling the endpoints of the groups",
    )
    command.set_defaults(run=run_platform)


async def run_platform(arguments: argparse.Namespace) -> None:
    """Serve the platform until SIGINT or SIGTERM."""
    store = stores.Store(arguments.history, arguments.list_lag)
    controller = admission.AdmissionControl(arguments.reads, arguments.writes)
    app = platform.Platform(store, controller).app
    listener = service.bind(arguments.listen)
    _announce("platform", service.format_address(listener))
    await service.run_until_signal(
        service.serve_app(app, listener), poller.poll_groups(store, arguments.poll)
    )


def _add_database(commands) -> None:
    """Add the ``database`` subcommand."""
    command = commands.add_parser(
        "database",
        help="serve one endpoint of a database group",
        epilog="example: sardinehold-standin database --name a1 --group a "
        "--listen 127.0.0.1:6501 --control 127.0.0.1:6601 --primary",
    )
    add = command.add_argument
    add("--name", required=True)
    add("--group", required=True)
    add("--listen", required=True, type=check_address, metavar="HOST:PORT")
    add("--control", required=True, type=check_address, metavar="HOST:PORT")
    role = command.add_mutually_exclusive_group(required=True)
    role.add_argument("--primary", action="store_true", help="start as primary")
    role.add_argument(
        "--follow",
        type=check_address,
        metavar="HOST:PORT",
        help="start as a replica of the primary at this address",
    )
    add("--term", type=int, default=1, help="term of the primary")
    add("--schema", metavar="FILE", help="SQL script that the primary runs at start-up")
    add("--slots", type=int, default=3)
    add("--connections", type=int, default=45)
    add("--connect-delay", type=float, default=0.012, metavar="SECONDS")
    add("--statement-cost", type=float, default=0.0, metavar="SECONDS")
    add(
        "--latency",
        type=float,
        default=0.0,
        metavar="SECONDS",
        help="one-way latency to clients",
    )
    add("--lag", type=parse_range, default=(0.0, 0.0), metavar="LEAST:MOST")
    add(
        "--password", default="", help="password required from clients; none by default"
    )
    add("--certificate", help="PEM file; enables TLS together with --key")
    add("--key", help="PEM file with the private key of the certificate")
    add("--seed", type=int, default=0)
    command.set_defaults(run=run_database)


def check_address(text: str) -> str:
    """Return ``text`` if it is a valid ``HOST:PORT``.

    :raises ValueError: the host is missing or the port is invalid.
    """
    host, port = service.parse_address(text)
    if not host or not 0 <= port <= 65535:
        raise ValueError(text)
    return text


def parse_range(text: str) -> tuple[float, float]:
    """Return the bounds in seconds of ``LEAST:MOST``; a single value is both."""
    least, _, most = text.partition(":")
    return float(least), float(most or least)


async def run_database(arguments: argparse.Namespace) -> None:
    """Serve one endpoint until SIGINT or SIGTERM."""
    database = engine.Database(arguments.name, arguments.seed)
    faults = switches.Faults(arguments.lag, arguments.latency)
    server = servers.Server(database, build_options(arguments), faults, arguments.seed)
    server.replication = replication.Replication(server, arguments.seed)
    control_listener = service.bind(arguments.control)
    listener = service.bind(arguments.listen)
    if arguments.primary:
        database.become_primary(arguments.term)
        if arguments.schema:
            server.run_script(pathlib.Path(arguments.schema).read_text("utf-8"))
    else:
        server.replication.follow(service.parse_address(arguments.follow))
    await server.start(listener)
    _announce(arguments.name, service.format_address(listener))
    app = control.Control(server, arguments.group).app
    try:
        await service.run_until_signal(service.serve_app(app, control_listener))
    finally:
        server.replication.stop()
        server.stop()


def build_options(arguments: argparse.Namespace) -> servers.Options:
    """Return the server options for the parsed arguments."""
    context = None
    if arguments.certificate:
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(arguments.certificate, arguments.key)
    return servers.Options(
        arguments.slots,
        arguments.connections,
        arguments.connect_delay,
        arguments.statement_cost,
        arguments.password,
        context,
    )


def _announce(name: str, address: str) -> None:
    """Print the address on which a stand-in accepts connections."""
    print(f"{name} listening on {address}", flush=True)


def main(arguments: list[str] | None = None) -> int:
    """Run the command and return its exit code."""
    parsed = build_parser().parse_args(arguments)
    try:
        asyncio.run(parsed.run(parsed))
    except OSError as error:
        print(f"cannot start: {error}; correct the option.", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
