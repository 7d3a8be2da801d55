import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

import builders_engine as builders
from sardinehold import errors
from sardinehold.core import positions
from sardinehold.core import tokens

KEY = b"a" * 32
OTHER = b"b" * 32


def make_floors():
    return {
        "letters": tokens.Floor(positions.Position(3, 1_000_000), "letters-1"),
        "archive": tokens.Floor(positions.Position(1, 0)),
    }


def test_token_keeps_the_floors_of_all_groups():
    text = tokens.sign_token(make_floors(), "desk", KEY)
    floors = tokens.read_token(text, "desk", (OTHER, KEY), 5.0)
    assert floors["letters"].position == positions.Position(3, 1_000_000)
    assert floors["letters"].endpoint == "letters-1"
    assert floors["letters"].seen_at == 5.0
    assert floors["archive"].position == positions.Position(1, 0)
    assert len(text) < 100


def test_token_of_many_long_names_can_be_read():
    # A token of 32 groups had up to 5,868 characters; 4,096 are accepted.
    position = positions.Position(2**20, 2**40)
    floors = {
        f"{number:02}{'g' * 61}": tokens.Floor(position, "e" * 63)
        for number in range(tokens.MAX_GROUPS)
    }
    text = tokens.sign_token(floors, "desk", KEY)
    assert len(text) <= tokens.MAX_LENGTH
    found = tokens.read_token(text, "desk", (KEY,), 0.0)
    assert list(found) == list(floors)[-len(found) :]
    assert len(found) >= 20


@pytest.mark.parametrize(
    ("owner", "keys"), [("print", (KEY,)), ("route:desk", (KEY,)), ("desk", (OTHER,))]
)
def test_foreign_token_is_refused(owner, keys):
    text = tokens.sign_token(make_floors(), "desk", KEY)
    with pytest.raises(errors.InvalidToken) as caught:
        tokens.read_token(text, owner, keys, 0.0)
    assert "new session" in caught.value.remedy


@settings(max_examples=200, derandomize=True, deadline=None)
@given(strategies.integers(0, 10_000), strategies.integers(1, 255))
def test_changed_token_is_refused(place, change):
    text = tokens.sign_token(make_floors(), "desk", KEY)
    place %= len(text)
    changed = text[:place] + chr(ord(text[place]) ^ change) + text[place + 1 :]
    with pytest.raises(errors.InvalidToken):
        tokens.read_token(changed, "desk", (KEY,), 0.0)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(strategies.one_of(strategies.text(), strategies.binary().map(repr)))
def test_malformed_token_is_refused(text):
    with pytest.raises(errors.InvalidToken):
        tokens.read_token(text, "desk", (KEY,), 0.0)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(strategies.binary(max_size=64))
def test_signed_rubbish_is_refused_or_read(body):
    raw = b"\x01" + body
    mac = tokens._compute_mac(KEY, "desk", raw)
    text = tokens.base64.urlsafe_b64encode(raw + mac).decode().rstrip("=")
    try:
        floors = tokens.read_token(text, "desk", (KEY,), 0.0)
    except errors.InvalidToken:
        return
    assert all(isinstance(floor, tokens.Floor) for floor in floors.values())


def test_session_with_a_foreign_token_is_refused():
    driver = builders.Driver(builders.make_view())
    text = tokens.sign_token(make_floors(), "print", builders.TOKEN_KEY)
    driver.open(token=text)
    refusal = driver.find(builders.actions.SessionRefused)
    assert isinstance(refusal.error, errors.InvalidToken)
