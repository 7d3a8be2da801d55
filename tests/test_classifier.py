import pytest

from sardinehold.core import classifier
from sardinehold.core import lexemes
from sardinehold.core import statements

Kind = statements.Kind


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        ("select 1", Kind.READ),
        ("select count(*), lower(a) from t where b = $1", Kind.READ),
        ("(select 1) union (select 2)", Kind.READ),
        ("with a as (select 1) select * from a", Kind.READ),
        ("values (1)", Kind.READ),
        ("select 1; select 2", Kind.READ),
        ("explain select 1", Kind.READ),
        ("explain analyze insert into t values (1)", Kind.WRITE),
        ("select unknown_function(1)", Kind.WRITE),
        ("select nextval('s')", Kind.WRITE),
        ("select * from t for update", Kind.WRITE),
        ("with a as (delete from t returning *) select * from a", Kind.WRITE),
        ("select * into u from t", Kind.WRITE),
        ("insert into t values (1)", Kind.WRITE),
        ("select 1; delete from t", Kind.WRITE),
        ("select 'unterminated", Kind.WRITE),
        ("((((", Kind.WRITE),
        ("explain select ';' ; insert into t values ('a', 'b')", Kind.WRITE),
        ("begin", Kind.BEGIN),
        ("start transaction read only", Kind.BEGIN),
        ("end", Kind.COMMIT),
        ("abort", Kind.ROLLBACK),
        ("rollback to savepoint a", Kind.WRITE),
        ("", Kind.EMPTY),
        ("-- nothing", Kind.EMPTY),
        ("discard all", Kind.DISCARD),
        ("deallocate a", Kind.DEALLOCATE),
    ],
)
def test_kind(text, kind):
    assert classifier.classify(text).kind is kind


@pytest.mark.parametrize(
    ("text", "setting", "value", "local"),
    [
        ("SET sardinehold.max_age = '2s'", "sardinehold.max_age", "2s", False),
        ('set search_path to a, "B"', "search_path", 'a, "B"', False),
        ("set local x = 1", "x", "1", True),
        ("set session x = 1", "x", "1", False),
        ("set time zone 'utc'", "timezone", "'utc'", False),
    ],
)
def test_set_names_variable_and_value(text, setting, value, local):
    traits = classifier.classify(text)
    assert traits.kind is Kind.SET
    assert (traits.setting, traits.value, traits.local) == (setting, value, local)


@pytest.mark.parametrize(
    ("text", "begins", "ends"),
    [
        ("begin; insert into t values (1); commit", False, False),
        ("begin; select 1", True, False),
        ("commit; begin", True, True),
        ("commit and chain", True, True),
        ("insert into t values (1); commit", False, True),
    ],
)
def test_what_a_text_does_to_the_transaction(text, begins, ends):
    traits = classifier.classify(text)
    assert (traits.begins, traits.ends) == (begins, ends)


@pytest.mark.parametrize(
    "text",
    [
        "create temp table t (a int)",
        "select * into temp t from u",
        "listen a",
        "select pg_advisory_lock(1)",
        "prepare a as select 1",
        "declare c cursor with hold for select 1",
        "deallocate all",
        "select 1; deallocate all",
        "deallocate a",
        "set x = 1; select 1",
        "insert into t values ('" + "x" * 20_000 + "'); set a = 1",
    ],
)
def test_state_left_on_the_connection_pins(text):
    assert classifier.classify(text).pins


@pytest.mark.parametrize(
    "text", ["select 1", "select pg_advisory_xact_lock(1)", "set local x = 1"]
)
def test_nothing_left_does_not_pin(text):
    assert not classifier.classify(text).pins


@pytest.mark.parametrize(
    "text",
    [
        "copy t from stdin",
        "set role admin",
        "prepare transaction 'a'",
        "select lastval()",
        "set sardinehold.max_age = '1s'; select 1",
    ],
)
def test_unsupported_is_refused(text):
    assert classifier.classify(text).refusal


def test_idempotency_key_comes_from_a_trailing_comment():
    text = "insert into t values (1) /* sardinehold.idempotency_key='a%20b' */"
    assert classifier.classify(text).idempotency_key == "a b"
    assert classifier.classify("insert into t values (1)").idempotency_key == ""


