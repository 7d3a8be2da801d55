import asyncio
import contextlib
import datetime
import ipaddress

import anyio
import hypothesis
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid
from google.protobuf import message as protobuf
from hypothesis import strategies

from sardinehold import codec
from sardinehold import errors
from sardinehold import metrics
from sardinehold import objects
from sardinehold import peers
from sardinehold import settings
from sardinehold import timeline
from sardinehold.core import messages
from sardinehold.proto import peers_pb2

TIMESTAMP = timeline.Timestamp(5, 6)


def make_renew(**changes):
    fields = {"vm": "a", "incarnation": "i", "zone": "z", "sequence": 3, "version": 7}
    return messages.Renew(**{**fields, **changes})


def make_messages():
    stored = objects.StoredObject("role", "x", 4, {"k": [1, "é"]})
    deleted = objects.StoredObject("handover", "g", 0, None)
    return [
        make_renew(
            echo=1.5,
            echo_of="j",
            reports=(messages.EndpointReport("db-1", True, False),),
            quiesced=("g",),
            address="h:1",
        ),
        messages.Current(
            "a", "i", 0, 9, -1.0, 2.5, 3, False, [stored, deleted], ("a", "b")
        ),
        messages.Summary(
            vm="a",
            incarnation="i",
            zone="z",
            members_version=2,
            version=9,
            age=0.5,
            platform_age=-1.0,
            clock=3.5,
            echo=1.5,
            echo_of="j",
            held=0.25,
            default_version=9,
            exceptions={"b": 4},
            vouched_version=9,
            vouches=(1, 2, 3),
            reports=(messages.ReportCount("db-1", 2, 1),),
            unquiesced={"g": ("b",)},
        ),
        messages.Demand(
            "a", "i", 4, (messages.TokenUsage("t", 1, 2, 3, 4),), {"db-1": 5}
        ),
        messages.Grants(
            "a",
            2,
            4,
            (messages.TokenGrant(1, "t", 9, 1.0),),
            (messages.ConnectionShare("db-1", 5, 3.0),),
        ),
        messages.NodeStatus("a", "i", "{}"),
    ]


def describe(value):
    if hasattr(value, "__slots__"):
        return {name: describe(getattr(value, name)) for name in value.__slots__}
    if isinstance(value, list | tuple):
        return [describe(item) for item in value]
    if isinstance(value, dict):
        return {name: describe(item) for name, item in value.items()}
    return value


@pytest.mark.parametrize("message", make_messages(), ids=lambda m: type(m).__name__)
def test_messages_are_encoded_and_decoded_unchanged(message):
    wire = codec.encode_envelope(message, TIMESTAMP).SerializeToString()
    envelope = peers_pb2.Envelope.FromString(wire)
    assert (envelope.wall, envelope.logical) == (5, 6)
    decoded = codec.decode_envelope(envelope)
    assert type(decoded) is type(message)
    assert describe(decoded) == describe(message)


def test_unknown_fields_of_a_newer_release_are_ignored():
    wire = codec.encode_envelope(make_renew(), TIMESTAMP).SerializeToString()
    unknown_field = b"\xfa\x3f\x03abc"
    envelope = peers_pb2.Envelope.FromString(wire + unknown_field)
    envelope.protocol = codec.PROTOCOL + 1
    assert codec.decode_envelope(envelope).version == 7


def test_message_of_an_unknown_kind_is_ignored():
    envelope = peers_pb2.Envelope(protocol=codec.PROTOCOL + 1)
    assert codec.decode_envelope(envelope) is None


def test_protocol_that_is_too_old_is_refused():
    envelope = codec.encode_envelope(make_renew(), TIMESTAMP)
    envelope.protocol = codec.OLDEST_PROTOCOL - 1
    with pytest.raises(errors.ProtocolViolation):
        codec.decode_envelope(envelope)


@pytest.mark.parametrize("echo", [float("nan"), float("inf")])
def test_times_that_are_not_finite_are_refused(echo):
    envelope = codec.encode_envelope(make_renew(echo=echo), TIMESTAMP)
    with pytest.raises(errors.ProtocolViolation):
        codec.decode_envelope(envelope)


@hypothesis.settings(derandomize=True, database=None, max_examples=200, deadline=None)
@hypothesis.given(
    strategies.sampled_from(make_messages()),
    strategies.integers(0, 200),
    strategies.binary(min_size=1, max_size=4),
)
def test_damaged_messages_are_refused_cleanly(message, offset, replacement):
    wire = bytearray(codec.encode_envelope(message, TIMESTAMP).SerializeToString())
    wire[offset : offset + len(replacement)] = replacement
    with contextlib.suppress(protobuf.DecodeError, errors.ProtocolViolation):
        envelope = peers_pb2.Envelope.FromString(bytes(wire))
        decoded = codec.decode_envelope(envelope)
        assert decoded is None or isinstance(decoded, messages.Message)


