"""A link between a node and a service of the platform, which can be partitioned.

While it is cut, bytes are held on their way, as in a network that drops packets: after
the cut heals, the sender's retransmissions deliver them, unless the sender has reset
the connection. A connection that is opened during the cut is never established: it is
accepted here, since a program can't drop its packets, but nothing on it is passed on,
and it is reset when the cut heals.
"""

import asyncio
import contextlib


class Link:
    """A TCP proxy on a loopback address.

    :param on_bytes: called with the first bytes of each connection from the node,
        before they are passed on.
    """

    def __init__(self, target_port: int, on_bytes=None) -> None:
        self.target_port = target_port
        self.on_bytes = on_bytes
        self.port = 0
        self.is_open = asyncio.Event()
        self.is_open.set()

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        self.is_open.clear()

    def heal(self) -> None:
        self.is_open.set()

    async def _serve(self, reader, writer) -> None:
        if not self.is_open.is_set():
            await self.is_open.wait()
            writer.transport.abort()
            return
        try:
            inner = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pass(reader, inner[1], writer, self.on_bytes),
            self._pass(inner[0], writer, inner[1], None),
        )

    async def _pass(self, reader, writer, other, on_bytes) -> None:
        """Pass bytes on; a reset is passed on at once and drops what is held."""
        held = []
        ended = False
        reading = None
        try:
            while True:
                if not ended and reading is None:
                    reading = asyncio.create_task(reader.read(65536))
                if not self.is_open.is_set():
                    opening = asyncio.create_task(self.is_open.wait())
                    wanted = {opening} | ({reading} if reading else set())
                    await asyncio.wait(wanted, return_when=asyncio.FIRST_COMPLETED)
                    opening.cancel()
                elif reading is not None and not held:
                    await asyncio.wait({reading})
                if reading is not None and reading.done():
                    data = reading.result()
                    reading = None
                    if data:
                        held.append(data)
                        if on_bytes is not None:
                            on_bytes(data)
                    else:
                        ended = True
                if self.is_open.is_set():
                    for data in held:
                        writer.write(data)
                    held = []
                    await writer.drain()
                    if ended:
                        writer.close()
                        return
        except OSError:
            # The sender has reset the connection, or the receiver has.
            writer.transport.abort()
            other.transport.abort()
        finally:
            if reading is not None:
                reading.cancel()
                with contextlib.suppress(asyncio.CancelledError, OSError):
                    await reading

