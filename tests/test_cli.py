"""The command line: exit codes, help and messages."""

import json
import os
import socket
import subprocess
import sys

import pytest

import builders_document as builders
import sardinehold
from sardinehold import cli
from sardinehold import keys


def run(capsys, *arguments):
    try:
        code = cli.main([str(argument) for argument in arguments])
    except SystemExit as error:
        code = error.code
    captured = capsys.readouterr()
    return code, captured.out, captured.err


def write(tmp_path, name, text):
    path = tmp_path / name
    path.write_text(text, encoding="utf-8")
    return path


def test_version_is_printed(capsys):
    code, out, _ = run(capsys, "--version")
    assert (code, out.strip()) == (0, f"sardinehold {sardinehold.__version__}")


@pytest.mark.parametrize("name", sorted(cli.COMMANDS))
def test_help_has_examples_and_exit_codes(capsys, name):
    code, out, _ = run(capsys, name, "--help")
    assert code == 0
    assert f"sardinehold {name}" in out.partition("examples:")[2]
    assert "Exit codes: 0 done, 1 failed" in out


@pytest.mark.parametrize("arguments", [[], ["nonsense"], ["proxy"], ["keys", "old"]])
def test_invalid_command_line_exits_with_2(capsys, arguments):
    code, _, err = run(capsys, *arguments)
    assert code == 2
    assert err


@pytest.mark.parametrize("name", ["proxy", "console"])
@pytest.mark.parametrize("text", ["", "[vm]\nname = x\n"])
def test_invalid_settings_exit_with_2_and_a_remedy(capsys, tmp_path, name, text):
    path = write(tmp_path, "bad.ini", text)
    code, _, err = run(capsys, name, "--settings", path)
    assert code == 2
    assert err.startswith("SH101: ")
    assert f"[{name}] listen" in err


def test_port_in_use_prints_one_line_and_exits_with_2(capsys, tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        text = builders.CONSOLE_INI.replace("127.0.0.1:0", f"127.0.0.1:{port}")
        path = write(tmp_path, "console.ini", text)
        code, _, err = run(capsys, "console", "--settings", path)
    assert (code, err.count("\n")) == (2, 1)
    assert f"[console] listen = 127.0.0.1:{port}" in err


def test_bootstrap_file_without_a_key_exits_with_2(capsys, tmp_path):
    key = write(tmp_path, "key", "hunter2")
    text = builders.CONSOLE_INI.replace(
        "[platform]", f"bootstrap_key = {key}\n[platform]"
    )
    path = write(tmp_path, "console.ini", text)
    code, _, err = run(capsys, "console", "--settings", path)
    assert code == 2
    assert "hunter2" not in err


def test_check_accepts_settings_and_documents_together(capsys, tmp_path):
    good = write(tmp_path, "proxy.ini", builders.PROXY_INI)
    value = builders.build_value(operators={})
    warned = write(tmp_path, "document.json", json.dumps(value))
    code, out, _ = run(capsys, "check", good, warned)
    assert code == 0
    assert "warning: operators" in out
    value["teams"]["desk"]["rate"] = -1
    bad = write(tmp_path, "bad.json", json.dumps(value))
    code, out, err = run(capsys, "check", good, bad, tmp_path / "none.json")
    assert code == 2
    assert "proxy.ini: valid settings" in out
    assert "teams.desk.rate" in err
    assert "none.json cannot be read" in err


def test_new_key_is_printed_with_its_record(capsys):
    code, out, _ = run(capsys, "keys", "new")
    text, record = out.splitlines()
    assert code == 0
    assert keys.parse_prefix(text) == json.loads(record)["prefix"]


@pytest.mark.parametrize(("typed", "code"), [(builders.BOOTSTRAP, 0), ("hunter2", 2)])
def test_key_is_hashed_from_standard_input(typed, code):
    done = subprocess.run(
        [sys.executable, "-m", "sardinehold.cli", "keys", "hash"],
        input=typed,
        capture_output=True,
        text=True,
        env=os.environ | {"PYTHONPATH": "src"},
    )
    assert done.returncode == code
    assert typed not in done.stdout + done.stderr
