"""The three measures for both deployments, compared with the baseline.

Run with ``python bench/measures.py --runs 3``. Each run starts a new deployment:
platform, nine endpoints and nine proxies as processes of this machine, with the
latency of the scenario between proxies and endpoints. After half of the run some
teams multiply their demand, and after three quarters a primary is partitioned from
its replicas. The last line is JSON.
"""

import argparse
import json
import pathlib

import anyio

import deployments
from sardinehold_bench import cli
from sardinehold_bench import load
from sardinehold_bench import report
from sardinehold_bench import scenario as scenarios

POLICIES = {"baseline": True, "sardinehold": False}


def run_once(scenario: scenarios.Scenario, baseline: bool, seed: int):
    """Start the deployment, generate the load, and return the results."""
    with deployments.Deployment(scenario, baseline) as fleet:
        return anyio.run(load.Run(scenario, fleet, seed).execute)


def measure(name: str, policy: str, options: argparse.Namespace) -> report.Experiment:
    """Return the results of all runs of one scenario and policy."""
    scenario = scenarios.load_scenario(scenarios.find_scenario(name))
    scenario.seconds = options.seconds
    found = []
    for run in range(options.runs):
        result = run_once(scenario, POLICIES[policy], options.seed + run)
        print(f"{name} {policy} run {run}", flush=True)
        cli.print_result(result)
        found.append(result)
    return report.Experiment(
        name=f"{name} {policy}",
        command=f"python bench/measures.py --runs {options.runs}"
        f" --seconds {options.seconds:g} --seed {options.seed}",
        runs=[result.summarize() for result in found],
        teams=[report.describe_teams(result) for result in found],
    )


def main() -> None:
    """Print a table for each deployment and a JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=24.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--scenario", nargs="*", default=scenarios.list_scenarios())
    parser.add_argument("--folder", type=pathlib.Path, default=pathlib.Path("out"))
    options = parser.parse_args()
    summary = {}
    for name in options.scenario:
        found = [measure(name, policy, options) for policy in POLICIES]
        report.write_report(found, options.folder / name)
        for policy, experiment in zip(POLICIES, found, strict=True):
            path = options.folder / name / f"{policy}.json"
            report.save_experiment(experiment, path)
            summary[experiment.name] = experiment.runs
        print(report.format_comparison(*found))
    print(json.dumps(summary))


if __name__ == "__main__":
    main()
