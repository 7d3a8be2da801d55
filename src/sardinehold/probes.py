"""Probes that read endpoints' log status.

Each endpoint has one long-lived probe connection; a fresh probe opens a new one,
which distinguishes an unavailable endpoint from a lost connection.
"""

import typing

import anyio

from sardinehold import answers
from sardinehold import endpoint_handshake
from sardinehold import endpoints
from sardinehold import errors
from sardinehold.core import actions
from sardinehold.core import events

if typing.TYPE_CHECKING:
    from sardinehold import datapath


class Prober:
    """Executor of probes, with one pooled connection per endpoint.

    :param path: data path whose engine requests the probes.
    """

    __slots__ = ("_path", "_connections")

    def __init__(self, path: "datapath.DataPath") -> None:
        """Create a prober without connections."""
        self._path = path
        self._connections: dict[str, endpoints.EndpointConnection] = {}

    async def probe(self, action: actions.ProbeEndpoint) -> None:
        """Read an endpoint's log status and report it to the engine."""
        path = self._path
        sent_at = path.loop.time()
        path.registry.count("probes")
        try:
            with anyio.fail_after(max(action.deadline - sent_at, 0)):
                status = await self._read_status(action)
        except endpoint_handshake.EndpointFull:
            # A refusal is an answer: an endpoint at its limit is not unavailable.
            path.registry.count("probes_without_room")
            return
        except (TimeoutError, errors.EndpointUnavailable):
            path.registry.count("probes_failed")
            path.deliver(events.ProbeFailed(action.endpoint, action.fresh))
            return
        path.deliver(
            events.StatusObserved(
                action.endpoint,
                status.role,
                status.applied,
                status.received,
                status.confirmed,
                sent_at,
            )
        )

    async def _read_status(self, action: actions.ProbeEndpoint) -> answers.LogStatus:
        """Return the log status that the endpoint reports.

        :raises sardinehold.errors.EndpointUnavailable: it reports no valid one.
        """
        connection = self._connections.pop(action.endpoint, None)
        if action.fresh or connection is None or connection.closed:
            if connection is not None:
                connection.close()
            connection = await self._connect(action)
        succeeded = False
        try:
            rows = await connection.fetch(answers.STATUS_QUERY)
            succeeded = True
        finally:
            if not succeeded:
                connection.close()
        self._pool(action.endpoint, connection)
        status = answers.parse_status(rows)
        if status is None:
            raise errors.EndpointUnavailable(
                f"Endpoint {action.endpoint} reports no valid log status.",
                "Check its view cluster_log_status.",
            )
        return status

    async def _connect(
        self, action: actions.ProbeEndpoint
    ) -> endpoints.EndpointConnection:
        path = self._path
        address = path.addresses.get(action.endpoint)
        if address is None:
            raise errors.EndpointUnavailable(
                f"The view contains no endpoint {action.endpoint}.",
                "Wait for the next view.",
            )
        return await endpoints.connect(
            address, action.deadline, path.endpoint_tls, path.buffer
        )

    def _pool(self, name: str, connection: endpoints.EndpointConnection) -> None:
        """Pool a connection for the next probe, at most one per endpoint."""
        if name in self._connections or name not in self._path.addresses:
            connection.close()
        else:
            self._connections[name] = connection

    def close_except(self, names: typing.Container[str]) -> None:
        """Close the connections to all endpoints but ``names``."""
        for name in [name for name in self._connections if name not in names]:
            self._connections.pop(name).close()

    def close(self) -> None:
        """Close all connections."""
        self.close_except(())
