"""Writes the pages that come from the code: ``python docs/generate.py``.

With ``--check`` nothing is written, and the exit code says whether all are current.
"""

import ast
import importlib
import json
import pathlib
import pkgutil
import sys

import sardinehold
from sardinehold import errors
from sardinehold import options
from sardinehold import schema
from sardinehold import settings
from sardinehold.node import occurrences
from sardinehold.node import outcomes

DOCS = pathlib.Path(__file__).parent

CONFIGURATION = """\
# Configuration reference

Generated from the code by `docs/generate.py`; do not edit.

There are two kinds of configuration. A process reads its *settings*, a small INI
file, when it starts. What the fleet does is the *document*, made in the console
and in force everywhere within seconds. `sardinehold check FILE…` tries both and
names all faults at once.
"""

DOCUMENT = """\
## The document

One JSON object, kept by the platform as `document/current`. The console's forms make
it; `docs/schema.json` is its JSON Schema. Parts stand under their names. A field
without a default is required, and unknown fields are refused.
"""

EVENTS = """\
# Log lines of a node

Generated from the code by `docs/generate.py`; do not edit.

One JSON object a line on standard output. Each has `at` (wall time in seconds), `vm`
and `event`. [OPERATIONS.md](OPERATIONS.md) shows how to read them.
"""

ERRORS = """\
# Error codes

Generated from the code by `docs/generate.py`; do not edit.

Every message names its code, what went wrong and what to do about it. Callers get
the SQLSTATE, with the outcome in DETAIL (`outcome: not run` or `outcome: unknown`)
and the remedy in HINT; `not run` is always true. Operators read one line; a program
that ends with an error has the exit code given here.
"""


_WRITERS: dict[str, tuple[str, ...]] = {
    "note": (),
    "_note": (),
    "note_ordinary": (),
    "log_endpoint": ("endpoint", "group"),
    "_format": ("count",),
}
"""Methods that write a line, and the fields that they add."""

_READ_FROM = {"session.trace.describe()": tuple(outcomes.Trace().describe())}
"""Where a call takes fields from that it does not name."""


class Cause:
    """What an error code means, for the page of error codes."""

    __slots__ = ("cause", "remedy")

    def __init__(self, cause: str, remedy: str) -> None:
        """Keep both."""
        self.cause = cause
        self.remedy = remedy


def read_causes() -> dict[str, Cause]:
    """Return the causes and remedies that docs/errors.json gives by code."""
    path = DOCS / "errors.json"
    causes = json.loads(path.read_text(encoding="utf-8"))
    return {code: Cause(*texts) for code, texts in causes.items()}


def list_errors() -> list[type[errors.SardineholdError]]:
    """Return all kinds of errors with a code of their own, by code."""
    for module in pkgutil.walk_packages(sardinehold.__path__, "sardinehold."):
        importlib.import_module(module.name)
    found, pending = {}, [errors.SardineholdError]
    while pending:
        kind = pending.pop()
        pending.extend(kind.__subclasses__())
        if "code" in vars(kind) and kind.__module__.startswith("sardinehold."):
            found[kind.code] = kind
    return [found[code] for code in sorted(found)]


def format_errors() -> str:
    """Return the page of error codes."""
    causes = read_causes()
    lines = [ERRORS]
    for kind in list_errors():
        cause = causes[kind.code]
        lines.append(f"## {kind.code} {kind.__name__}\n")
        lines.append(f"{schema.read_summary(kind)}\n")
        if issubclass(kind, errors.RequestError):
            outcome = kind.default_outcome.value
            lines.append(f"- SQLSTATE {kind.sqlstate}, outcome: {outcome}")
        else:
            lines.append(f"- Exit code {kind.exit_code}")
        lines.append(f"- Cause: {cause.cause}")
        lines.append(f"- Remedy: {cause.remedy}\n")
    return "\n".join(lines)


def format_configuration() -> str:
    """Return the configuration reference."""
    lines = [CONFIGURATION]
    for title, sections in (
        ("Settings of a proxy", settings.PROXY_SECTIONS),
        ("Settings of a console", settings.CONSOLE_SECTIONS),
    ):
        lines.append(f"## {title}\n")
        for name, section in sections.items():
            lines.extend(_format_section(name, section))
    lines.append(DOCUMENT)
    built = schema.build_schema()
    lines.extend(_format_object("document", built))
    for name, part in built["$defs"].items():
        lines.extend(_format_object(name, part))
    return "\n".join(lines)


