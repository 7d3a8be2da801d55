"""Loading and validating settings files."""

import pathlib

import pytest

import builders_document as builders
from sardinehold import errors
from sardinehold import settings


def write(tmp_path, text):
    path = tmp_path / "sardinehold.ini"
    path.write_text(text, encoding="utf-8")
    return path


def test_proxy_settings_are_read(tmp_path):
    text = builders.PROXY_INI.replace(
        "peer_listen", "drain_deadline = 5\nmetrics_listen = [::1]:9000\npeer_listen"
    )
    loaded = settings.load_proxy(write(tmp_path, text))
    assert (loaded.vm, loaded.zone) == ("entry-1", "dallas")
    assert loaded.platform_url == "http://127.0.0.1:6490"
    assert (loaded.drain_deadline, loaded.metrics_listen) == (5.0, "[::1]:9000")
    assert loaded.caller_tls.certificate == ""


def test_console_settings_are_read(tmp_path):
    key = tmp_path / "key"
    key.write_text(builders.BOOTSTRAP)
    text = builders.CONSOLE_INI.replace(
        "[platform]", f"bootstrap_key={key}\n[platform]"
    )
    loaded = settings.load_any(write(tmp_path, text))
    assert (loaded.listen, loaded.bootstrap_key) == ("127.0.0.1:0", str(key))


@pytest.mark.parametrize(
    ("old", "new", "place"),
    [
        ("name = entry-1\n", "", "[vm] name"),
        ("name = entry-1", "name =", "[vm] name"),
        ("name = entry-1", "name = a b", "[vm] name"),
        ("listen = 127.0.0.1:0\n", "listen = 6431\n", "[proxy] listen"),
        ("listen = 127.0.0.1:0\n", "listen = a.example:1\n", "[proxy] listen"),
        ("listen = 127.0.0.1:0\n", "listen = 127.0.0.1:65536\n", "[proxy] listen"),
        ("[proxy]", "[proxy]\nlisten_on = 1", "[proxy] listen_on"),
        ("[proxy]", "[proxy]\ndrain_deadline = soon", "[proxy] drain_deadline"),
        ("[proxy]", "[proxy]\ndrain_deadline = nan", "[proxy] drain_deadline"),
        ("[proxy]", "[proxy]\ndrain_deadline = -1", "[proxy] drain_deadline"),
        ("url = http://127.0.0.1:6490", "url = 127.0.0.1:6490", "[platform] url"),
        ("[platform]\nurl = http://127.0.0.1:6490\n", "", "[platform] url"),
        ("[platform]", "[tls]\n[platform]", "[tls]"),
        ("[platform]", "[timeline]\npath = /nowhere/x\n[platform]", "[timeline] path"),
        (
            "[platform]",
            "[caller_tls]\ncertificate = /nowhere\nkey = /nowhere\n[platform]",
            "[caller_tls] certificate",
        ),
    ],
)
def test_fault_has_section_key_and_remedy(tmp_path, old, new, place):
    assert old in builders.PROXY_INI
    path = write(tmp_path, builders.PROXY_INI.replace(old, new, 1))
    with pytest.raises(settings.InvalidSettings) as caught:
        settings.load_proxy(path)
    places = {fault.path for fault in caught.value.faults}
    assert place in places
    assert all(fault.remedy.endswith((".", "?")) for fault in caught.value.faults)
    assert caught.value.exit_code == 2


def test_all_faults_are_reported_together(tmp_path):
    with pytest.raises(settings.InvalidSettings) as caught:
        settings.load_proxy(write(tmp_path, "[vm]\nname = a b\nzoen = x\n"))
    places = {fault.path for fault in caught.value.faults}
    assert places == {
        "[vm] name",
        "[vm] zoen",
        "[vm] zone",
        "[proxy] listen",
        "[proxy] peer_listen",
        "[platform] url",
    }


@pytest.mark.parametrize(
    ("lines", "problem"),
    [
        ("certificate = {file}", "has only one of certificate and key"),
        ("key = {file}", "has only one of certificate and key"),
        ("certificate = {file}\nkey = {file}", "cannot be loaded"),
        ("authority = {file}", "has an authority and no certificate"),
    ],
)
def test_invalid_certificate_is_reported_as_a_fault(tmp_path, lines, problem):
    file = tmp_path / "file.pem"
    file.write_text("no certificate")
    section = f"[caller_tls]\n{lines.format(file=file)}\n"
    with pytest.raises(settings.InvalidSettings) as caught:
        settings.load_proxy(write(tmp_path, builders.PROXY_INI + section))
    assert any(problem in fault.problem for fault in caught.value.faults)


@pytest.mark.parametrize("text", ["name = x", "[vm\n", "[vm]\nname\n", "[vm]\n[vm]\n"])
def test_text_that_is_not_ini_is_refused(tmp_path, text):
    with pytest.raises(errors.SettingsError) as caught:
        settings.load_proxy(write(tmp_path, text))
    assert "\n" not in caught.value.format_message()


def test_missing_file_is_refused():
    with pytest.raises(errors.SettingsError):
        settings.load_proxy(pathlib.Path("/nowhere/proxy.ini"))


def test_percent_signs_are_not_interpolated(tmp_path):
    text = builders.PROXY_INI.replace("6490", "6490/a%20b")
    assert settings.load_proxy(write(tmp_path, text)).platform_url.endswith("a%20b")
