"""Handlers of the engine's actions on endpoint connections."""

import typing

from sardinehold import action_handlers
from sardinehold import endpoint_handshake
from sardinehold import endpoints
from sardinehold import errors
from sardinehold.core import actions
from sardinehold.core import events

if typing.TYPE_CHECKING:
    from sardinehold import datapath

CANCEL_SECONDS = 5.0
"""Seconds that sending a cancel request may take."""


@action_handlers.handles(actions.OpenConnection)
def open_connection(path: "datapath.DataPath", action: actions.OpenConnection) -> None:
    """Open a connection to an endpoint."""
    path.connections[action.connection_id] = None
    path.spawn(_connect, path, action)


async def _connect(path: "datapath.DataPath", action: actions.OpenConnection) -> None:
    identifier = action.connection_id
    address = path.addresses.get(action.endpoint)
    try:
        if address is None:
            raise errors.EndpointUnavailable(
                f"The view contains no endpoint {action.endpoint}.",
                "Wait for the next view.",
            )
        connection = await endpoints.connect(
            address, action.deadline, path.endpoint_tls, path.buffer
        )
    except errors.EndpointUnavailable as error:
        path.registry.count("connections_failed")
        if path.connections.pop(identifier, path) is None:
            full = isinstance(error, endpoint_handshake.EndpointFull)
            path.deliver(events.ConnectionFailed(identifier, full))
        return
    path.add_connection(identifier, connection)


@action_handlers.handles(actions.CloseConnection)
def close_connection(
    path: "datapath.DataPath", action: actions.CloseConnection
) -> None:
    """Close a connection and discard later input from it."""
    connection = path.connections.pop(action.connection_id, None)
    if connection is not None:
        connection.close()
        path.end_transactions(action.connection_id)


@action_handlers.handles(actions.CancelStatement)
def cancel_statement(
    path: "datapath.DataPath", action: actions.CancelStatement
) -> None:
    """Send a cancel request for the statement that runs on a connection."""
    connection = path.connections.get(action.connection_id)
    if connection is None or connection.closed or not connection.key_data:
        return
    connection.cancel_requested = True
    path.registry.count("cancels_sent")
    deadline = path.loop.time() + CANCEL_SECONDS
    path.spawn(endpoints.cancel, connection, deadline)


@action_handlers.handles(actions.ProbeEndpoint)
def probe_endpoint(path: "datapath.DataPath", action: actions.ProbeEndpoint) -> None:
    """Read an endpoint's log status."""
    path.spawn(path.prober.probe, action)
