"""Byte stream of one client, with simulated latency and unresponsiveness."""

import asyncio
import collections

HIGH_WATER_BYTES = 256 * 1024
"""Size of the write buffer above which the session waits."""


class Link:
    """Transfers data between a transport and a session.

    :param transport: transport of the client connection.
    :param receive: called with the data from the client.
    :param latency: function that returns the one-way latency in seconds.
    """

    __slots__ = (
        "transport",
        "is_silent",
        "_receive",
        "_latency",
        "_delayed",
        "_writable",
        "_closing",
    )

    def __init__(self, transport: asyncio.Transport, receive, latency) -> None:
        """Create a link over a transport."""
        self.transport = transport
        self.is_silent = False
        self._receive = receive
        self._latency = latency
        self._delayed: collections.deque = collections.deque()
        self._writable: asyncio.Future | None = None
        self._closing = False
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)

    def feed(self, data: bytes) -> None:
        """Handle data from the client."""
        if self.is_silent:
            return
        self._delay(self._receive, data)

    def write(self, data: bytes) -> None:
        """Send data to the client."""
        self._delay(self._send, data)

    def close(self) -> None:
        """Close the connection after all pending writes."""
        if not self.is_silent:
            self._delay(self._close, b"")

    def abort(self) -> None:
        """Abort the connection immediately."""
        self.transport.abort()

    def go_silent(self) -> None:
        """Stop reading and writing for good, without closing the connection."""
        self.is_silent = True
        self._delayed.clear()
        if not self.transport.is_closing():
            self.transport.pause_reading()

    def pause(self) -> None:
        """Handle a full write buffer of the transport."""
        if self._writable is None:
            self._writable = asyncio.get_running_loop().create_future()

    def resume(self) -> None:
        """Handle a write buffer with free space again."""
        if self._writable is not None:
            if not self._writable.done():
                self._writable.set_result(None)
            self._writable = None

    async def drain(self) -> None:
        """Wait until the write buffer has free space."""
        if self._writable is not None:
            await asyncio.shield(self._writable)

    def _delay(self, action, data: bytes) -> None:
        """Schedule an action after the latency, preserving the order of calls."""
        latency = self._latency()
        if not latency and not self._delayed:
            action(data)
            return
        loop = asyncio.get_running_loop()
        self._delayed.append((loop.time() + latency, action, data))
        if len(self._delayed) == 1:
            loop.call_later(latency, self._run_delayed)

    def _run_delayed(self) -> None:
        """Run all actions that are due."""
        loop = asyncio.get_running_loop()
        while self._delayed and self._delayed[0][0] <= loop.time():
            _, action, data = self._delayed[0]
            action(data)
            if self._delayed:
                self._delayed.popleft()
        if self._delayed:
            loop.call_at(self._delayed[0][0], self._run_delayed)

    def _send(self, data: bytes) -> None:
        """Write to the transport unless the link is silent."""
        if not self.is_silent:
            self.transport.write(data)

    def _close(self, data: bytes) -> None:
        """Close the transport."""
        self.transport.close()
