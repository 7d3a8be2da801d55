"""Tests of the console as a separate process."""

import datetime
import ipaddress
import os
import signal
import ssl
import subprocess
import sys

import httpx
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec

import builders_document as builders


def write_certificate(folder):
    """Write a self-signed certificate for 127.0.0.1 and return the paths."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "console")])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    built = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    secret = key.private_bytes(
        pem, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    (folder / "cert.pem").write_bytes(built.public_bytes(pem))
    (folder / "key.pem").write_bytes(secret)
    return folder / "cert.pem", folder / "key.pem"


@pytest.mark.parametrize("scheme", ["http", "https"])
def test_console_serves_until_sigterm(tmp_path, scheme):
    text = builders.CONSOLE_INI
    verify = True
    if scheme == "https":
        certificate, key = write_certificate(tmp_path)
        text += f"[console_tls]\ncertificate = {certificate}\nkey = {key}\n"
        verify = ssl.create_default_context(cafile=str(certificate))
    path = tmp_path / "console.ini"
    path.write_text(text + f"[timeline]\npath = {tmp_path}/events\n")
    process = subprocess.Popen(
        [sys.executable, "-m", "sardinehold.cli", "console", "--settings", str(path)],
        stdout=subprocess.PIPE,
        text=True,
        env=os.environ | {"PYTHONPATH": "src"},
    )
    try:
        url = process.stdout.readline().split()[1]
        assert url.startswith(f"{scheme}://127.0.0.1:")
        with httpx.Client(verify=verify, trust_env=False) as client:
            response = client.get(f"{url}/sign-in")
        assert response.status_code == 200
        assert ("strict-transport-security" in response.headers) == (scheme == "https")
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0
    finally:
        process.kill()
        process.wait()
        process.stdout.close()
    events = (tmp_path / "events").read_text()
    assert "process_started" in events
    assert "process_stopped" in events
