"""Content of the status page: the three measures, degraded parts and actions."""

import typing

from sardinehold import document
from sardinehold import operators
from sardinehold import validation
from sardinehold.console import fleet as fleets

READS_ON_REPLICAS = "reads_on_replica"
READS_ON_PRIMARIES = "reads_on_primary"
FAILOVER_GAP = "failover_gap"
SERVED = "requests_served"
REFUSED = "requests_refused"
REFUSED_IN_RATE = "requests_refused_in_rate"


class Measure:
    """A measure of the service quality.

    :param value: value as text, ``–`` without samples.
    :param meaning: explanation of the value, one sentence.
    """

    __slots__ = ("name", "value", "meaning")

    def __init__(self, name: str, value: str, meaning: str) -> None:
        """Initialise the measure."""
        self.name = name
        self.value = value
        self.meaning = meaning

    def dump(self) -> dict[str, str]:
        """Return the measure as a JSON object."""
        return {"name": self.name, "value": self.value, "meaning": self.meaning}


class Advice:
    """A degraded part or a recommended action.

    :param problem: description of the problem, one sentence.
    :param action: what to do about it, one sentence.
    :param page: path of the page for the action, ``""`` for none.
    """

    __slots__ = ("problem", "action", "page")

    def __init__(self, problem: str, action: str, page: str = "") -> None:
        """Initialise the advice."""
        self.problem = problem
        self.action = action
        self.page = page

    def dump(self) -> dict[str, str]:
        """Return the advice as a JSON object."""
        return {"problem": self.problem, "action": self.action, "page": self.page}


MAX_NAMES = 5
"""Largest number of names listed in one sentence."""

NO_VALUE = "–"
"""Value of a measure without samples."""


def measure_fleet(fleet: fleets.Fleet) -> list[Measure]:
    """Return the three measures over all VMs, since each of them started.

    The third measure, service to teams, has two values.
    """
    return [
        _measure_replica_reads(fleet),
        _measure_failover(fleet),
        _measure_worst_team(fleet),
        _measure_refusals_in_rate(fleet),
    ]


def _measure_replica_reads(fleet: fleets.Fleet) -> Measure:
    replica = fleet.sum_counter(READS_ON_REPLICAS)
    total = replica + fleet.sum_counter(READS_ON_PRIMARIES)
    value = _format_share(replica, total)
    return Measure("Reads served by replicas", value, f"Of {total} reads.")


def _measure_failover(fleet: fleets.Fleet) -> Measure:
    gap = fleet.read_percentile(FAILOVER_GAP, 100)
    value = NO_VALUE if gap is None else f"{gap * 1000:.0f} ms"
    return Measure(
        "Longest failover gap",
        value,
        "Longest time without accepted writes in a group.",
    )


def _measure_worst_team(fleet: fleets.Fleet) -> Measure:
    worst, share = find_worst_served_team(fleet)
    value = NO_VALUE if not worst else f"{share:.1%}"
    meaning = (
        f"Share of the requests of team {worst} that were served."
        if worst
        else "No requests."
    )
    return Measure("Worst-served team", value, meaning)


def _measure_refusals_in_rate(fleet: fleets.Fleet) -> Measure:
    refused_in_rate = fleet.sum_counter(REFUSED_IN_RATE)
    return Measure(
        "Refused inside the rate",
        str(refused_in_rate),
        "Requests refused although their team was within its rate.",
    )


def find_worst_served_team(fleet: fleets.Fleet) -> tuple[str, float]:
    """Return the team with the smallest share of served requests, and that share.

    The name is ``""`` if no team has requests.
    """
    worst, smallest = "", 2.0
    for team in fleet.list_labels(SERVED, "team"):
        served = fleet.sum_counter(SERVED, team=team)
        refused = fleet.sum_counter(REFUSED, team=team)
        if served + refused and served / (served + refused) < smallest:
            worst, smallest = team, served / (served + refused)
    return worst, smallest


def _format_share(part: int, total: int) -> str:
    return f"{part / total:.1%}" if total else NO_VALUE


class AdviceContext:
    """Input of the advice checks.

    :param principal: operator who reads the advice.
    """

    __slots__ = ("config", "fleet", "principal")

    def __init__(
        self,
        config: document.Document,
        fleet: fleets.Fleet,
        principal: operators.Principal,
    ) -> None:
        """Initialise the context."""
        self.config = config
        self.fleet = fleet
        self.principal = principal