@pytest.mark.parametrize(
    "text",
    [
        "select 1 -- /*\n; delete from t -- */",
        "select 1 -- /*\r\n; delete from t -- */",
        "select 1 --/**/ /*\n; delete from t -- */;",
        "select 1 /* a */; delete from t -- */",
    ],
)
def test_write_behind_a_line_comment_is_not_taken_for_a_comment(text):
    # "/*" in a line comment opened the comment that is cut off before parsing.
    assert classifier.classify(text).kind is Kind.WRITE


def test_key_behind_a_line_comment_is_kept():
    key = "/* sardinehold_idempotency_key='k' */"
    for text in (f"insert into t values ('--') {key}", f"delete from t -- a\n{key};"):
        traits = classifier.classify(text)
        assert (traits.kind, traits.idempotency_key) == (Kind.WRITE, "k")


def test_many_opened_comments_are_searched_once():
    # Each "/*" was searched up to the end, in a time that grows with the square.
    assert classifier.classify("/* " * 500_000 + "*/ */").kind is Kind.WRITE


@pytest.mark.parametrize(
    "options",
    [
        " (analyze)",
        "(ANALYZE, verbose)",
        " (format json,analyze)",
        "/**/analyze",
        " analyze/**/",
        ' ("analyze")',
        ' (U&"\\0061nalyze")',
    ],
)
def test_explain_that_runs_its_statement_is_a_write(options):
    # Only "analyze" between blanks was found.
    text = f"explain{options} delete from t"
    assert classifier.classify(text).kind is Kind.WRITE


@pytest.mark.parametrize("first", ["explain select", "set a.b =", "set search_path to"])
@pytest.mark.parametrize("gap", ["\n", " \t\r\n ", " -- c\n"])
def test_string_with_escapes_ends_where_the_endpoint_ends_it(first, gap):
    # A string with escapes continues on the next line, where its escapes hold too.
    text = f"{first} E'a'{gap}'b\\' , '; delete from t; --'"
    traits = classifier.classify(text)
    assert (traits.kind, traits.value) == (Kind.WRITE, "")


@pytest.mark.parametrize(
    "text",
    [
        "select 1 /* a /* b */ ; delete from t */",
        "select $$a; b$$, $a$;$b$;$a$, $é$;$é$, a$$, $1 from t",
        "select U&'\\0061;', E'\\';', 'é;', n'd;', b'1', x'1' from é",
        'select "a;""b", 1e5, 0x1f, 1.5, .5, a.b::text -- ; c',
        "select a is not distinct from b from t order by c -- ;\n limit 1",
        "explain select 1, 'a;' /* ; */ from t",
    ],
)
def test_read_with_quoted_semicolons_is_a_read(text):
    assert classifier.classify(text).kind is Kind.READ


@pytest.mark.parametrize(
    ("text", "found"),
    [
        ("a 'b' c; d", ["a", "c", ";", "d"]),
        ("a E'\\'b' c", ["a", "c"]),
        ("a '\\' b 'c'", ["a", "b"]),
        ("E'a'\n'\\'b' c", ["c"]),
        ("E'a' '\\' b", ["b"]),
        ("e$$a$$ b", ["e$$a$$", "b"]),
        ("$$a$$ b $x$ c $$ $x$ d", ["b", "d"]),
        ("/* a /* b */ c */ d", ["d"]),
        ("-- a\nb -- c\rd", ["b", "d"]),
        ('"a""b" c', ["c"]),
        ("$1 a $2b", ["a", "b"]),
        ("U&'\\' a U&\"b\" c", ["a", "c"]),
        ("a/* b", ["a"]),
        ("a $$ b", ["a"]),
        ("é1 b", ["é1", "b"]),
    ],
)
def test_words_outside_strings_and_comments(text, found):
    offsets = lexemes.find_words(text)
    assert len(offsets) == len(found)
    for word, offset in zip(found, offsets, strict=True):
        assert text.startswith(word, offset)


@pytest.mark.parametrize(
    "text",
    [
        'set "a b".c = 1',
        'set "x to 1; delete from t; --".y = 1',
        "set é = 1",
        'reset "a b".c',
        'reset "x; delete from t; --"',
    ],
)
def test_variable_with_another_name_is_not_restored(text):
    # The name was sent without its quotes to restore the variable elsewhere.
    traits = classifier.classify(text)
    assert (traits.kind, traits.pins, traits.setting) == (Kind.WRITE, True, "")


