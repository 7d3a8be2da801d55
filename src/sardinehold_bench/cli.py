"""The ``sardinehold-bench`` command with its subcommands."""

import argparse
import json
import pathlib
import sys

import anyio

import sardinehold
from sardinehold import errors
from sardinehold_bench import clients
from sardinehold_bench import fleet as fleets
from sardinehold_bench import load
from sardinehold_bench import report
from sardinehold_bench import results
from sardinehold_bench import scenario as scenarios

EXAMPLES = """examples:
  sardinehold-bench scenarios
  sardinehold-bench load --scenario letters_desk --fleet fleet.json --out new.json
  sardinehold-bench compare baseline.json new.json
  sardinehold-bench report baseline.json new.json --folder out/report

exit codes: 0 success, 1 a session read stale data or the fleet did not answer,
2 invalid arguments, settings or files
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with all subcommands."""
    parser = argparse.ArgumentParser(
        prog="sardinehold-bench",
        description=__doc__,
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--version", action="version", version=f"sardinehold {sardinehold.__version__}"
    )
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser("scenarios", help="list the included scenarios")
    _add_load(commands)
    compare = commands.add_parser(
        "compare", help="compare two results, with confidence intervals"
    )
    compare.add_argument("first", type=pathlib.Path)
    compare.add_argument("second", type=pathlib.Path)
    page = commands.add_parser("report", help="write a report page with plots")
    page.add_argument("results", type=pathlib.Path, nargs="+")
    page.add_argument("--folder", type=pathlib.Path, default=pathlib.Path("out"))
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the command and return its exit code."""
    parsed = build_parser().parse_args(arguments)
    try:
        return _COMMANDS[parsed.command](parsed)
    except errors.SardineholdError as error:
        error.show()
        return error.exit_code
    except clients.ConnectionClosed as error:
        print(f"The connection to the fleet was closed: {error}", file=sys.stderr)
        return 1


def _add_load(commands) -> None:
    command = commands.add_parser("load", help="run a scenario against a fleet")
    command.add_argument(
        "--scenario", required=True, help="INI file or name of an included scenario"
    )
    command.add_argument("--fleet", type=pathlib.Path, required=True)
    command.add_argument("--runs", type=int, default=1)
    command.add_argument("--seed", type=int, default=1)
    command.add_argument("--seconds", type=float, help="duration of a run")
    command.add_argument("--name", default="", help="name of the policy or version")
    command.add_argument("--out", type=pathlib.Path, help="file for the results")


def _list_scenarios(parsed: argparse.Namespace) -> int:
    for name in scenarios.list_scenarios():
        print(name)
    return 0


def _run_load(parsed: argparse.Namespace) -> int:
    scenario = scenarios.load_scenario(scenarios.find_scenario(parsed.scenario))
    if parsed.seconds:
        scenario.seconds = parsed.seconds
    fleet = fleets.load_fleet(parsed.fleet)
    run_results = [
        anyio.run(load.Run(scenario, fleet, parsed.seed + run).execute)
        for run in range(parsed.runs)
    ]
    for result in run_results:
        print_result(result)
    if parsed.out:
        report.save_experiment(
            _build_experiment(parsed, scenario, run_results), parsed.out
        )
    return 1 if any(result.stale_reads for result in run_results) else 0


def _build_experiment(
    parsed: argparse.Namespace,
    scenario: scenarios.Scenario,
    run_results: list[results.RunResult],
) -> report.Experiment:
    return report.Experiment(
        name=parsed.name or scenario.deployment.name,
        command=f"sardinehold-bench load --scenario {parsed.scenario} "
        f"--runs {parsed.runs} --seed {parsed.seed}",
        runs=[result.summarize() for result in run_results],
        teams=[report.describe_teams(result) for result in run_results],
    )


def print_result(result: results.RunResult) -> None:
    """Print a table of the teams and a JSON line with the measures."""
    print(
        f"{'team':16}{'sent':>8}{'share':>8}{'refused':>9}{'unknown':>9}{'p99 ms':>9}"
    )
    for team in result.teams.values():
        print(
            f"{team.name:16}{team.sent:8}{team.measure_share():8.3f}"
            f"{team.refused:9}{team.unknown:9}{team.read_latency(99):9.1f}"
        )
    print(json.dumps(result.summarize()))


def _compare(parsed: argparse.Namespace) -> int:
    first = report.load_experiment(parsed.first)
    second = report.load_experiment(parsed.second)
    if len(first.runs) != len(second.runs):
        raise errors.SettingsError(
            "The results contain different numbers of runs.",
            "Create both with the same --runs and --seed.",
        )
    print(report.format_comparison(first, second))
    return 0


def _write_report(parsed: argparse.Namespace) -> int:
    experiments = [report.load_experiment(path) for path in parsed.results]
    print(report.write_report(experiments, parsed.folder))
    return 0


_COMMANDS = {
    "scenarios": _list_scenarios,
    "load": _run_load,
    "compare": _compare,
    "report": _write_report,
}


if __name__ == "__main__":
    sys.exit(main())
