"""Tests of the stand-ins' command line."""

import socket

import pytest

from sardinehold_standins import cli

DATABASE = ["database", "--name", "a1", "--group", "a", "--control", "127.0.0.1:0"]


@pytest.mark.parametrize("address", ["127.0.0.1", "127.0.0.1:70000", ":1", "a:b"])
def test_bad_address_ends_with_code_2(address, capsys):
    with pytest.raises(SystemExit) as ended:
        cli.main(["platform", "--listen", address])
    assert ended.value.code == 2
    assert "--listen" in capsys.readouterr().err


def test_port_in_use_ends_with_code_2(capsys):
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        assert cli.main([*DATABASE, "--primary", "--listen", address]) == 2
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_database_needs_a_role():
    with pytest.raises(SystemExit) as ended:
        cli.main([*DATABASE, "--listen", "127.0.0.1:0"])
    assert ended.value.code == 2


@pytest.mark.parametrize(
    ("text", "expected"), [("0.02:0.2", (0.02, 0.2)), ("1", (1.0, 1.0))]
)
def test_lag_is_a_range_or_a_single_value(text, expected):
    assert cli.parse_range(text) == expected
