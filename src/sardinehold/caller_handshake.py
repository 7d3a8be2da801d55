"""Start-up phase of a caller's connection: TLS, authentication, settings."""

import asyncio
import re
import secrets
import ssl
import typing

from sardinehold import errors
from sardinehold import quoting
from sardinehold import sequences
from sardinehold import startup_packets
from sardinehold import wire
from sardinehold.core import actions
from sardinehold.core import events

if typing.TYPE_CHECKING:
    from sardinehold import callers

_SECRET_BITS = 31
_SETTING_NAME = re.compile(r"[a-z_][a-z0-9_]*(\.[a-z_][a-z0-9_]*)?", re.IGNORECASE)
_TLS_ACCEPTED = b"S"
_REFUSED = b"N"
_LOCAL_SETTINGS = {"application_name"}
_ENCODINGS = {"utf8", "utf-8", "unicode"}


class CallerHandshake:
    """State of a caller's connection until its session starts.

    :param caller: connection that is starting up.
    :param tls: TLS context to offer, None to decline TLS.
    """

    __slots__ = ("caller", "tls", "secured", "packet", "settings", "token")

    def __init__(self, caller: "callers.Caller", tls: ssl.SSLContext | None) -> None:
        """Create the state before the first packet."""
        self.caller = caller
        self.tls = tls
        self.secured = False
        self.packet: startup_packets.Startup | None = None
        self.settings: list[tuple[str, str]] = []
        self.token = ""

    def read_packet(self, data: wire.Buffer, size: int) -> int:
        """Read a start-up packet; return its size, 0 while it is incomplete."""
        stop = startup_packets.find_packet_end(data, size)
        if not stop:
            return 0
        packet = startup_packets.parse_packet(bytes(data[:stop]))
        if isinstance(packet, startup_packets.Startup):
            self._start(packet)
        elif isinstance(packet, startup_packets.CancelRequest):
            self.caller.path.cancel(packet)
            self.caller.close()
        elif (
            isinstance(packet, startup_packets.TlsRequest)
            and self.tls
            and not self.secured
        ):
            self._accept_tls(size - stop)
        else:
            self.caller.transport.write(_REFUSED)
        return stop

    def _accept_tls(self, surplus: int) -> None:
        """Start TLS; reject bytes behind the request, which were not encrypted."""
        if surplus:
            raise errors.ProtocolViolation(
                "Unencrypted data followed the TLS request.",
                "Use a PostgreSQL driver.",
            )
        self.secured = True
        self.caller.read_input = self.caller.defer_input
        self.caller.transport.pause_reading()
        self.caller.transport.write(_TLS_ACCEPTED)
        self.caller.path.spawn(self._secure)

    async def _secure(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            transport = await loop.start_tls(
                self.caller.transport, self.caller, self.tls, server_side=True
            )
        except (OSError, ssl.SSLError):
            self.caller.close()
            return
        if transport is None or self.caller.closed:
            self.caller.close()
            return
        self.caller.transport = transport
        self.caller.read_input = self.read_packet
        self.caller.resume()

    def _start(self, packet: startup_packets.Startup) -> None:
        if self.tls and not self.secured:
            raise errors.AuthenticationError(
                "The proxy accepts keys over TLS only.",
                "Connect with sslmode=require.",
            )
        self._store_settings(packet.settings)
        self.packet = packet
        if self.caller.path.is_open(packet.route):
            self._sign_in("")
            return
        self.caller.read_input = self.read_password
        self.caller.transport.write(wire.build_authentication(wire.CLEARTEXT_PASSWORD))

    def _store_settings(self, settings: dict[str, str]) -> None:
        """Store the settings that must be applied before the session starts."""
        settings = {name.lower(): value for name, value in settings.items()}
        reported = self.caller.path.parameters
        reported = {name.lower(): value for name, value in reported.items()}
        encoding = settings.pop("client_encoding", "utf8")
        if encoding.strip("'\" ").lower() not in _ENCODINGS:
            raise errors.Unsupported(
                f"The client encoding {encoding[:20]} is not supported.",
                "Set client_encoding to UTF8.",
            )
        for name, value in settings.items():
            if name.startswith("_pq_.") or name in _LOCAL_SETTINGS:
                continue
            if not _SETTING_NAME.fullmatch(name):
                raise errors.ProtocolViolation(
                    f"{name[:40]!r} is not a valid name of a setting.",
                    "Remove it from the connection's options.",
                )
            if reported.get(name) != value:
                self.settings.append((name, value))

    def read_password(self, data: wire.Buffer, size: int) -> int:
        """Read the message with the key; return its size, 0 while it is incomplete."""
        if data[0] != ord("p"):
            raise errors.ProtocolViolation(
                "Expected a password message.", "Use a PostgreSQL driver."
            )
        stop = wire.find_end(data, 0, size, wire.MAX_STARTUP)
        if stop:
            key, _ = wire.read_string(data, wire.HEADER, stop)
            self._sign_in(key)
        return stop

    def _sign_in(self, key: str) -> None:
        self.caller.read_input = self.caller.defer_input
        packet = self.packet
        self.caller.path.deliver(
            events.SessionOpened(
                self.caller.session_id,
                packet.route,
                key,
                packet.token,
                packet.max_age,
                self._find_source(),
            )
        )

    def _find_source(self) -> str:
        peer = self.caller.transport.get_extra_info("peername")
        return peer[0] if peer else ""

    def accept(self, action: actions.SessionAccepted) -> None:
        """Complete the start-up after applying the settings that it requested."""
        self.token = action.token
        self.apply_next_setting()

    def apply_next_setting(self) -> None:
        """Apply the next setting of the start-up message, or finish the start-up."""
        if not self.settings:
            self._complete_handshake()
            return
        name, value = self.settings.pop()
        sql = f"SET {name} = {quoting.quote_setting(name, value)}"
        content = sequences.SimpleQuery(wire.build_query(sql))
        self.caller.path.start_request(self.caller, content, hidden=True)

    def _complete_handshake(self) -> None:
        secret = secrets.randbits(_SECRET_BITS)
        parts = [wire.build_authentication(wire.AUTHENTICATION_OK)]
        for name, value in self.caller.path.parameters.items():
            parts.append(wire.build_parameter(name, value))
        if self.token:
            parts.append(
                wire.build_parameter(startup_packets.TOKEN_SETTING, self.token)
            )
        parts.append(wire.build_key_data(self.caller.session_id, secret))
        parts.append(wire.build_ready(self.caller.status))
        self.caller.transport.write(b"".join(parts))
        self.caller.path.note_signed_in(self.caller)
        self.caller.start_session(secret)
