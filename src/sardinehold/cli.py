"""The ``sardinehold`` command; one subcommand for each program.

Exit codes: 0 done, 1 failed or ended by an error, 2 settings, a document or
the command line are not valid.
"""

import argparse
import getpass
import json
import pathlib
import sys
import typing

import sardinehold
from sardinehold import checking
from sardinehold import document
from sardinehold import errors
from sardinehold import explanations
from sardinehold import keys
from sardinehold import node_queries
from sardinehold import settings
from sardinehold import timeline

_Run = typing.Callable[[argparse.Namespace], int]
_Configure = typing.Callable[[argparse.ArgumentParser], None]


class Command:
    """A subcommand.

    :param name: name on the command line.
    :param configure: adds the arguments to the parser of the subcommand.
    :param run: runs the subcommand and returns the exit code.
    :param examples: command lines shown in its help.
    """

    __slots__ = ("name", "configure", "run", "examples")

    def __init__(
        self, name: str, configure: _Configure, run: _Run, examples: tuple[str, ...]
    ) -> None:
        """Store the fields of the command."""
        self.name = name
        self.configure = configure
        self.run = run
        self.examples = examples

    @property
    def doc(self) -> str:
        """One-line description, from the docstring of its function."""
        return (self.run.__doc__ or "").strip().splitlines()[0]


COMMANDS: dict[str, Command] = {}
"""All subcommands by name, filled by :func:`command`."""


def command(
    name: str, configure: _Configure, *examples: str
) -> typing.Callable[[_Run], _Run]:
    """Register the decorated function as the subcommand ``name``."""

    def register(run: _Run) -> _Run:
        COMMANDS[name] = Command(name, configure, run, examples)
        return run

    return register


def _add_settings(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--settings",
        required=True,
        type=pathlib.Path,
        metavar="FILE.ini",
        help="settings of this process",
    )


@command("proxy", _add_settings, "sardinehold proxy --settings proxy.ini")
def run_proxy(arguments: argparse.Namespace) -> int:
    """Serve callers on an entry VM until SIGTERM."""
    loaded = settings.load_proxy(arguments.settings)
    # Imported here so that the other commands do not load the modules of the proxy.
    from sardinehold import proxy

    return proxy.run(loaded)


@command("console", _add_settings, "sardinehold console --settings console.ini")
def run_console(arguments: argparse.Namespace) -> int:
    """Serve the web console and the administration API until SIGTERM."""
    loaded = settings.load_console(arguments.settings)
    # Imported here so that the other commands do not load the modules of the console.
    from sardinehold import console

    return console.run(loaded)


