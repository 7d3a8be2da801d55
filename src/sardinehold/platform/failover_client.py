"""Client of the platform's failover API, used by the leading node only.

A request that arrives after its sender has lost the lead could undo the next leader's
change of primary. Each request therefore has a connection of its own, which does not
outlive the request's deadline. A reset ends it, also when the process is killed: bytes
that a partition holds up are discarded instead of delivered later.
"""

import asyncio
import json
import socket

import anyio
import h11

from sardinehold import errors
from sardinehold.node import clock
from sardinehold.platform import endpoints

READ_BYTES = 4096

UNAVAILABLE = 503
"""Status of an answer that says that nothing was done."""


class FailoverClient:
    """Requests changes of primary; implements the node's port for promotions.

    :param address: host and port of the platform's API.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        """Create the client; it connects on each call."""
        self._address = address

    async def promote(
        self, group: str, endpoint: str, holder: str, token: int, deadline: float
    ) -> None:
        """Promote an endpoint to primary.

        :param holder: name of the node that leads.
        :param token: fencing token, higher than those of all earlier holders.
        :param deadline: time on the node's clock after which no byte of the request
            may be on its way.
        :raises sardinehold.errors.PlatformUnavailable: the promotion may have been
            executed, or may still be: no answer came.
        :raises sardinehold.errors.PlatformError: the promotion is not executed: the
            platform refused it, or the request was not sent.
        """
        is_sent = False
        transport: asyncio.WriteTransport | None = None
        try:
            connection = h11.Connection(h11.CLIENT)
            data = self._encode(connection, group, endpoint, holder, token)
            with anyio.fail_after(deadline - clock.read()):
                reader, writer = await asyncio.open_connection(*self._address)
                transport = writer.transport
                _limit_lifetime(transport, deadline)
                if clock.read() >= deadline:
                    # The process was suspended while it connected.
                    raise TimeoutError
                is_sent = True
                transport.write(data)
                status = await _read_status(connection, reader)
        except (OSError, ValueError, h11.ProtocolError) as error:
            raise _build_error(endpoint, error, is_sent) from error
        finally:
            if transport is not None:
                transport.abort()
        if status >= 500 and status != UNAVAILABLE:
            raise errors.PlatformUnavailable(
                f"The request to promote {endpoint} failed with status {status}.",
                "Check the endpoint's role before another promotion is requested.",
            )
        if status >= 300:
            raise errors.PlatformError(
                f"The request to promote {endpoint} was refused with status {status}.",
                "Choose another endpoint, or retry.",
            )

    def _encode(
        self,
        connection: h11.Connection,
        group: str,
        endpoint: str,
        holder: str,
        token: int,
    ) -> bytes:
        """Return the request's bytes.

        :raises h11.LocalProtocolError: the holder's name is not valid in a header.
        :raises ValueError: it has letters beyond Latin-1.
        """
        body = json.dumps({"Service": group, "Id": endpoint}).encode()
        headers = [
            ("Host", f"{self._address[0]}:{self._address[1]}"),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("X-Duty-Holder", holder.encode("latin-1")),
            ("X-Fencing-Token", str(token)),
        ]
        parts = [
            connection.send(
                h11.Request(method="POST", target="/failover", headers=headers)
            ),
            connection.send(h11.Data(body)),
            connection.send(h11.EndOfMessage()),
        ]
        return b"".join(part for part in parts if part)


def _limit_lifetime(transport: asyncio.WriteTransport, deadline: float) -> None:
    """Have the kernel discard unacknowledged bytes at a close or at the deadline.

    The deadline also holds while the process is paused, the close if it is killed.
    """
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, endpoints.RESET_ON_CLOSE)
    remaining = max(1, round((deadline - clock.read()) * 1000))
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, remaining)


async def _read_status(connection: h11.Connection, reader: asyncio.StreamReader) -> int:
    """Return the status of the answer.

    :raises h11.RemoteProtocolError: it is malformed, or the connection ended before.
    """
    while True:
        event = connection.next_event()
        if isinstance(event, h11.Response):
            return event.status_code
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_BYTES))


def _build_error(
    endpoint: str, error: Exception, is_sent: bool
) -> errors.PlatformError:
    if is_sent:
        return errors.PlatformUnavailable(
            f"The request to promote {endpoint} got no answer: {error!r}.",
            "Check the endpoint's role before another promotion is requested.",
        )
    return errors.PlatformError(
        f"The request to promote {endpoint} was not sent: {error!r}.",
        "Check that this VM can reach the platform; it is retried.",
    )
