"""How often the event loop of a node polls the kernel."""

import asyncio
import selectors
import socket

from sardinehold.node import loops


def count_selects(monkeypatch, function):
    """Return how often the kernel was polled while a coroutine function ran."""
    polls = []
    select = selectors.DefaultSelector.select

    def count(self, timeout=None):
        polls.append(timeout)
        return select(self, timeout)

    monkeypatch.setattr(selectors.DefaultSelector, "select", count)
    loop = loops.make_loop()
    try:
        loop.run_until_complete(function())
    finally:
        loop.close()
    return len(polls)


async def run_steps(steps: int) -> None:
    """Pass a result through a chain of futures, like a statement."""
    loop = asyncio.get_running_loop()
    for _ in range(steps):
        future = loop.create_future()
        loop.call_soon(future.set_result, None)
        await future


def test_chain_of_steps_polls_the_kernel_rarely(monkeypatch):
    # letters-desk grown: 720 polls a second on a node with 40 statements a second.
    polls = count_selects(monkeypatch, lambda: run_steps(400))
    assert polls <= 2 * 400 / loops.MAX_ROUNDS + 2


def test_input_is_received_although_steps_never_end(monkeypatch):
    async def scenario():
        loop = asyncio.get_running_loop()
        near, far = socket.socketpair()
        arrived = []
        loop.add_reader(near, lambda: arrived.append(near.recv(1)))
        far.send(b"x")
        await run_steps(loops.MAX_ROUNDS)
        assert arrived == [b"x"]
        loop.remove_reader(near)
        near.close()
        far.close()

    count_selects(monkeypatch, scenario)


def test_idle_loop_waits_for_its_timer(monkeypatch):
    polls = count_selects(monkeypatch, lambda: asyncio.sleep(0.01))
    assert polls <= 4