def _add_files(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("files", nargs="+", type=pathlib.Path, metavar="FILE")


@command(
    "check",
    _add_files,
    "sardinehold check proxy.ini document.json",
)
def run_check(arguments: argparse.Namespace) -> int:
    """Validate settings (.ini) and documents (.json) and list all faults."""
    code = 0
    for path in arguments.files:
        result = checking.check_file(path)
        if result.error is not None:
            code = result.error.exit_code
            result.error.show()
            continue
        print(f"{path}: valid {result.kind}")
        for warning in result.warnings:
            print(f"  warning: {warning.format()}")
    return code


def _add_timeline(parser: argparse.ArgumentParser) -> None:
    _add_files(parser)
    parser.add_argument(
        "--kind",
        action="append",
        default=[],
        help="select this kind of event; a trailing * matches any suffix",
    )
    parser.add_argument("--vm", action="append", default=[], help="select this VM")
    parser.add_argument(
        "--group", action="append", default=[], help="select this group"
    )
    parser.add_argument(
        "--since", type=float, metavar="SECONDS", help="start, from the first event"
    )
    parser.add_argument(
        "--until", type=float, metavar="SECONDS", help="end, from the first event"
    )
    parser.add_argument("--json", action="store_true", help="print JSON lines")
    parser.add_argument(
        "--draw",
        type=pathlib.Path,
        metavar="FILE.svg|png",
        help="write a diagram instead of printing the events",
    )


@command(
    "timeline",
    _add_timeline,
    "sardinehold timeline out/*.events",
    "sardinehold timeline out/*.events --group letters-1 --draw failover.svg",
    "sardinehold timeline out/*.events --kind 'key_*' --since 10 --until 20",
)
def run_timeline(arguments: argparse.Namespace) -> int:
    """Merge events files of processes in causal order, filter, and print or draw."""
    events = timeline.read_events(arguments.files)
    event_filter = timeline.EventFilter(
        kinds=tuple(arguments.kind),
        vms=tuple(arguments.vm),
        groups=tuple(arguments.group),
        since=arguments.since,
        until=arguments.until,
    )
    selected = timeline.filter_events(events, event_filter)
    if arguments.draw is not None:
        # Imported here because matplotlib is slow to import.
        from sardinehold import drawing

        drawing.draw_events(selected, arguments.draw)
        return 0
    for event in selected:
        print(event.dump() if arguments.json else event.format(events[0].wall))
    return 0


def _add_explain(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "request", nargs="?", metavar="ID", help="identifier of the caller's request"
    )
    parser.add_argument("files", nargs="*", type=pathlib.Path, metavar="FILE")
    parser.add_argument(
        "--node",
        metavar="HOST:PORT",
        help="ask a running node, on its metrics address, where a statement would go",
    )
    parser.add_argument("--route", default="", help="database name of the statement")
    parser.add_argument("--team", default="", help="team that would run it")
    parser.add_argument(
        "--position",
        default="",
        metavar="TERM.OFFSET",
        help="position of the session's last commit",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


@command(
    "explain",
    _add_explain,
    "sardinehold explain 5c0e7a21d94b36f8 logs/*.log",
    "sardinehold explain --node 10.0.0.7:9464 --route letters --team desk",
)
def run_explain(arguments: argparse.Namespace) -> int:
    """Explain one request from log lines, or where a node would send a statement."""
    if arguments.node is not None:
        return _explain_placement(arguments)
    if not arguments.files:
        raise errors.SettingsError(
            "There is nothing to explain.",
            "Name a request and log files, or a node and a route.",
        )
    lines = explanations.read_lines(arguments.files)
    explanation = explanations.explain_request(lines, arguments.request)
    since = explanations.find_outcome(explanation)["at"]
    for line in explanation:
        print(explanations.format_line(line, since))
    return 0


def _explain_placement(arguments: argparse.Namespace) -> int:
    found = node_queries.fetch_explanation(
        arguments.node, arguments.route, arguments.team, arguments.position
    )
    if arguments.json:
        print(json.dumps(found, indent=2))
    else:
        print("\n".join(node_queries.format_explanation(found)))
    return 0


def _add_keys(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "action",
        choices=("new", "hash"),
        help="new: generate a key; hash: read a key from standard input",
    )


@command("keys", _add_keys, "sardinehold keys new", "sardinehold keys hash < key.txt")
def run_keys(arguments: argparse.Namespace) -> int:
    """Generate a key, or print the record of a key for the document."""
    if arguments.action == "new":
        generated = keys.generate_key()
        print(generated.text)
        record = generated.record
    else:
        record = keys.hash_key(_read_key())
    print(json.dumps(document.dump_part(record)))
    return 0


def _read_key() -> str:
    if sys.stdin.isatty():
        text = getpass.getpass("Key: ").strip()
    else:
        text = sys.stdin.readline().strip()
    if not keys.parse_prefix(text):
        raise errors.SettingsError(
            "Standard input does not contain a key.",
            "Give one line of the form shk_<prefix>_<secret>.",
        )
    return text


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with all subcommands."""
    parser = argparse.ArgumentParser(
        prog="sardinehold",
        description="A database proxy with session consistency.",
        epilog=__doc__.partition("\n\n")[2],
    )
    parser.add_argument(
        "--version", action="version", version=f"sardinehold {sardinehold.__version__}"
    )
    subparsers = parser.add_subparsers(dest="command", metavar="COMMAND", required=True)
    for item in COMMANDS.values():
        _add_command(subparsers, item)
    return parser


def _add_command(subparsers: typing.Any, item: Command) -> None:
    examples = "\n".join(f"  {example}" for example in item.examples)
    parser = subparsers.add_parser(
        item.name,
        help=item.doc,
        description=item.doc,
        epilog=f"examples:\n{examples}\n\n{__doc__.partition(chr(10) * 2)[2]}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    item.configure(parser)


def main(arguments: list[str] | None = None) -> int:
    """Run the command line and return its exit code."""
    parsed = build_parser().parse_args(arguments)
    try:
        return COMMANDS[parsed.command].run(parsed)
    except errors.SardineholdError as error:
        error.show()
        return error.exit_code
    except BrokenPipeError:
        return 1


if __name__ == "__main__":
    sys.exit(main())