@pytest.mark.parametrize(
    ("text", "setting"),
    [
        ('reset "search_path"', "search_path"),
        ('RESET "Search_Path"', "search_path"),
        ("reset/**/search_path -- a", "search_path"),
        ('set "Search_Path" to a', "search_path"),
        ("reset a.B", "a.b"),
        ("reset time zone", "timezone"),
        ('show "sardinehold.session"', "sardinehold.session"),
    ],
)
def test_variable_has_one_name_with_and_without_quotes(text, setting):
    # A variable that was reset by its quoted name was restored later.
    assert classifier.classify(text).setting == setting


@pytest.mark.parametrize("text", ["set session_authorization = a", 'set "role" to a'])
def test_role_cannot_be_changed_by_its_variable(text):
    assert classifier.classify(text).refusal


@pytest.mark.parametrize(
    ("text", "setting", "value"),
    [
        ("deallocate S", "", "s"),
        ('deallocate "S"', "", "S"),
        ("deallocate prepare s", "", "s"),
        ("deallocate all", "all", ""),
        ("DEALLOCATE PREPARE ALL", "all", ""),
        ('deallocate "all"', "", "all"),
        ("deallocate prepare", "", "prepare"),
        ("deallocate/**/s", "", "s"),
    ],
)
def test_deallocate_drops_the_statement_that_it_names(text, setting, value):
    # Quoted names were compared in lower case, and "all" was taken for ALL.
    traits = classifier.classify(text)
    assert traits.kind is Kind.DEALLOCATE
    assert (traits.setting, traits.value) == (setting, value)


@pytest.mark.parametrize(
    "text",
    [
        "set standard_conforming_strings = off",
        'set local "Standard_Conforming_Strings" to false',
        "set session standard_conforming_strings to 'off'",
        "set client_encoding = 'sjis'",
        "set names 'latin1'",
        "set client_encoding to gbk; select 1",
    ],
)
def test_setting_that_changes_how_texts_are_read_is_refused(text):
    # "select 'a\\' , ' ; delete from t --'" is a read only with the setting on.
    assert classifier.classify(text).refusal


@pytest.mark.parametrize(
    "text",
    [
        "set standard_conforming_strings = on",
        "set standard_conforming_strings to default",
        "set client_encoding to 'UTF8'",
        "set names 'utf-8'",
    ],
)
def test_setting_that_keeps_how_texts_are_read_is_allowed(text):
    traits = classifier.classify(text)
    assert (traits.kind, traits.refusal) == (Kind.SET, "")


@pytest.mark.parametrize(
    "text",
    [
        "select letters.lower('x')",
        "select public.now()",
        "select * from letters.now() x",
        "select * from letters.generate_series(1, 2)",
        "select a.b.now()",
        'select "Lower"(1)',
        "select pg_catalog.archive_letters()",
    ],
)
def test_function_of_another_schema_is_a_write(text):
    # Only the last part of a function's name was compared.
    assert classifier.classify(text).kind is Kind.WRITE


@pytest.mark.parametrize("name", ["json_import", "to_archive", "date_close", "flatten"])
def test_function_with_a_similar_name_is_a_write(name):
    # Names that begin like built-in ones, or that other databases have, were reads.
    assert classifier.classify(f"select {name}(1)").kind is Kind.WRITE
    assert classifier.classify(f"select * from {name}(1)").kind is Kind.WRITE


@pytest.mark.parametrize(
    "text",
    [
        "select PG_CATALOG.lower('x'), pg_catalog.now(), \"lower\"('x')",
        "select * from generate_series(1, 2) g, unnest(array[1]) u(a)",
        "select jsonb_path_query(a, '$'), to_char(b, 'x'), date_trunc('day', b) from t",
        "select array(select 1), row(1, 2), a in (1, 2), a = any(array[1]) from t",
        "select count(*) filter (where a), sum(b) over (partition by c) from t",
        "select substring('a' from 1), extract(year from a), trim(b), a::date from t",
        "select current_user, current_timestamp(3), now() at time zone 'utc'",
        "select * from json_to_recordset('x') as x(a int)",
    ],
)
def test_function_without_side_effects_is_a_read(text):
    assert classifier.classify(text).kind is Kind.READ


def test_time_zone_that_set_to_cannot_restore():
    # "SET timezone TO interval ..." is a syntax error, and LOCAL no time zone there.
    traits = classifier.classify("set time zone interval '1' hour to minute")
    assert (traits.kind, traits.pins) == (Kind.WRITE, True)
    traits = classifier.classify("set time zone local")
    assert (traits.kind, traits.value) == (Kind.SET, "DEFAULT")
