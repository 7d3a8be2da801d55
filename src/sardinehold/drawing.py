"""Diagrams of timelines: a lane per process, group and role, with spans for states.

A rule converts events of a kind into the start or end of a span. Events without a
rule are drawn as marks on the lane of their process.
"""

import pathlib
import typing

import matplotlib
from matplotlib import figure

from sardinehold import errors
from sardinehold import timeline

FORMATS = (".svg", ".png")
LINE_HEIGHT = 0.2
"""Height of one line of labels in inches; a lane has as many as its labels need."""

CHARACTER_WIDTH = 0.065
"""Maximum width of a character of a label in inches."""

MAX_LINES = 6
"""Maximum number of label lines in one lane; further labels are omitted."""

WIDTH = 12.0
"""Width of the diagram in inches."""

MAX_LABELS = 60
"""Maximum number of events with labelled marks; above it, only spans are labelled."""

RESOLUTION = 120
"""Dots per inch of a PNG file."""

_COLOURS = {
    "good": "#cfe6d6",
    "wait": "#f3e2b8",
    "bad": "#f2cbc9",
    "plain": "#cfdcec",
}


class Span:
    """A state during an interval of time.

    :param lane: the process, group or role in this state.
    :param label: name of the state.
    :param start: wall time in microseconds.
    :param end: wall time in microseconds.
    :param colour: ``good``, ``wait``, ``bad`` or ``plain``.
    """

    __slots__ = ("lane", "label", "start", "end", "colour")

    def __init__(
        self, lane: str, label: str, start: int, end: int, colour: str = "plain"
    ) -> None:
        """Store the fields of the span."""
        self.lane = lane
        self.label = label
        self.start = start
        self.end = end
        self.colour = colour


class Lane:
    """A row of the diagram.

    :param name: the process, group or role.
    :param top: first line of the row.
    :param lines: number of label lines, plus one for marks.
    """

    __slots__ = ("name", "top", "lines")

    def __init__(self, name: str, top: int, lines: int) -> None:
        """Store the fields of the lane."""
        self.name = name
        self.top = top
        self.lines = lines


class LaneChange:
    """The start of a span in a lane, or the end of the open span.

    :param lane: the process, group or role whose state changes.
    :param track: name of a sequence of spans that do not overlap.
    :param label: label of the span that starts, ``""`` if the open span only ends.
    :param colour: colour of the span that starts.
    """

    __slots__ = ("lane", "track", "label", "colour")

    def __init__(
        self, lane: str, track: str, label: str = "", colour: str = "plain"
    ) -> None:
        """Store the fields of the change."""
        self.lane = lane
        self.track = track
        self.label = label
        self.colour = colour


_Rule = typing.Callable[[timeline.Event], list[LaneChange]]
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
"""State of a group and its colour after each event of the failover state machine."""


@rule(*(f"failover_{event}" for event in _FAILOVER_STATES))
def _step_group(event: timeline.Event) -> list[LaneChange]:
    state, colour = _FAILOVER_STATES[event.kind.removeprefix("failover_")]
    label = f"{state}, term {event.fields.get('term', '?')}"
    primary = event.fields.get("primary")
    if primary and state == "serving":
        label += f": {primary}"
    group = str(event.fields.get("group", "?"))
    return [LaneChange(group, "state", label, colour)]


@rule("lease_renewed")
def _start_lease(event: timeline.Event) -> list[LaneChange]:
    return [LaneChange(event.vm, "lease", "lease", "good")]


@rule("lease_lapsed")
def _end_lease(event: timeline.Event) -> list[LaneChange]:
    return [LaneChange(event.vm, "lease", "no lease", "bad")]


@rule("role_effective")
def _start_role(event: timeline.Event) -> list[LaneChange]:
    role = str(event.fields.get("role", "?"))
    label = f"{event.vm}, epoch {event.fields.get('epoch', '?')}"
    return [LaneChange(f"role {role}", "holder", label)]


@rule("drain_started", "node_leaving")
def _start_drain(event: timeline.Event) -> list[LaneChange]:
    return [LaneChange(event.vm, "process", "stopping", "wait")]


@rule("proxy_stopped", "process_stopped")
def _end_process(event: timeline.Event) -> list[LaneChange]:
    return [LaneChange(event.vm, "process"), LaneChange(event.vm, "lease")]


def find_spans(events: list[timeline.Event]) -> list[Span]:
    """Return the spans that the rules derive from events in causal order.

    A span that no event ends lasts until the last event.
    """
    spans: list[Span] = []
    open_spans: dict[tuple[str, str], Span] = {}
    last = events[-1].wall if events else 0
    for event in events:
        for change in RULES[event.kind](event) if event.kind in RULES else []:
            _apply_change(change, event.wall, last, spans, open_spans)
    return spans


def _apply_change(
    change: LaneChange,
    now: int,
    last: int,
    spans: list[Span],
    open_spans: dict[tuple[str, str], Span],
) -> None:
    track = (change.lane, change.track)
    before = open_spans.get(track)
    if before is not None and before.label == change.label:
        return
    if before is not None:
        before.end = now
        del open_spans[track]
    if change.label:
        open_spans[track] = Span(change.lane, change.label, now, last, change.colour)
        spans.append(open_spans[track])


