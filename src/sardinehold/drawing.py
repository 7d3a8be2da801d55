"""Draws a time line: a lane for each process, group and role, spans for states.

A rule turns events of a kind into the beginning or the end of a span; whatever
has no rule is a mark on the lane of its process.
"""

import pathlib
import typing

import matplotlib
from matplotlib import figure

from sardinehold import errors
from sardinehold import timeline

FORMATS = (".svg", ".png")
LANE_HEIGHT = 0.42
"""Inches."""

WIDTH = 12.0
"""Inches."""

MAX_LABELS = 60
"""Marks that are named in the picture; with more, only spans are."""

RESOLUTION = 120
"""Dots an inch of a PNG."""

_COLOURS = {
    "good": "#cfe6d6",
    "wait": "#f3e2b8",
    "bad": "#f2cbc9",
    "plain": "#cfdcec",
}


class Span:
    """A state that lasts.

    :param lane: the process, group or role that is in it.
    :param label: what it is.
    :param start: wall time in microseconds.
    :param end: wall time in microseconds.
    :param colour: ``good``, ``wait``, ``bad`` or ``plain``.
    """

    __slots__ = ("lane", "label", "start", "end", "colour")

    def __init__(
        self, lane: str, label: str, start: int, end: int, colour: str = "plain"
    ) -> None:
        """Keep the parts of the span."""
        self.lane = lane
        self.label = label
        self.start = start
        self.end = end
        self.colour = colour


class Step:
    """What an event says of a lane: a span begins there, or the one open ends.

    :param track: spans of one track follow each other and never overlap.
    :param label: of the span that begins, ``""`` if none does.
    """

    __slots__ = ("lane", "track", "label", "colour")

    def __init__(
        self, lane: str, track: str, label: str = "", colour: str = "plain"
    ) -> None:
        """Keep the parts of the step."""
        self.lane = lane
        self.track = track
        self.label = label
        self.colour = colour


_Rule = typing.Callable[[timeline.Event], list[Step]]
RULES: dict[str, _Rule] = {}
"""Rules by kind of event, filled by :func:`rule`."""


def rule(*kinds: str) -> typing.Callable[[_Rule], _Rule]:
    """Register the decorated function for some kinds of events."""

    def register(function: _Rule) -> _Rule:
        for kind in kinds:
            RULES[kind] = function
        return function

    return register


_FAILOVER_STATES = {
    "suspect": ("sealing", "bad"),
    "hand_over": ("draining", "wait"),
    "caught_up": ("sealing", "wait"),
    "abandon": ("serving", "good"),
    "sealed": ("fencing", "bad"),
    "lost": ("serving", "good"),
    "fenced": ("choosing", "bad"),
    "undo": ("serving", "good"),
    "chosen": ("promoting", "wait"),
    "failed": ("choosing", "bad"),
    "promoted": ("publishing", "wait"),
    "published": ("serving", "good"),
}
"""State of a group and its colour after each event of the failover chart."""


@rule(*(f"failover_{event}" for event in _FAILOVER_STATES))
def _step_group(event: timeline.Event) -> list[Step]:
    state, colour = _FAILOVER_STATES[event.kind.removeprefix("failover_")]
    label = f"{state}, term {event.fields.get('term', '?')}"
    primary = event.fields.get("primary")
    if primary and state == "serving":
        label += f": {primary}"
    group = str(event.fields.get("group", "?"))
    return [Step(group, "state", label, colour)]


@rule("lease_renewed")
def _begin_lease(event: timeline.Event) -> list[Step]:
    return [Step(event.vm, "lease", "lease", "good")]


@rule("lease_lapsed")
def _end_lease(event: timeline.Event) -> list[Step]:
    return [Step(event.vm, "lease", "no lease", "bad")]


@rule("role_effective")
def _begin_role(event: timeline.Event) -> list[Step]:
    role = str(event.fields.get("role", "?"))
    label = f"{event.vm}, epoch {event.fields.get('epoch', '?')}"
    return [Step(f"role {role}", "holder", label)]


@rule("drain_started", "node_leaving")
def _begin_drain(event: timeline.Event) -> list[Step]:
    return [Step(event.vm, "process", "stopping", "wait")]


@rule("proxy_started", "process_started")
def _begin_process(event: timeline.Event) -> list[Step]:
    return [Step(event.vm, "process", "running")]


@rule("proxy_stopped", "process_stopped")
def _end_process(event: timeline.Event) -> list[Step]:
    return [Step(event.vm, "process"), Step(event.vm, "lease")]


