"""HTTP control interface of one endpoint: fault switches, status and data."""

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from sardinehold_standins import server as servers


class Control:
    """HTTP control interface of one endpoint; ``app`` is the ASGI application.

    :param server: the controlled endpoint.
    :param group: name of the group of the endpoint.
    """

    def __init__(self, server: servers.Server, group: str) -> None:
        """Build the application."""
        self.server = server
        self.group = group
        self.app = applications.Starlette(
            routes=[
                routing.Route("/status", self._handle_status),
                routing.Route("/dump", self._handle_dump),
                routing.Route("/silence", self._handle_silence, methods=["POST"]),
                routing.Route("/faults", self._handle_faults, methods=["GET", "PUT"]),
            ]
        )

    async def _handle_status(self, request: requests.Request) -> responses.Response:
        """Return role, term, log positions, counters, sessions and free slots."""
        if self.server.faults.dead:
            return responses.JSONResponse({"error": "dead"}, 503)
        return responses.JSONResponse(self._describe())

    async def _handle_dump(self, request: requests.Request) -> responses.Response:
        """Return the rows of all tables, also while the endpoint is dead."""
        tables = self.server.database.dump()
        for table in tables.values():
            table["rows"] = [[_show(value) for value in row] for row in table["rows"]]
        return responses.JSONResponse({**self._describe(), "tables": tables})

    async def _handle_silence(self, request: requests.Request) -> responses.Response:
        """Make a share of the open connections unresponsive for good."""
        share = float(request.query_params.get("share", "1"))
        return responses.JSONResponse({"silenced": self.server.silence(share)})

    async def _handle_faults(self, request: requests.Request) -> responses.Response:
        """Return or change the fault switches."""
        faults = self.server.faults
        if request.method == "PUT":
            was_dead = faults.dead
            try:
                faults.change(await request.json())
            except KeyError as error:
                return responses.JSONResponse({"error": f"no switch {error}"}, 400)
            if faults.dead != was_dead:
                await self.server.set_dead(faults.dead)
        return responses.JSONResponse(faults.dump())

    def _describe(self) -> dict:
        """Return the status of the endpoint."""
        server = self.server
        database = server.database
        return {
            "name": database.name,
            "group": self.group,
            "role": "primary" if database.is_primary else "replica",
            "term": database.term,
            "received": database.received,
            "applied": database.applied,
            "history": database.history,
            "replicas": [list(row) for row in server.read_status()[1:]],
            "sessions": len(server.sessions),
            "free_slots": server.slots.free,
            "counters": server.counters,
        }


def _show(value: object) -> object:
    """Return a value as JSON, binary data in hexadecimal."""
    return "\\x" + value.hex() if isinstance(value, bytes) else value
