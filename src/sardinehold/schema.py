"""The JSON Schema of the configuration document, generated from its classes.

Types are taken from the annotations, required fields from the missing defaults and
descriptions from the docstrings of :mod:`sardinehold.document`. This module adds the
bounds and patterns.
"""

import enum
import functools
import inspect
import re
import types
import typing

from sardinehold import document

DIALECT = "https://json-schema.org/draft/2020-12/schema"
NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
"""Pattern of the names of teams, groups, endpoints, routes and operators."""

MAX_RATE = 10_000_000
"""Largest rate in statements per second; above the design size of the fleet."""

MAX_TIMEOUT = 3600
"""Largest timeout in seconds."""

_POSITIVE_COUNT = {"minimum": 1, "maximum": 100_000}
_RATE = {"minimum": 0, "maximum": MAX_RATE}
_TIMEOUT = {"exclusiveMinimum": 0, "maximum": MAX_TIMEOUT}
_NAME = {"pattern": NAME_PATTERN}
_TEXT = {"maxLength": 500, "pattern": r"^[^\x00-\x1f\x7f]+$"}
_IDENTIFIER = {"maxLength": 63, "pattern": r"^[^\x00-\x1f\x7f]+$"}

BOUNDS: dict[tuple[type, str], dict] = {
    (document.Key, "prefix"): {"pattern": r"^[0-9a-f]{8}$"},
    (document.Key, "salt"): {"pattern": r"^[0-9a-f]{16,64}$"},
    (document.Key, "digest"): {"pattern": r"^[0-9a-f]{64}$"},
    (document.Team, "rate"): _RATE,
    (document.Team, "burst"): {"minimum": 0, "maximum": MAX_RATE},
    (document.Team, "weight"): {"exclusiveMinimum": 0, "maximum": 1000},
    (document.Endpoint, "host"): {"pattern": r"^[A-Za-z0-9.:_-]{1,253}$"},
    (document.Endpoint, "port"): {"minimum": 1, "maximum": 65535},
    (document.Endpoint, "zone"): _NAME,
    (document.Group, "slots"): _POSITIVE_COUNT,
    (document.Group, "connections"): _POSITIVE_COUNT,
    (document.Group, "database"): _IDENTIFIER,
    (document.Group, "user"): _IDENTIFIER,
    (document.Group, "endpoints"): {"minProperties": 1},
    (document.Route, "group"): _NAME,
    (document.Route, "teams"): {"uniqueItems": True},
    (document.Route, "rate"): _RATE,
    (document.Route, "burst"): {"minimum": 0, "maximum": MAX_RATE},
    (document.Route, "max_age"): {"minimum": 0, "maximum": 86_400},
    (document.Route, "statement_timeout"): _TIMEOUT,
    (document.Route, "idle_in_transaction"): _TIMEOUT,
    (document.Operator, "team"): {"pattern": r"^$|" + NAME_PATTERN},
    (document.Document, "version"): {"minimum": 1},
    (document.Document, "author"): _TEXT,
    (document.Document, "reason"): _TEXT,
    (document.Document, "change_id"): {"maxLength": 64},
    (document.Document, "written_at"): {"maxLength": 32},
    (document.Key, "changed_in"): {"minimum": 0},
}
"""JSON Schema keywords by class and field; other fields have none."""


@functools.cache
def build_schema() -> dict:
    """Return the schema of a whole document."""
    schema = {"$schema": DIALECT, "title": "sardinehold configuration document"}
    schema.update(_describe_class(document.Document))
    schema["$defs"] = {
        kind.__name__: _describe_class(kind)
        for kind in (
            document.Endpoint,
            document.Group,
            document.Key,
            document.Operator,
            document.Route,
            document.Team,
        )
    }
    return schema


def _describe_class(kind: type) -> dict:
    parameters = list(inspect.signature(kind).parameters.values())
    # A part is stored under its name, so the name is not one of its fields.
    fields = [item for item in parameters if item.name != "name"]
    docs = read_params(kind)
    return {
        "type": "object",
        "description": read_summary(kind),
        "additionalProperties": False,
        "required": [item.name for item in fields if item.default is item.empty],
        "properties": {
            item.name: _describe_field(kind, item, docs.get(item.name, ""))
            for item in fields
        },
    }


def _describe_field(kind: type, item: inspect.Parameter, doc: str) -> dict:
    described = _describe_type(item.annotation)
    described.update(BOUNDS.get((kind, item.name), {}))
    if doc:
        described["description"] = doc
    if item.default is not item.empty and isinstance(
        item.default, str | int | float | enum.Enum
    ):
        described["default"] = getattr(item.default, "value", item.default)
    return described


def _describe_type(annotation: typing.Any) -> dict:
    origin = typing.get_origin(annotation)
    arguments = typing.get_args(annotation)
    if origin in (types.UnionType, typing.Union):
        return _describe_optional(arguments)
    if origin is tuple:
        return _describe_tuple(arguments[0])
    if origin is dict:
        return _describe_map(arguments[1])
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        return {"enum": [member.value for member in annotation]}
    simple = {str: "string", int: "integer", float: "number", bool: "boolean"}
    if annotation in simple:
        return {"type": simple[annotation]}
    return {"$ref": f"#/$defs/{annotation.__name__}"}


def _describe_optional(arguments: tuple) -> dict:
    described = _describe_type(arguments[0])
    # An optional map may be omitted but not null; an optional number may be null.
    if described["type"] != "object":
        described["type"] = [described["type"], "null"]
    return described


def _describe_tuple(item: type) -> dict:
    if item is document.Endpoint:
        return _describe_map(item)
    items = dict(_NAME, type="string") if item is str else _describe_type(item)
    return {"type": "array", "items": items}


def _describe_map(item: type) -> dict:
    return {
        "type": "object",
        "propertyNames": {"pattern": NAME_PATTERN},
        "additionalProperties": _describe_type(item),
    }


def read_summary(kind: type) -> str:
    """Return the first line of the docstring of ``kind``."""
    return inspect.getdoc(kind).splitlines()[0]


def read_params(kind: type) -> dict[str, str]:
    """Return the descriptions of the parameters in the docstring of ``kind``."""
    pattern = re.compile(r"^:param (\w+): (.*(?:\n {4}.*)*)", re.MULTILINE)
    found = pattern.findall(inspect.getdoc(kind))
    return {name: " ".join(text.split()) for name, text in found}
