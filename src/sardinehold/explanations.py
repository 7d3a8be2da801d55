"""Log lines of all nodes that explain one request.

An explanation has the lines of the request, suspensions of its nodes meanwhile, and the
state as seen by its nodes at that time: the last line of each kind that may have
decided the request.
"""

import json
import pathlib
import typing

from sardinehold import errors

NODE_STATE_EVENTS = ("configuration", "store_lost", "store_regained")
"""Events about the whole node of which the last one is in effect."""

PRIMARY_CHANGE_SECONDS = 5.0
"""Seconds before and after the request in which a change of its group's primary is
included; a change completes within this time."""

OUTCOME_EVENTS = ("served", "failed")
"""Events with the outcome of a request, written by the node that has its caller."""

Line = dict[str, typing.Any]


def read_lines(paths: list[pathlib.Path]) -> list[Line]:
    """Return the log lines in files, sorted by time.

    Text before a line's JSON object, such as the timestamp of another logger, and
    lines of other programs are ignored.

    :raises sardinehold.errors.SettingsError: a file is not readable.
    """
    found = []
    for path in paths:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            raise errors.SettingsError(
                f"{path} cannot be read ({error.strerror}).",
                "Give the path of a log file.",
            ) from error
        for row in text.splitlines():
            line = _parse(row)
            if line is not None:
                found.append(line)
    return sorted(found, key=lambda line: line["at"])


def _parse(row: str) -> Line | None:
    start = row.find('{"at":')
    if start < 0:
        return None
    try:
        line = json.loads(row[start:])
    except ValueError:
        return None
    return line if "event" in line and "vm" in line else None


def explain_request(lines: list[Line], request: str) -> list[Line]:
    """Return the lines that explain a request, sorted by time.

    :raises sardinehold.errors.SettingsError: no line has the request's identifier.
    """
    request_lines = [line for line in lines if line.get("request") == request]
    if not request_lines:
        raise errors.SettingsError(
            f"No line has the request identifier {request}.",
            "Give the logs of all nodes; lines of successes may have been dropped.",
        )
    first, last = find_outcome(request_lines), request_lines[-1]
    started_at = first["at"] - first.get("seconds", 0.0)
    vms = {line["vm"] for line in request_lines}
    involved = vms | {first.get("home")}
    explanation = {id(line): line for line in request_lines}
    latest: dict[tuple, Line] = {}
    for line in lines:
        if line["at"] > last["at"] + PRIMARY_CHANGE_SECONDS:
            break
        is_early = line["at"] <= last["at"]
        if line["vm"] in vms and is_early:
            subject = _find_subject(line, first)
            if subject is not None:
                latest[line["vm"], *subject] = line
        is_near = started_at - PRIMARY_CHANGE_SECONDS <= line["at"]
        if is_near and _is_about_primary(line, first):
            explanation[id(line)] = line
        if line["event"] == "suspended" and line["vm"] in involved:
            began_at = line["at"] - line["seconds"]
            if began_at <= last["at"] and line["at"] >= started_at:
                explanation[id(line)] = line
    for line in latest.values():
        explanation[id(line)] = line
    return sorted(explanation.values(), key=lambda line: line["at"])


def find_outcome(lines: list[Line]) -> Line:
    """Return the line with a request's outcome, its first one if there is none."""
    found = (line for line in lines if line["event"] in OUTCOME_EVENTS)
    return next(found, next(line for line in lines if "request" in line))


def _find_subject(line: Line, request: Line) -> tuple | None:
    """Return the subject of a line if it may have decided the request, else None."""
    event = line["event"]
    if event in NODE_STATE_EVENTS:
        return ("store", line.get("kind")) if "store" in event else (event,)
    if event == "group_state" and line.get("group") == request.get("group"):
        return (event,)
    if event.startswith("endpoint") and line.get("endpoint") == request.get("endpoint"):
        return ("endpoint",)
    return None


def _is_about_primary(line: Line, request: Line) -> bool:
    event = line["event"]
    if event.startswith("lead_") and event != "lead_not_written":
        return True
    return event.startswith("failover_") and line.get("group") == request.get("group")


def format_line(line: Line, since: float) -> str:
    """Return a line in readable form, with the seconds since ``since``."""
    fields = " ".join(
        f"{name}={json.dumps(value) if not isinstance(value, str) else value}"
        for name, value in line.items()
        if name not in ("at", "vm", "event") and value not in ("", None)
    )
    return f"{line['at'] - since:+9.3f} {line['vm']:<24} {line['event']:<20} {fields}"