def make_certificate(name, signer=None):
    """Return a certificate and its key, signed by ``signer`` or by itself."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])
    start = datetime.datetime(2020, 1, 1)
    issuer, signing_key = (subject, key) if signer is None else signer
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(start)
        .not_valid_after(start + datetime.timedelta(days=36500))
        .add_extension(x509.BasicConstraints(signer is None, None), True)
        .add_extension(x509.SubjectAlternativeName([address]), False)
        .sign(signing_key, hashes.SHA256())
    )
    return certificate, key, subject


def write_tls(folder, name, authority):
    """Write the certificate files of a node, signed by ``authority``."""
    folder.mkdir(exist_ok=True)
    certificate, key, _ = make_certificate(name, (authority[2], authority[1]))
    encoding = serialization.Encoding.PEM
    paths = [folder / f"{name}.{part}" for part in ("pem", "key", "ca")]
    paths[0].write_bytes(certificate.public_bytes(encoding))
    paths[1].write_bytes(
        key.private_bytes(
            encoding,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    paths[2].write_bytes(authority[0].public_bytes(encoding))
    return settings.Tls(*[str(path) for path in paths])


class PeerNode:
    """One peer service and the messages that it has received."""

    def __init__(self, tls=None):
        self.received = []
        self.metrics = metrics.Registry()
        recorder = timeline.Recorder("", "a", "z")
        self.peers = peers.Peers(
            tls or settings.Tls(), recorder, self.metrics, self.received.append
        )


async def exchange(sender, receiver, count=3, limit=3.0):
    """Send until ``count`` messages arrive or ``limit`` s pass; return the number."""
    address = await receiver.peers.start("127.0.0.1:0")
    with anyio.move_on_after(limit):
        while len(receiver.received) < count:
            sender.peers.send(address, make_renew())
            await anyio.sleep(0.02)
    await sender.peers.close()
    await receiver.peers.close()
    return len(receiver.received)


def test_messages_arrive_over_a_stream():
    async def check():
        assert await exchange(PeerNode(), PeerNode()) >= 3

    anyio.run(check)


def test_peers_authenticate_each_other(tmp_path):
    authority = make_certificate("authority")
    other_authority = make_certificate("authority")

    async def check():
        ours = [PeerNode(write_tls(tmp_path, name, authority)) for name in "ab"]
        assert await exchange(*ours) >= 3
        untrusted = PeerNode(write_tls(tmp_path, "c", other_authority))
        ours = PeerNode(write_tls(tmp_path, "d", authority))
        assert await exchange(untrusted, ours, limit=0.5) == 0
        ours = PeerNode(write_tls(tmp_path, "e", authority))
        assert await exchange(PeerNode(), ours, limit=0.5) == 0

    anyio.run(check)


def test_stream_is_reopened_when_the_node_restarts():
    async def check():
        sender, first, second = PeerNode(), PeerNode(), PeerNode()
        address = await first.peers.start("127.0.0.1:0")
        with anyio.fail_after(5):
            while not first.received:
                sender.peers.send(address, make_renew())
                await anyio.sleep(0.02)
            await first.peers.close()
            await second.peers.start(address)
            while not second.received:
                sender.peers.send(address, make_renew())
                await anyio.sleep(0.02)
        await sender.peers.close()
        await second.peers.close()

    anyio.run(check)


def test_messages_to_an_unresponsive_node_use_bounded_memory():
    async def check():
        async def ignore_input(reader, writer):
            await asyncio.sleep(10)

        listener = await asyncio.start_server(ignore_input, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        sender = PeerNode()
        for _ in range(5000):
            sender.peers.send(f"{host}:{port}", make_renew())
        await anyio.sleep(0.05)
        link = sender.peers._links[f"{host}:{port}"]
        assert len(link._queue) <= peers.QUEUE_LIMIT
        await sender.peers.close()
        listener.close()

    anyio.run(check)


def test_port_in_use_names_the_remedy():
    async def check():
        first, second = PeerNode(), PeerNode()
        address = await first.peers.start("127.0.0.1:0")
        with pytest.raises(errors.SettingsError) as caught:
            await second.peers.start(address)
        assert "peer_listen" in caught.value.remedy
        await first.peers.close()

    anyio.run(check)