def draw_events(events: list[timeline.Event], path: pathlib.Path) -> None:
    """Write a diagram of events in causal order as an SVG or PNG file.

    :raises sardinehold.errors.SettingsError: there are no events, the format is not
        supported, or the file cannot be written.
    """
    if path.suffix not in FORMATS:
        raise errors.SettingsError(
            f"{path} has no file extension of a supported format.",
            f"Use the extension {' or '.join(FORMATS)}.",
        )
    if not events:
        raise errors.SettingsError(
            "No event was selected.", "Give other files or a wider selection."
        )
    spans = find_spans(events)
    start = events[0].wall
    length = max((events[-1].wall - start) / 1e6, 0.001)
    width = length * CHARACTER_WIDTH / WIDTH
    lines = place_labels(spans, start, width)
    lanes = _build_lanes(events, spans, lines)
    total = sum(lane.lines for lane in lanes.values())
    drawing = figure.Figure(
        figsize=(WIDTH, 1.0 + LINE_HEIGHT * total), layout="constrained"
    )
    axes = drawing.add_subplot()
    _draw_spans(axes, spans, lanes, lines, start)
    _draw_marks(axes, events, lanes, start, width)
    _format_axes(axes, lanes, length)
    _save(drawing, path)


def place_labels(spans: list[Span], start: int, width: float) -> dict[Span, int]:
    """Return the line of each span's label so that labels do not overlap.

    :param width: width of a character in seconds of the time axis.
    """
    ends: dict[str, list[float]] = {}
    lines = {}
    for span in spans:
        left = (span.start - start) / 1e6
        taken = ends.setdefault(span.lane, [])
        line = next((i for i, end in enumerate(taken) if end <= left), len(taken))
        if line == MAX_LINES:
            continue
        taken[line : line + 1] = [left + (len(span.label) + 2) * width]
        lines[span] = line
    return lines


def _build_lanes(
    events: list[timeline.Event], spans: list[Span], lines: dict[Span, int]
) -> dict[str, Lane]:
    """Return the lanes by name: processes first, then groups and roles."""
    processes = sorted({event.vm for event in events})
    others = sorted({span.lane for span in spans} - set(processes))
    lanes: dict[str, Lane] = {}
    top = 0
    for name in [*processes, *others]:
        used = [lines[span] for span in spans if span.lane == name and span in lines]
        marks = 1 if name in processes else 0
        lanes[name] = Lane(name, top, max([*used, 0]) + 1 + marks)
        top += lanes[name].lines
    return lanes


def _draw_spans(
    axes: typing.Any,
    spans: list[Span],
    lanes: dict[str, Lane],
    lines: dict[Span, int],
    start: int,
) -> None:
    for span in spans:
        left = (span.start - start) / 1e6
        lane = lanes[span.lane]
        axes.barh(
            lane.top + lane.lines / 2,
            (span.end - span.start) / 1e6,
            left=left,
            height=lane.lines - 0.3,
            color=_COLOURS[span.colour],
            edgecolor="#8a96a6",
            linewidth=0.6,
        )
        if span in lines:
            height = lane.top + lines[span] + 0.5
            axes.text(left, height, f" {span.label}", fontsize=7, va="center")


def _draw_marks(
    axes: typing.Any,
    events: list[timeline.Event],
    lanes: dict[str, Lane],
    start: int,
    width: float,
) -> None:
    is_named = len(events) <= MAX_LABELS
    ends: dict[str, float] = {}
    for event in events:
        second = (event.wall - start) / 1e6
        lane = lanes[event.vm]
        height = lane.top + lane.lines - 0.6
        axes.plot(second, height, marker="|", markersize=8, color="#14539a")
        is_free = second >= ends.get(event.vm, 0.0)
        if is_named and is_free and event.kind not in RULES:
            ends[event.vm] = second + (len(event.kind) + 2) * width
            axes.text(
                second,
                height,
                f" {event.kind}",
                fontsize=6,
                color="#14539a",
                va="center",
            )


def _format_axes(axes: typing.Any, lanes: dict[str, Lane], length: float) -> None:
    total = sum(lane.lines for lane in lanes.values())
    axes.set_xlim(-0.02 * length, 1.12 * length)
    axes.set_ylim(total, 0)
    middles = [lane.top + lane.lines / 2 for lane in lanes.values()]
    axes.set_yticks(middles, list(lanes))
    axes.set_xlabel("seconds since the first event")
    axes.grid(axis="x", color="#d5dbe3", linewidth=0.6)
    axes.set_axisbelow(True)
    for side in ("top", "right", "left"):
        axes.spines[side].set_visible(False)


def _save(drawing: figure.Figure, path: pathlib.Path) -> None:
    # SVG files contain text instead of outlines, so that they can be searched. The
    # salt and the missing date make the output reproducible.
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
