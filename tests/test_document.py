"""Parsing, dumping, validating and comparing documents."""

import json
import pathlib

import pytest

import builders_document as builders
from sardinehold import changes
from sardinehold import checking
from sardinehold import document
from sardinehold import errors
from sardinehold import schema
from sardinehold import validation

SCHEMA = pathlib.Path(__file__).parent.parent / "docs" / "schema.json"


def replace_value(path, value):
    """Return a document as JSON with the value at ``path`` replaced, or removed."""
    value_copy = builders.build_value()
    target = value_copy
    *parents, last = path.split(".")
    for part in parents:
        target = target[int(part)] if isinstance(target, list) else target[part]
    if value is None:
        del target[last]
    else:
        target[last] = value
    return value_copy


def test_dump_is_the_inverse_of_parsing():
    value = builders.build_value()
    assert document.dump_document(document.parse_document(value)) == value
    assert json.loads(json.dumps(value)) == value


def test_names_are_sorted():
    value = builders.build_value(
        teams={n: document.Team(n, 1, 1) for n in ("web", "desk", "print")}
    )
    assert list(value["teams"]) == ["desk", "print", "web"]


def test_published_schema_is_current():
    published = json.loads(SCHEMA.read_text(encoding="utf-8"))
    assert published == schema.build_schema(), "run docs/generate.py"


def test_schema_describes_every_field():
    parts = [schema.build_schema(), *schema.build_schema()["$defs"].values()]
    fields = [field for part in parts for field in part["properties"].values()]
    assert all(field.get("description") for field in fields)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("version", 0),
        ("version", 1.0),
        ("version", True),
        ("reason", None),
        ("reason", ""),
        ("teams", []),
        ("teams.desk.rate", -1),
        ("teams.desk.rate", "100"),
        ("teams.desk.rate", float("nan")),
        ("teams.desk.rate", float("inf")),
        ("teams.desk.burst", 1.5),
        ("teams.desk.weight", 0),
        ("teams.desk.raet", 5),
        ("teams.desk.keys.0.digest", "secret"),
        ("groups.letters-1.slots", 0),
        ("groups.letters-1.endpoints", {}),
        ("groups.letters-1.endpoints.letters-1a.port", 65536),
        ("groups.letters-1.endpoints.letters-1a.port", None),
        ("routes.letters.durability", "quorum"),
        ("routes.letters.max_age", -1),
        ("routes.letters.teams", ["desk", "desk"]),
        ("routes.letters.group", "letters-9"),
        ("routes.letters.teams", ["nobody"]),
        ("operators.ana.role", "admin"),
        ("operators.ana.team", "nobody"),
        ("groups.letters-1.endpoints.letters-1b.port", 6501),
        ("teams.print.keys.0.prefix", "00000001"),
        ("reason", "two\nlines"),
        ("routes.letters.teams", ["desk\n"]),
        ("groups.letters-1.database", "main\n"),
    ],
)
def test_fault_has_a_path_and_a_remedy(path, value):
    found = validation.find_faults(replace_value(path, value))
    assert len(found) == 1
    assert found[0].path.startswith(path.rsplit(".", 1)[0].split(".keys")[0])
    assert found[0].remedy.endswith((".", "?"))
    with pytest.raises(errors.DocumentError):
        document.parse_document(replace_value(path, value))


def test_all_faults_are_reported_together():
    value = replace_value("teams.desk.rate", "many")
    value["routes"]["web"]["durability"] = "none"
    value["teams"]["Bad Name"] = {"rate": 1, "burst": 1}
    value["extra"] = 1
    paths = {fault.path for fault in validation.find_faults(value)}
    assert paths == {"extra", "routes.web.durability", "teams", "teams.desk.rate"}


def test_unknown_field_gets_a_suggestion():
    found = validation.find_faults(replace_value("teams.desk.raet", 5))
    assert "Did you mean rate?" in found[0].remedy


def test_faults_do_not_contain_keys():
    found = validation.find_faults(
        replace_value("teams.desk.keys.0.digest", "shk_aa_bb")
    )
    assert "shk_aa_bb" not in found[0].format()


@pytest.mark.parametrize("value", [None, [], "x", 1, {}])
def test_value_that_is_not_a_document_is_refused(value):
    with pytest.raises(errors.DocumentError) as caught:
        document.parse_document(value)
    assert caught.value.exit_code == 2


def test_accepted_document_of_a_later_release_is_parsed():
    value = replace_value("teams.desk.colour", "blue")
    value["regions"] = {}
    assert document.parse_document(value, strict=False).teams["desk"].rate == 100


def test_malformed_document_from_the_platform_raises_one_error():
    with pytest.raises(errors.DocumentError):
        document.parse_document({"version": 1}, strict=False)


@pytest.mark.parametrize(
    ("parts", "path"),
    [
        ({"teams": {"desk": document.Team("desk", 0, 5)}}, "teams.desk.rate"),
        ({"teams": {"desk": document.Team("desk", 5, 0)}}, "teams.desk.burst"),
        ({"teams": {"desk": document.Team("desk", 5, 5)}}, "teams.desk.keys"),
        (
            {
                "teams": {
                    "desk": document.Team(
                        "desk", 5, 5, keys=(builders.build_key(1, True),)
                    )
                }
            },
            "teams.desk.keys",
        ),
        (
            {
                "teams": {"desk": document.Team("desk", 9000, 5)},
                "routes": {"r": document.Route("r", "letters-1", ("desk",))},
            },
            "groups.letters-1",
        ),
        ({"routes": {"r": document.Route("r", "letters-1")}}, "routes.r.teams"),
        (
            {"routes": {"r": document.Route("r", "letters-1", open=True)}},
            "routes.r.rate",
        ),
        ({"operators": {}}, "operators"),
    ],
)
def test_probable_mistake_produces_a_warning(parts, path):
    parts = {"routes": {}, **parts}
    found = validation.find_warnings(builders.build_document(**parts))
    assert path in {warning.path for warning in found}
    assert all(warning.remedy.endswith(".") for warning in found)


def test_correct_document_has_no_warnings():
    assert validation.find_warnings(builders.build_document()) == []


def test_comparison_lists_the_differences():
    before = builders.build_document()
    after = builders.build_document(version=2, author="bob", reason="busy")
    after.teams["desk"].rate = 70
    after.teams["desk"].keys[0].withdrawn = True
    del after.routes["web"]
    differences = {
        change.path: change for change in changes.compare_documents(before, after)
    }
    assert differences["teams.desk.rate"].format() == "teams.desk.rate: 100 → 70"
    assert differences["teams.desk.keys.00000001.withdrawn"].after == "true"
    assert differences["routes.web.group"].after == ""
    assert all(path.split(".")[0] in ("teams", "routes") for path in differences)


def test_comparison_hides_digests():
    differences = changes.compare_documents(None, builders.build_document())
    digest = builders.build_key(1).digest
    assert not any(digest in change.format() for change in differences)


def test_reinstated_key_is_found():
    before, after = builders.build_document(), builders.build_document()
    before.teams["desk"].keys[0].withdrawn = True
    paths = [fault.path for fault in changes.find_reinstated_keys(before, after)]
    assert paths == ["teams.desk.keys.0"]
    assert changes.find_reinstated_keys(after, before) == []


@pytest.mark.parametrize("text", ["", "{", '{"a": 1, "a": 2}', "[" * 100_000])
def test_text_that_is_not_a_json_object_is_refused(text):
    with pytest.raises(errors.DocumentError):
        checking.parse_json(text)
