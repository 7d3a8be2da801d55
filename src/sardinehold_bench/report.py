"""Report pages with tables and plots of experiment results."""

import json
import pathlib

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from sardinehold import errors  # noqa: E402
from sardinehold_bench import intervals  # noqa: E402
from sardinehold_bench import results  # noqa: E402

MEASURES = (
    "replica_read_share",
    "failover_gap_ms",
    "worst_team_served_share",
    "wrongful_refusals",
    "stale_reads",
)
PERCENTILES = (50.0, 99.0)
WIDTH_INCHES = 8.0
HEIGHT_INCHES = 3.0


class Experiment:
    """Results of repeated runs of one scenario with one policy.

    :param runs: one summary per run, in order of seeds: value by measure name.
    :param teams: one entry per run: counts, served share and latency percentiles
        in milliseconds, by team.
    """

    __slots__ = ("name", "command", "runs", "teams")

    def __init__(
        self,
        name: str,
        command: str,
        runs: list[dict[str, float]],
        teams: list[dict[str, dict[str, float]]],
    ) -> None:
        """Create the experiment."""
        self.name = name
        self.command = command
        self.runs = runs
        self.teams = teams

    def collect(self, measure: str) -> list[float]:
        """Return the values of a measure over all runs."""
        return [run[measure] for run in self.runs]


def describe_teams(result: results.RunResult) -> dict[str, dict[str, float]]:
    """Return the results of a run by team as JSON-serializable data."""
    return {
        team.name: {
            "sent": team.sent,
            "answered": team.answered,
            "refused": team.refused,
            "unknown": team.unknown,
            "share": round(team.measure_share(), 4),
            **{f"p{int(p)}_ms": team.read_latency(p) for p in PERCENTILES},
        }
        for team in result.teams.values()
    }


def save_experiment(experiment: Experiment, path: pathlib.Path) -> None:
    """Write an experiment as JSON."""
    data = {name: getattr(experiment, name) for name in Experiment.__slots__}
    path.write_text(json.dumps(data, indent=1) + "\n", encoding="utf-8")


def load_experiment(path: pathlib.Path) -> Experiment:
    """Read a saved experiment.

    :raises errors.SettingsError: the file is missing or not an experiment.
    """
    try:
        return Experiment(**json.loads(path.read_text(encoding="utf-8")))
    except (OSError, ValueError, TypeError) as error:
        raise errors.SettingsError(
            f"Results {path} cannot be used: {error}.",
            "Specify a file that sardinehold-bench load wrote.",
        ) from error


def format_comparison(first: Experiment, second: Experiment) -> str:
    """Return a Markdown table of both experiments and their paired differences."""
    lines = [
        f"| measure | {first.name} | {second.name} | difference |",
        "|---|---|---|---|",
    ]
    for measure in MEASURES:
        before = first.collect(measure)
        after = second.collect(measure)
        cells = [
            intervals.estimate_mean(before).format(),
            intervals.estimate_mean(after).format(),
            intervals.estimate_difference(before, after).format(),
        ]
        lines.append(f"| {measure} | {' | '.join(cells)} |")
    return "\n".join(lines)


def write_report(experiments: list[Experiment], folder: pathlib.Path) -> pathlib.Path:
    """Write ``report.md`` and its plots into ``folder``; return the page's path."""
    folder.mkdir(parents=True, exist_ok=True)
    lines = ["# Report", ""]
    for experiment in experiments:
        lines += [f"- {experiment.name}: `{experiment.command}`"]
    lines += ["", _format_measures(experiments), ""]
    for measure in MEASURES:
        plot_path = folder / f"{measure}.svg"
        _plot_measure(experiments, measure, plot_path)
        lines += [f"![{measure}]({plot_path.name})"]
    plot_path = folder / "teams.svg"
    _plot_teams(experiments, plot_path)
    lines += [f"![99th percentile latency by team]({plot_path.name})"]
    page = folder / "report.md"
    page.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return page


def _format_measures(experiments: list[Experiment]) -> str:
    names = " | ".join(experiment.name for experiment in experiments)
    lines = [f"| measure | {names} |", "|---" * (len(experiments) + 1) + "|"]
    for measure in MEASURES:
        cells = " | ".join(
            intervals.estimate_mean(experiment.collect(measure)).format()
            for experiment in experiments
        )
        lines.append(f"| {measure} | {cells} |")
    return "\n".join(lines)


def _plot_measure(
    experiments: list[Experiment], measure: str, path: pathlib.Path
) -> None:
    figure, axes = pyplot.subplots(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    for place, experiment in enumerate(experiments):
        interval = intervals.estimate_mean(experiment.collect(measure))
        error = [[interval.mean - interval.low], [interval.high - interval.mean]]
        axes.errorbar([interval.mean], [place], xerr=error, fmt="o", capsize=4)
    axes.set_yticks(range(len(experiments)), [each.name for each in experiments])
    axes.set_xlabel(measure)
    axes.margins(y=0.3)
    _save(figure, path)


def _plot_teams(experiments: list[Experiment], path: pathlib.Path) -> None:
    figure, axes = pyplot.subplots(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    for experiment in experiments:
        names = sorted(experiment.teams[0])
        values = [
            max(run[name]["p99_ms"] for run in experiment.teams) for name in names
        ]
        axes.plot(names, values, marker="o", label=experiment.name)
    axes.set_ylabel("99th percentile, ms")
    axes.tick_params(axis="x", rotation=45)
    axes.legend()
    _save(figure, path)


def _save(figure, path: pathlib.Path) -> None:
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
