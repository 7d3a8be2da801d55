"""Questions to a running node over HTTP, on the address of its metrics page."""

import typing

import httpx

from sardinehold import errors

EXPLAIN_PATH = "/explain"

TIMEOUT = 5.0
"""Seconds in which a busy node answers."""


def fetch_explanation(
    address: str, route: str, team: str = "", position: str = ""
) -> dict[str, typing.Any]:
    """Return where a statement of a route would go now, as the node answers.

    :param address: host and port of the node's metrics page.
    :param position: ``TERM.OFFSET`` of the session's last commit.
    :raises sardinehold.errors.SettingsError: the node refuses the question.
    :raises sardinehold.errors.PlatformUnavailable: it does not answer.
    """
    query = {"route": route, "team": team, "position": position}
    asked = {name: value for name, value in query.items() if value}
    try:
        answer = httpx.get(
            f"http://{address}{EXPLAIN_PATH}",
            params=asked,
            timeout=TIMEOUT,
            trust_env=False,
        )
        found = answer.json()
    except (httpx.HTTPError, httpx.InvalidURL, ValueError) as error:
        raise errors.PlatformUnavailable(
            f"The node at {address} gave no explanation: {error!r}.",
            "Name the host and port of its metrics page, such as 10.0.0.7:9464.",
        ) from error
    if answer.status_code != httpx.codes.OK:
        raise errors.SettingsError(
            f"The node at {address} refused: {found['error']}.",
            "Correct the route, the team or the position.",
        )
    return found


def format_explanation(found: dict[str, typing.Any]) -> list[str]:
    """Return the lines of an explanation for an operator."""
    lines = [
        f"node {found['node']}, route {found['route']}, group {found['group']}, "
        f"{found['consistency']} reads, policy {found['policy']}",
        f"lease {'held' if found['holds_lease'] else 'not held'}, "
        f"confirmed {_format_age(found['lease_age'])}",
    ]
    for use in ("write", "read"):
        choice = found[use]
        target = choice["endpoint"] or f"nowhere: {choice['reason']}"
        lines.append(f"{use}: {target}")
    read = found["read"]
    for name, share in read.get("shares", {}).items():
        lines.append(f"  {share:.0%} of the draws choose {name}")
    for name, reason in read.get("skipped", {}).items():
        lines.append(f"  not {name}: {reason}")
    for item in found["endpoints"]:
        lines.append(_format_endpoint(item))
    return lines


def _format_endpoint(item: dict[str, typing.Any]) -> str:
    role = "primary" if item["is_primary"] else "replica"
    report = f"report {item['reported']}, {_format_age(item['report_age'])}"
    if item["is_owned"]:
        report = "counted by this node, its owner"
    return (
        f"{item['name']} ({role}, {item['zone']}): "
        f"latency {item['latency'] * 1000:.1f} ms, "
        f"ahead {item['ahead']:.1f} of {item['slots']} slots "
        f"({report}; own {item['own']}), service {item['service_time'] * 1000:.1f} ms, "
        f"round trip {item['round_trip'] * 1000:.0f} ms, "
        f"errors {item['failed']:.0%}, applied {item['applied']}"
    )


def _format_age(seconds: float | None) -> str:
    return "never" if seconds is None else f"{seconds:.2f} s ago"