def find_spans(events: list[timeline.Event]) -> list[Span]:
    """Return the spans that the rules find in events in causal order.

    A span that nothing ends lasts to the last event.
    """
    spans: list[Span] = []
    open_spans: dict[tuple[str, str], Span] = {}
    last = events[-1].wall if events else 0
    for event in events:
        for step in RULES[event.kind](event) if event.kind in RULES else []:
            _apply_step(step, event.wall, last, spans, open_spans)
    return spans


def _apply_step(
    step: Step,
    now: int,
    last: int,
    spans: list[Span],
    open_spans: dict[tuple[str, str], Span],
) -> None:
    track = (step.lane, step.track)
    before = open_spans.get(track)
    if before is not None and before.label == step.label:
        return
    if before is not None:
        before.end = now
        del open_spans[track]
    if step.label:
        open_spans[track] = Span(step.lane, step.label, now, last, step.colour)
        spans.append(open_spans[track])


def draw_events(events: list[timeline.Event], path: pathlib.Path) -> None:
    """Draw events in causal order as an SVG or PNG picture.

    :raises sardinehold.errors.SettingsError: nothing to draw, another format, or
        the file cannot be written.
    """
    if path.suffix not in FORMATS:
        raise errors.SettingsError(
            f"{path} names no format that can be drawn.",
            f"End the name in {' or '.join(FORMATS)}.",
        )
    if not events:
        raise errors.SettingsError(
            "No event is left to draw.", "Name other files or a wider selection."
        )
    spans = find_spans(events)
    lanes = _list_lanes(events, spans)
    drawing = figure.Figure(
        figsize=(WIDTH, 1.2 + LANE_HEIGHT * len(lanes)), layout="constrained"
    )
    axes = drawing.add_subplot()
    start = events[0].wall
    _draw_spans(axes, spans, lanes, start)
    _draw_marks(axes, events, lanes, start)
    _finish_axes(axes, events, lanes)
    _save(drawing, path)


def _list_lanes(events: list[timeline.Event], spans: list[Span]) -> dict[str, int]:
    """Return the row of each lane: processes first, then groups and roles."""
    processes = sorted({event.vm for event in events})
    others = sorted({span.lane for span in spans} - set(processes))
    return {lane: row for row, lane in enumerate([*processes, *others])}


def _draw_spans(
    axes: typing.Any, spans: list[Span], lanes: dict[str, int], start: int
) -> None:
    for span in spans:
        left = (span.start - start) / 1e6
        length = (span.end - span.start) / 1e6
        row = lanes[span.lane]
        axes.barh(
            row,
            length,
            left=left,
            height=0.7,
            color=_COLOURS[span.colour],
            edgecolor="#8a96a6",
            linewidth=0.6,
        )
        axes.text(left, row - 0.1, f" {span.label}", fontsize=7, clip_on=True)


def _draw_marks(
    axes: typing.Any,
    events: list[timeline.Event],
    lanes: dict[str, int],
    start: int,
) -> None:
    is_named = len(events) <= MAX_LABELS
    for event in events:
        second = (event.wall - start) / 1e6
        row = lanes[event.vm]
        axes.plot(second, row + 0.2, marker="|", markersize=9, color="#14539a")
        if is_named and event.kind not in RULES:
            axes.text(second, row + 0.42, f" {event.kind}", fontsize=6, color="#14539a")


def _finish_axes(
    axes: typing.Any, events: list[timeline.Event], lanes: dict[str, int]
) -> None:
    length = max((events[-1].wall - events[0].wall) / 1e6, 0.001)
    axes.set_xlim(-0.02 * length, 1.08 * length)
    axes.set_ylim(len(lanes) - 0.4, -0.6)
    axes.set_yticks(list(lanes.values()), list(lanes))
    axes.set_xlabel("seconds since the first event")
    axes.grid(axis="x", color="#d5dbe3", linewidth=0.6)
    axes.set_axisbelow(True)
    for side in ("top", "right", "left"):
        axes.spines[side].set_visible(False)


def _save(drawing: figure.Figure, path: pathlib.Path) -> None:
    # Text stays text in an SVG, so that it can be searched.
    settings = {"svg.fonttype": "none", "svg.hashsalt": "sardinehold"}
    metadata = {"Date": None} if path.suffix == ".svg" else None
    try:
        with matplotlib.rc_context(settings):
            drawing.savefig(path, dpi=RESOLUTION, metadata=metadata)
    except OSError as error:
        raise errors.SettingsError(
            f"{path} cannot be written ({error.strerror}).",
            "Name a file in a folder that exists and is writable.",
        ) from error
