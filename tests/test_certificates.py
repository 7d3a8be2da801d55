"""TLS of callers and endpoints, and reloading of renewed certificates."""

import asyncio
import datetime
import os
import ssl

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec

import builders_wire as builders
from sardinehold import certificates
from sardinehold import endpoints
from sardinehold import errors
from sardinehold import settings
from sardinehold import wire

START = datetime.datetime(2020, 1, 1)
END = datetime.datetime(2100, 1, 1)


@pytest.fixture
def anyio_backend():
    return "asyncio"


def write_certificate(folder, name):
    """Write a self-signed certificate; return its files."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    names = x509.SubjectAlternativeName([x509.DNSName("localhost")])
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(START)
        .not_valid_after(END)
        .add_extension(names, critical=False)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (folder / "cert.pem").write_bytes(certificate.public_bytes(pem))
    (folder / "key.pem").write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return settings.Tls(str(folder / "cert.pem"), str(folder / "key.pem"))


def load(files):
    return certificates.Certificates(files, ssl.Purpose.CLIENT_AUTH)


async def start_tls(port):
    """Return a caller over TLS and the name in the proxy's certificate."""
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    caller = await builders.Caller.open(port)
    caller.write(wire.build_packet(wire.TLS_CODE))
    assert await caller.reader.readexactly(1) == b"S"
    await caller.writer.start_tls(context)
    raw = caller.writer.get_extra_info("ssl_object").getpeercert(True)
    subject = x509.load_der_x509_certificate(raw).subject
    return caller, subject.rfc4514_string()


async def sign_in(caller):
    caller.write(wire.build_startup({"user": "me", "database": "letters"}))
    await caller.read_until(b"R")
    caller.write(wire.build_frame(b"p", builders.KEY.encode() + b"\0"))
    await caller.read_until(b"Z")


@pytest.mark.anyio
async def test_session_over_tls(tmp_path):
    tls = load(write_certificate(tmp_path, "first"))
    async with builders.run_path(tls.context) as fleet:
        caller, _ = await start_tls(fleet.port)
        await sign_in(caller)
        assert builders.kinds(await caller.ask("SELECT 1")) == "TDCZ"
        caller.write(wire.build_query("SELECT 'ROWS', 100, 100000"))
        frames = await caller.read_until(b"Z")
        assert builders.kinds(frames) == "T" + "D" * 100 + "CZ"


@pytest.mark.anyio
async def test_caller_without_tls_is_refused_before_it_sends_its_key(tmp_path):
    tls = load(write_certificate(tmp_path, "first"))
    async with builders.run_path(tls.context) as fleet:
        caller = await builders.Caller.open(fleet.port)
        caller.write(wire.build_startup({"user": "me", "database": "letters"}))
        frames = await caller.read_until(b"E")
        assert builders.read_error(frames)["C"] == "28P01"
        assert builders.kinds(frames) == "E"


@pytest.mark.anyio
async def test_plaintext_after_the_tls_request_is_refused(tmp_path):
    tls = load(write_certificate(tmp_path, "first"))
    async with builders.run_path(tls.context) as fleet:
        caller = await builders.Caller.open(fleet.port)
        caller.write(wire.build_packet(wire.TLS_CODE) + wire.build_startup({}))
        frames = await caller.read_until(b"E")
        assert builders.read_error(frames)["C"] == "08P01"


@pytest.mark.anyio
async def test_renewed_certificate_is_used_and_open_sessions_continue(tmp_path):
    files = write_certificate(tmp_path, "first")
    tls = load(files)
    async with builders.run_path(tls.context) as fleet:
        caller, name = await start_tls(fleet.port)
        assert name == "CN=first"
        await sign_in(caller)
        assert not tls.reload()
        write_certificate(tmp_path, "second")
        os.utime(files.certificate, (1, 1))
        assert tls.reload()
        assert (await start_tls(fleet.port))[1] == "CN=second"
        assert builders.kinds(await caller.ask("SELECT 1")) == "TDCZ"


@pytest.mark.anyio
async def test_failed_handshake_releases_the_caller(tmp_path):
    tls = load(write_certificate(tmp_path, "first"))
    async with builders.run_path(tls.context) as fleet:
        caller = await builders.Caller.open(fleet.port)
        caller.write(wire.build_packet(wire.TLS_CODE))
        await caller.reader.readexactly(1)
        caller.write(b"no handshake" * 100)
        await caller.reader.read()
        while fleet.path.callers:
            await asyncio.sleep(0.001)
        assert len(fleet.path.pending_callers) == 0


async def query_over_tls(server, authority):
    loop = asyncio.get_running_loop()
    listening = await loop.create_server(server.make, "localhost", 0)
    port = listening.sockets[0].getsockname()[1]
    tls = certificates.Certificates(
        settings.Tls(authority=authority), ssl.Purpose.SERVER_AUTH
    )
    try:
        return await endpoints.query(
            "localhost", port, "main", "me", "SELECT 1", loop.time() + 5, tls.context
        )
    finally:
        listening.close()


@pytest.mark.anyio
async def test_endpoint_is_queried_over_tls(tmp_path):
    files = write_certificate(tmp_path, "endpoint")
    server = builders.FakeServer()
    server.tls = load(files).context
    assert await query_over_tls(server, files.certificate) == [("SELECT 1",)]


@pytest.mark.anyio
async def test_endpoint_without_tls_receives_no_plaintext(tmp_path):
    files = write_certificate(tmp_path, "endpoint")
    server = builders.FakeServer()
    with pytest.raises(errors.EndpointUnavailable):
        await query_over_tls(server, files.certificate)
    assert server.startups == []


@pytest.mark.anyio
async def test_endpoint_of_another_authority_is_not_trusted(tmp_path):
    server = builders.FakeServer()
    server.tls = load(write_certificate(tmp_path, "endpoint")).context
    other = tmp_path / "other"
    other.mkdir()
    with pytest.raises(errors.EndpointUnavailable):
        await query_over_tls(server, write_certificate(other, "other").certificate)
    assert server.startups == []


@pytest.mark.parametrize("broken", ["cert.pem", "key.pem"])
def test_invalid_files_are_refused_with_a_remedy(tmp_path, broken):
    files = write_certificate(tmp_path, "first")
    tls = load(files)
    (tmp_path / broken).write_text("nothing", encoding="ascii")
    os.utime(tmp_path / broken, (1, 1))
    with pytest.raises(errors.SettingsError) as caught:
        tls.reload()
    assert caught.value.exit_code == 2
    assert "[tls]" in caught.value.remedy
    with pytest.raises(errors.SettingsError):
        load(files)


def test_missing_file_is_a_settings_error(tmp_path):
    with pytest.raises(errors.SettingsError):
        load(settings.Tls(str(tmp_path / "none.pem"), ""))


def test_no_files_mean_no_tls():
    tls = load(settings.Tls())
    assert tls.context is None
    assert not tls.reload()
