"""Test data and test doubles of the platform: records, HTTP API, line protocol."""

import asyncio
import json
import re
import sys

import anyio
import httpx

from sardinehold.node import clock
from sardinehold.platform import failover_client


def make_route(**changes: object) -> dict:
    return {
        "Name": "r-1",
        "Host": "letters",
        "PathPrefix": "/",
        "Kind": "read_your_writes",
        "TimeoutMs": 1000,
        "TargetLatencyMs": 800,
        "Priority": 2,
        "Service": "db",
        "MaxAttempts": 2,
        "MaxStalenessMs": 2500,
        "Public": False,
        **changes,
    }


def make_configuration(**changes: object) -> dict:
    return {
        "Version": 7,
        "Routes": [make_route()],
        "Services": [{"Name": "db", "MaxConnections": 21, "SyncReplicas": 1}],
        "Limits": {"TxIdleMs": 2000},
        "Tenants": [{"Name": "desk", "ApiKeys": ["k1"], "RatePerS": 66, "Burst": 33}],
        **changes,
    }


def make_entry(**changes: object) -> dict:
    return {
        "Service": "db",
        "Address": "10.0.0.9:8080",
        "Zone": "north",
        "Version": "v1",
        "Capacity": 3,
        "State": "ready",
        "ColdMs": 0,
        "DatabaseRole": "replica",
        "Sequence": 4,
        "born": 1700000000000,
        **changes,
    }


def make_settings() -> dict:
    return {
        "NodeName": "frontend-1",
        "Ip": "10.1.0.26",
        "Zone": "north",
        "Zones": {"north": "n", "south": "s"},
        "InternalPorts": [7560, 7575],
        "BindAddresses": {
            "Frontend": "10.1.0.26:8465",
            "Readiness": "10.1.0.26:8460",
        },
        "Bounds": {"GracePeriodS": 6, "DrainMs": 7000, "QuotaWindowS": 5},
        "platform": {"Address": "10.200.1.7:8466"},
        "CloudApi": {"Address": "10.200.0.2:8466"},
    }


def make_object(name: str, revision: int, spec: object) -> dict:
    return {"meta": {"Name": name, "Revision": revision}, "spec": spec}


class Recorder:
    """HTTP transport that answers from a list and records the requests.

    ``eras`` has the value of ``Store-Era`` for each answer; 1 where it ends.
    """

    def __init__(
        self, *answers: tuple[int, object], eras: tuple[int, ...] = ()
    ) -> None:
        self.answers = list(answers)
        self.eras = list(eras)
        self.requests: list[httpx.Request] = []

    def __call__(self, request: httpx.Request) -> httpx.Response:
        self.requests.append(request)
        status, body = self.answers.pop(0)
        era = self.eras.pop(0) if self.eras else 1
        headers = {"Store-Era": str(era)}
        if isinstance(body, bytes):
            return httpx.Response(status, content=body, headers=headers)
        return httpx.Response(status, json=body, headers=headers)

    def read_body(self, index: int) -> dict:
        return json.loads(self.requests[index].content)

    @property
    def transport(self) -> httpx.MockTransport:
        return httpx.MockTransport(self)


class FailoverServer:
    """The platform's failover API; without a status, no request is answered.

    ``was_reset`` tells for each connection whether its sender reset it.
    """

    def __init__(self, status: int | None = None) -> None:
        self.status = status
        self.requests: list[bytes] = []
        self.was_reset: list[bool] = []
        self.address = ("127.0.0.1", 0)
        self.ended = asyncio.Event()

    async def start(self) -> asyncio.Server:
        server = await asyncio.start_server(self._serve, *self.address)
        self.address = server.sockets[0].getsockname()
        return server

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"content-length: (\d+)", head.lower())
            body = await reader.readexactly(int(length.group(1)))
            self.requests.append(head + body)
            if self.status is not None:
                answer = f"HTTP/1.1 {self.status} X\r\nContent-Length: 2\r\n\r\n{{}}"
                writer.write(answer.encode())
            await reader.read()
            self.was_reset.append(False)
        except asyncio.IncompleteReadError:
            self.was_reset.append(False)
        except ConnectionResetError:
            self.was_reset.append(True)
        finally:
            writer.close()
            self.ended.set()


class LineServer:
    """Server that answers each line from a script and records the lines."""

    def __init__(self, *script: bytes | None) -> None:
        self.script = list(script)
        self.lines: list[bytes] = []
        self.port = 0
        self.was_reset: list[bool] = []
        self.ended = asyncio.Event()

    async def start(self) -> asyncio.Server:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while line := await reader.readline():
                self.lines.append(line)
                answer = self.script.pop(0) if self.script else b""
                if answer is None:
                    return
                writer.write(answer)
            self.was_reset.append(False)
        except ConnectionResetError:
            self.was_reset.append(True)
        finally:
            writer.close()
            self.ended.set()


async def request_promotion(port: int) -> None:
    """Send one promotion request, as a process that a test kills."""
    client = failover_client.FailoverClient(("127.0.0.1", port))
    await client.promote("db", "i-2", "frontend-1", 41, clock.read() + 60.0)


if __name__ == "__main__":
    anyio.run(request_promotion, int(sys.argv[1]))
