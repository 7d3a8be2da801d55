"""Graceful shutdown of a node with callers that the platform's adapter accepted."""

import asyncio

import pytest

import builders_node
from sardinehold.node import stopping
from sardinehold.platform import callers
from sardinehold.platform import endpoints

STEP = 0.3
"""Seconds in which a statement is answered, or a session that is idle is closed."""


class Transport:
    """Transport of one caller that records what is written and when it is closed."""

    def __init__(self):
        self.protocol = None
        self.written = []
        self.is_closed = False

    def write(self, data):
        assert not self.is_closed
        self.written.append(data)

    def close(self):
        if not self.is_closed:
            self.is_closed = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    def get_extra_info(self, name):
        return None


async def connect(node, *lines):
    """Connect a caller, send lines and wait for their answers."""
    transport = Transport()
    transport.protocol = callers.Caller(node)
    transport.protocol.connection_made(transport)
    for line in (b"START session red-key", *lines):
        await send(transport, line)
    assert len(transport.written) == 1 + len(lines)
    assert not any(answer.startswith(b"ERROR") for answer in transport.written)
    return transport


async def send(transport, line):
    transport.protocol.data_received(line + b"\r\n")
    await asyncio.sleep(STEP)


@pytest.mark.parametrize("end", [b"COMMIT", b"ROLLBACK"])
def test_stop_closes_idle_sessions_and_open_transactions_when_they_end(
    monkeypatch, end
):
    # Node.stop() failed with a TypeError and closed no session when an attribute of
    # the adapter's Caller hid the method that checks for an idle session.
    async def scenario(world):
        node = world.nodes["n1"]
        idle = await connect(node)
        served = await connect(node, b"QUERY 1 READ a")
        busy = await connect(node, b"QUERY 2 BEGIN", b"QUERY 3 WRITE a b")
        stopped = asyncio.ensure_future(node.stop())
        await asyncio.sleep(stopping.UNROUTED_DELAY - STEP)
        assert not any(caller.is_closed for caller in (idle, served, busy))
        await asyncio.sleep(2 * STEP)
        assert idle.is_closed
        assert served.is_closed
        assert not busy.is_closed
        assert node.callers == {busy.protocol}
        assert not stopped.done()
        await send(busy, b"QUERY 4 " + end)
        assert b"READY I " in busy.written[-1]
        assert busy.is_closed
        await asyncio.sleep(STEP)
        assert not node.callers
        assert stopped.done()
        assert stopped.exception() is None

    monkeypatch.setattr(endpoints, "configure_socket", lambda _: None)
    builders_node.run_scenario(monkeypatch, scenario)


def test_stop_answers_a_running_statement_before_it_closes_the_session(monkeypatch):
    async def scenario(world):
        node = world.nodes["n1"]
        busy = await connect(node)
        serve = node.serve
        may_answer = asyncio.Event()

        async def serve_late(session, statement):
            answer = await serve(session, statement)
            await may_answer.wait()
            return answer

        node.serve = serve_late
        stopped = asyncio.ensure_future(node.stop())
        await asyncio.sleep(stopping.UNROUTED_DELAY - STEP)
        await send(busy, b"QUERY 1 READ a")
        await asyncio.sleep(2 * STEP)
        assert len(busy.written) == 1
        assert not busy.is_closed
        may_answer.set()
        await asyncio.sleep(STEP)
        assert b"COMPLETE signed" in busy.written[1]
        assert busy.is_closed
        assert stopped.done()
        assert stopped.exception() is None

    monkeypatch.setattr(endpoints, "configure_socket", lambda _: None)
    builders_node.run_scenario(monkeypatch, scenario)
