"""Fuzz tests of documents, settings and forms: bad input is refused with a remedy."""

import json
import urllib.parse

import hypothesis
import pytest
from hypothesis import strategies as st

import builders_document as builders
from sardinehold import changes
from sardinehold import checking
from sardinehold import document
from sardinehold import errors
from sardinehold import settings
from sardinehold import validation
from sardinehold.console import actions
from sardinehold.console import edits
from sardinehold.console import forms

FIXED = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=80,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
NAMES = st.from_regex(r"[a-z0-9][a-z0-9._-]{0,5}", fullmatch=True)
KEYS = st.builds(
    document.Key,
    st.from_regex(r"[0-9a-f]{8}", fullmatch=True),
    st.just("00" * 8),
    st.just("ab" * 32),
    st.booleans(),
    st.integers(0, 9),
)


def list_paths(value, path=()):
    """Return the paths of all values inside a JSON value."""
    yield path
    parts = value.items() if isinstance(value, dict) else ()
    if isinstance(value, list):
        parts = enumerate(value)
    for name, part in parts:
        yield from list_paths(part, (*path, name))


VALUE_PATHS = [
    value_path for value_path in list_paths(builders.build_value()) if value_path
]


def assert_refusal_has_remedy(call):
    """Assert that a call raises nothing except errors with a remedy."""
    refusal = None
    try:
        call()
    except (errors.DocumentError, errors.SettingsError) as error:
        refusal = error
    assert refusal is None or refusal.remedy


@st.composite
def documents(draw):
    teams = {
        name: document.Team(
            name,
            draw(st.floats(0, 1e6) | st.integers(0, 10)),
            draw(st.integers(0, 1000)),
            draw(st.floats(0.01, 100)),
            tuple(draw(st.lists(KEYS, max_size=2, unique_by=lambda k: k.prefix))),
        )
        for name in draw(st.sets(NAMES, max_size=3))
    }
    chosen = st.sets(st.sampled_from(sorted(teams))) if teams else st.just(set())
    routes = {
        name: document.Route(
            name,
            "letters-1",
            tuple(sorted(draw(chosen))),
            draw(st.booleans()),
            max_age=draw(st.none() | st.floats(0, 100)),
            durability=draw(st.sampled_from(document.Durability)),
        )
        for name in draw(st.sets(NAMES, max_size=3))
    }
    return builders.build_document(teams=teams, routes=routes, operators={})


@FIXED
@hypothesis.given(documents())
def test_every_document_is_unchanged_by_a_round_trip(config):
    value = document.dump_document(config)
    prefixes = [key.prefix for _, key in changes.list_keys(config)]
    hypothesis.assume(len(prefixes) == len(set(prefixes)))
    back = document.parse_document(json.loads(json.dumps(value)))
    assert document.dump_document(back) == value
    assert changes.compare_documents(config, back) == []


@FIXED
@hypothesis.given(documents(), documents())
def test_every_change_is_detected(first, second):
    differ = document.dump_document(first) != document.dump_document(second)
    assert bool(changes.compare_documents(first, second)) == differ


@FIXED
@hypothesis.given(st.sampled_from(VALUE_PATHS), JSON)
def test_corrupted_document_is_refused_or_usable(value_path, junk):
    value = builders.build_value()
    target = value
    for part in value_path[:-1]:
        target = target[part]
    target[value_path[-1]] = junk
    found = validation.find_faults(value)
    for fault in found:
        assert fault.path
        assert fault.problem
        assert fault.remedy
    if not found:
        config = document.parse_document(value)
        assert document.dump_document(config) is not None
        assert validation.find_warnings(config) is not None


@FIXED
@hypothesis.given(JSON)
def test_any_generated_json_value_is_refused(value):
    with pytest.raises(errors.DocumentError):
        document.parse_document(value)
    with pytest.raises(errors.DocumentError):
        document.parse_document(value, strict=False)


@FIXED
@hypothesis.given(st.text(max_size=60))
def test_any_text_is_json_or_refused(text):
    assert_refusal_has_remedy(lambda: checking.parse_json(text))


LINES = st.sampled_from(
    [
        *builders.PROXY_INI.splitlines(),
        "[console]",
        "[caller_tls]",
        "certificate = /dev/null",
        "listen = [::1",
        "listen = :::1",
        "url = http://[",
        "url = http://h:x",
        "name",
        " = x",
        "=",
        "[",
        "%(x)s = %",
    ]
)


@FIXED
@hypothesis.given(st.lists(LINES | st.text(max_size=12), max_size=14))
def test_any_settings_file_is_accepted_or_refused(tmp_path_factory, lines):
    path = tmp_path_factory.getbasetemp() / "fuzz.ini"
    path.write_bytes("\n".join(lines).encode("utf-8", "surrogatepass"))
    for load in (settings.load_proxy, settings.load_console, settings.load_any):
        assert_refusal_has_remedy(lambda load=load: load(path))


FORM_TEXT = st.text(max_size=20) | st.sampled_from(
    ["desk", "letters-1", "web", "ana", "00000001", "1", "a 1.2.3.4:5 z", "{}", "NaN"]
)


@FIXED
@hypothesis.given(st.data(), st.sampled_from(sorted(edits.EDITS)))
def test_any_form_is_applied_or_refused(data, name):
    assert actions.EDIT_MODULES
    edit = edits.EDITS[name]
    form = {
        field.name: data.draw(st.lists(FORM_TEXT, max_size=2)) for field in edit.fields
    }
    fields = forms.read_fields(edit, form)
    if name == "document.restore":
        fields["content"] = builders.build_value()
    value = builders.build_value()
    assert_refusal_has_remedy(lambda: edit.apply(edits.Draft(value), fields))
    assert validation.find_faults(value) is not None


@FIXED
@hypothesis.given(st.data(), st.sampled_from(sorted(edits.EDITS)))
def test_any_call_is_applied_or_refused(data, name):
    edit = edits.EDITS[name]
    given = data.draw(
        st.dictionaries(
            st.sampled_from([field.name for field in edit.fields]), JSON | FORM_TEXT
        )
    )
    value = builders.build_value()

    def apply():
        fields = dict(forms.validate_fields(edit, given))
        if name == "document.restore":
            fields["content"] = builders.build_value()
        edit.apply(edits.Draft(value), fields)

    assert_refusal_has_remedy(apply)
    assert validation.find_faults(value) is not None


@hypothesis.settings(FIXED, max_examples=40)
@hypothesis.given(
    st.sampled_from(["/edits/team.create", "/handovers/letters-1", "/teams/x", "/"]),
    st.dictionaries(
        st.sampled_from(["team", "rate", "name", "before", "accepted", "group"]),
        st.text(max_size=20),
    ),
)
def test_any_query_is_answered_by_a_page(path, query):
    client = HARNESS.sign_in()
    answer = client.get(f"{path}?{urllib.parse.urlencode(query, errors='replace')}")
    assert answer.status_code in (200, 303, 404)


HARNESS = builders.ConsoleHarness(builders.build_document())
