"""Framing, start-up packets and merged traits."""

import pytest

from sardinehold import errors
from sardinehold import startup_packets
from sardinehold import wire
from sardinehold.core import statements

Kind = statements.Kind
Traits = statements.Traits


def test_message_ends_where_its_length_says():
    data = wire.build_query("SELECT 1") + b"rest"
    end = len(data) - 4
    assert wire.find_end(data, 0, len(data)) == end
    assert all(wire.find_end(data, 0, size) == 0 for size in range(end))


@pytest.mark.parametrize("length", [-1, 0, 3, wire.MAX_FRAME + 1, 2**31 - 1])
def test_impossible_length_is_a_violation(length):
    data = b"Q" + length.to_bytes(4, "big", signed=True)
    with pytest.raises(errors.ProtocolViolation):
        wire.find_end(data, 0, len(data))


def test_row_is_read_as_it_was_built():
    values = ("text", None, "", "é")
    assert wire.parse_row(wire.build_row(values)[wire.HEADER :]) == values


def test_error_states_outcome_and_remedy():
    error = errors.OutcomeUnknown("The answer was lost.", "Read the row back.")
    payload = wire.build_error(error)[wire.HEADER :]
    fields = {part[:1]: part[1:] for part in payload.split(b"\0")}
    assert fields[b"S"] == fields[b"V"] == b"ERROR"
    assert fields[b"C"] == b"08007"
    assert fields[b"M"] == b"SH209: The answer was lost."
    assert fields[b"D"] == b"outcome: unknown"
    assert fields[b"H"] == b"Read the row back."


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", {}),
        ("-c a=b", {"a": "b"}),
        ("-ca=b --search-path=x", {"a": "b", "search_path": "x"}),
        (r"-c a=b\ c", {"a": "b c"}),
        ("-c sardinehold.session=1:2=", {"sardinehold.session": "1:2="}),
    ],
)
def test_options_are_read(text, expected):
    assert startup_packets.parse_options(text) == expected


@pytest.mark.parametrize("text", ["x", "-c", "-c a", "-c =b", "'", "-e"])
def test_unreadable_options_are_a_violation(text):
    with pytest.raises(errors.ProtocolViolation):
        startup_packets.parse_options(text)


@pytest.mark.parametrize(
    ("text", "seconds"), [("2s", 2), ("500ms", 0.5), ("1min", 60), ("3", 3), ("0", 0)]
)
def test_age_is_read_in_seconds(text, seconds):
    assert startup_packets.parse_age(text) == seconds


@pytest.mark.parametrize("text", ["", "s", "-1s", "1 day", "nan", "1e3", "١s"])
def test_unreadable_age_is_a_violation(text):
    with pytest.raises(errors.ProtocolViolation):
        startup_packets.parse_age(text)


def test_route_is_the_user_when_there_is_no_database():
    packet = startup_packets.parse_packet(wire.build_startup({"user": "letters"}))
    assert packet.route == "letters"


@pytest.mark.parametrize(
    ("parameters", "kind"),
    [
        ({"user": ""}, errors.ProtocolViolation),
        ({"user": "me", "replication": "database"}, errors.Unsupported),
    ],
)
def test_startup_that_cannot_be_served_is_refused(parameters, kind):
    with pytest.raises(kind):
        startup_packets.parse_packet(wire.build_startup(parameters))


def test_other_protocol_version_is_unsupported():
    with pytest.raises(errors.Unsupported):
        startup_packets.parse_packet(wire.build_packet(2 << 16, b"\0"))


READ = Traits(Kind.READ)
WRITE = Traits(Kind.WRITE)
BEGIN = Traits(Kind.BEGIN, begins=True)
COMMIT = Traits(Kind.COMMIT, ends=True)
SET = Traits(Kind.SET, setting="search_path")
LOCAL = Traits(Kind.SET, setting="search_path", local=True)
OWN = Traits(Kind.SET, setting="sardinehold.max_age")
COPY = Traits(Kind.WRITE, refusal="no COPY")


@pytest.mark.parametrize(
    ("parts", "kind", "begins", "ends", "pins", "refused"),
    [
        ([READ, READ], Kind.READ, False, False, False, False),
        ([READ, WRITE], Kind.WRITE, False, False, False, False),
        ([BEGIN, READ], Kind.WRITE, True, False, False, False),
        ([BEGIN, WRITE, COMMIT], Kind.WRITE, False, False, False, False),
        ([WRITE, COMMIT], Kind.WRITE, False, True, False, False),
        ([COMMIT, BEGIN], Kind.WRITE, True, True, False, False),
        ([READ, SET], Kind.WRITE, False, False, True, False),
        ([READ, LOCAL], Kind.WRITE, False, False, False, False),
        ([READ, COPY], Kind.WRITE, False, False, False, True),
        ([READ, OWN], Kind.WRITE, False, False, True, True),
    ],
)
def test_merged_traits_are_the_strongest(parts, kind, begins, ends, pins, refused):
    merged = statements.merge_traits(parts)
    assert (merged.kind, merged.begins, merged.ends) == (kind, begins, ends)
    assert (merged.pins, bool(merged.refusal)) == (pins, refused)


def test_traits_of_one_statement_stay_as_they_are():
    assert statements.merge_traits([OWN]) is OWN