def _format_section(name: str, section: tuple[options.Option, ...]) -> list[str]:
    lines = [f"### [{name}]\n", "| key | default | meaning |", "|---|---|---|"]
    for option in section:
        default = "required" if option.default is None else f"`{option.default}`"
        shown = "empty" if option.default == "" else default
        lines.append(f"| `{option.key}` | {shown} | {option.doc} |")
    return [*lines, ""]


def _format_object(name: str, part: dict) -> list[str]:
    lines = [f"### {name}\n", part["description"] + "\n"]
    lines.extend(["| field | type | default | meaning |", "|---|---|---|---|"])
    for field, about in part["properties"].items():
        required = field in part["required"]
        default = "required" if required else _format_default(about)
        meaning = about.get("description", "").replace("|", "\\|")
        lines.append(f"| `{field}` | {_format_type(about)} | {default} | {meaning} |")
    return [*lines, ""]


def _format_default(about: dict) -> str:
    return f"`{json.dumps(about['default'])}`" if "default" in about else "empty"


def _format_type(about: dict) -> str:
    if "enum" in about:
        return " or ".join(f"`{choice}`" for choice in about["enum"])
    if "$ref" in about:
        return about["$ref"].rsplit("/", 1)[1]
    kind = about["type"]
    if kind == "object":
        return f"by name: {_format_type(about['additionalProperties'])}"
    if kind == "array":
        return f"list of {_format_type(about['items'])}"
    return kind if isinstance(kind, str) else " or ".join(kind)


def collect_events() -> dict[str, list[str]]:
    """Return the fields of all log lines that the code writes, by event."""
    found: dict[str, set[str]] = {}
    package = pathlib.Path(sardinehold.__file__).parent
    folders = (package / "node", package / "platform")
    for path in (path for folder in folders for path in folder.glob("*.py")):
        for call in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(call, ast.Call) and call.args:
                for event, fields in _read_note(path.name, call):
                    found.setdefault(event, set()).update(fields)
    return {event: sorted(fields) for event, fields in found.items()}


def _read_note(module: str, call: ast.Call) -> list[tuple[str, set[str]]]:
    """Return the events that a call writes, with its fields; none if it writes none."""
    writer = getattr(call.func, "attr", "")
    if writer not in _WRITERS:
        return []
    first = call.args[0]
    choices = [first.body, first.orelse] if isinstance(first, ast.IfExp) else [first]
    names = [choice.value for choice in choices if isinstance(choice, ast.Constant)]
    fields = {*_WRITERS[writer], *(word.arg for word in call.keywords if word.arg)}
    if any(word.arg is None for word in call.keywords):
        fields.update(_READ_FROM.get(ast.unparse(call.keywords[-1].value), ()))
    owner = ast.unparse(call.func.value)
    prefix = ""
    writers = ("leader.py", "failover.py", "primary_moves.py")
    if module in writers and "journal" not in owner:
        prefix = "failover_"
    return [(prefix + name, fields) for name in names]


def format_events() -> str:
    """Return the page on the log lines of a node."""
    written = collect_events()
    rows = [
        f"| `{name}` | {', '.join(f'`{field}`' for field in written.get(name, []))} |"
        f" {text} |"
        for name, text in occurrences.EVENTS.items()
    ]
    fields = [
        f"| `{name}` | {text} |" for name, text in occurrences.STATEMENT_FIELDS.items()
    ]
    return "\n".join(
        [
            EVENTS,
            "| event | fields | meaning |",
            "|---|---|---|",
            *rows,
            "",
            "## Fields of `served` and `failed`",
            "",
            "| field | meaning |",
            "|---|---|",
            *fields,
        ]
    )


def build_pages() -> dict[str, str]:
    """Return the text of each generated page by its file name."""
    return {
        "configuration.md": format_configuration().rstrip() + "\n",
        "errors.md": format_errors().rstrip() + "\n",
        "events.md": format_events().rstrip() + "\n",
        "schema.json": json.dumps(schema.build_schema(), indent=2) + "\n",
    }


def main(arguments: list[str]) -> int:
    """Write the pages, or check them."""
    stale = []
    for name, text in build_pages().items():
        path = DOCS / name
        if path.exists() and path.read_text(encoding="utf-8") == text:
            continue
        stale.append(name)
        if "--check" not in arguments:
            path.write_text(text, encoding="utf-8")
    if stale:
        print("out of date:" if "--check" in arguments else "written:", *stale)
    return 1 if stale and "--check" in arguments else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