_AdviceCheck = typing.Callable[[AdviceContext], typing.Iterator[Advice]]
_ADVICE_CHECKS: list[_AdviceCheck] = []


def _advice_check(function: _AdviceCheck) -> _AdviceCheck:
    _ADVICE_CHECKS.append(function)
    return function


def find_advice(advice_context: AdviceContext) -> list[Advice]:
    """Return degraded parts and recommended actions, the most urgent first."""
    return [advice for check in _ADVICE_CHECKS for advice in check(advice_context)]


@_advice_check
def _check_groups(advice_context: AdviceContext) -> typing.Iterator[Advice]:
    for name in advice_context.config.groups:
        state = advice_context.fleet.groups.get(name, {})
        if name in advice_context.fleet.handovers:
            yield Advice(
                f"A handover of group {name} is under way.",
                "Wait; writes are delayed for less than a second.",
                f"/groups/{name}",
            )
        elif not state.get("primary"):
            yield Advice(
                f"Group {name} has no primary: reads are served, writes are refused.",
                "Start an endpoint of the group; it is promoted automatically.",
                f"/groups/{name}",
            )
        elif state.get("phase") == "sealed":
            yield Advice(
                f"Group {name} is changing its primary.",
                "Wait up to 5 seconds, then reload this page.",
                f"/groups/{name}",
            )


@_advice_check
def _check_vms(advice_context: AdviceContext) -> typing.Iterator[Advice]:
    vms = advice_context.fleet.vms.values()
    if not advice_context.fleet.vms:
        yield Advice(
            "No proxy has reported yet.", "Start the proxies, or wait a few seconds."
        )
    silent = [vm.name for vm in vms if vm.state == "silent"]
    if silent:
        yield Advice(
            f"No status received from {_format_names(silent)}.",
            "If this lasts a minute, replace the VM; it stores no data.",
        )
    cut_off = [vm.name for vm in vms if vm.state == "cut off"]
    if cut_off:
        yield Advice(
            f"Disconnected and not serving: {_format_names(cut_off)}.",
            "Check the network of these VMs; they resume service automatically.",
        )
    version = advice_context.config.version
    behind = [vm.name for vm in vms if vm.state != "silent" and vm.version < version]
    if behind:
        yield Advice(
            f"Version {version} is not in force yet on {_format_names(behind)}.",
            "Wait 8 seconds; a VM that stays behind refuses requests automatically.",
        )
    leaving = [vm.name for vm in vms if vm.state == "leaving"]
    if leaving:
        yield Advice(f"Stopping: {_format_names(leaving)}.", "No action needed.")


def _format_names(names: list[str]) -> str:
    if len(names) <= MAX_NAMES:
        return ", ".join(sorted(names))
    shown = ", ".join(sorted(names)[:MAX_NAMES])
    return f"{shown} and {len(names) - MAX_NAMES} more"


@_advice_check
def _check_teams(advice_context: AdviceContext) -> typing.Iterator[Advice]:
    refused_in_rate = advice_context.fleet.sum_counter(REFUSED_IN_RATE)
    if refused_in_rate:
        yield Advice(
            f"{refused_in_rate} requests were refused within their team's rate.",
            "Check the load of the groups; add endpoints if their queues are full.",
            "/groups",
        )
    worst, share = find_worst_served_team(advice_context.fleet)
    if worst and share < 0.99:
        yield Advice(
            f"Team {worst} had {1 - share:.1%} of its requests refused.",
            "If it needs more than its rate, raise the rate.",
            f"/teams/{worst}",
        )


@_advice_check
def _check_bootstrap(advice_context: AdviceContext) -> typing.Iterator[Advice]:
    if advice_context.principal.name == operators.BOOTSTRAP_NAME:
        yield Advice(
            "You are signed in with the bootstrap key.",
            "Create a named operator, then remove bootstrap_key from the settings.",
            "/edits/operator.create",
        )


_SECTION_PAGES = {
    "teams": "/teams",
    "groups": "/groups",
    "routes": "/routes",
    "operators": "/operators",
}


@_advice_check
def _check_document(advice_context: AdviceContext) -> typing.Iterator[Advice]:
    for warning in validation.find_warnings(advice_context.config):
        section, _, rest = warning.path.partition(".")
        name = rest.split(".")[0]
        page = _SECTION_PAGES.get(section, "/document")
        if section in ("teams", "groups") and name:
            page = f"{page}/{name}"
        problem = f"In the document, {warning.path} {warning.problem}."
        yield Advice(problem, warning.remedy, page)
