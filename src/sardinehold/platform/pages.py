"""HTTP pages of a node: the readiness probe and the metrics."""

import asyncio
import typing

import h11

from sardinehold.node import caller_limits
from sardinehold.node import clock

READ_BYTES = 4096
"""Maximum bytes of a request that are read at once."""

METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"

Page = typing.Callable[[], tuple[int, bytes]]
"""Function that returns the HTTP status and the body of a page."""


Query = typing.Callable[[str], tuple[int, bytes]]
"""The same for a page that depends on the query string of its URL."""

REUSE_SECONDS = 0.2
"""Seconds for which a rendered page is reused; far less than between two fetches."""


class ReusedPage:
    """Page that is rendered again only after ``REUSE_SECONDS``.

    A request costs its client nothing, and rendering takes milliseconds.

    :param render: function that renders it.
    """

    __slots__ = ("_render", "_rendered", "_expires_at")

    def __init__(self, render: Page) -> None:
        """Create a page that is rendered at the first request."""
        self._render = render
        self._rendered: tuple[int, bytes] = (503, b"")
        self._expires_at = float("-inf")

    def __call__(self) -> tuple[int, bytes]:
        """Return the status and the body, at most ``REUSE_SECONDS`` old."""
        if clock.read() >= self._expires_at:
            self._rendered = self._render()
            # Counted from the end, so that a slow page leaves time for other work.
            self._expires_at = clock.read() + REUSE_SECONDS
        return self._rendered


class PageServer(asyncio.Protocol):
    """Serves GET requests for a fixed set of paths, with keep-alive connections.

    Requests are not read while an answer is unread or an earlier request waits. One
    request is answered in an iteration of the event loop, since a client may send
    thousands at once. Above the maximum number of connections the one that was unused
    for longest is closed.

    :param pages: functions that render a page, by path.
    :param queries: the same for pages that depend on the query string.
    :param open_connections: the open connections of the port; a limit of their number.
    """

    def __init__(
        self,
        pages: dict[str, Page],
        queries: dict[str, Query] | None = None,
        open_connections: caller_limits.Oldest | None = None,
    ) -> None:
        """Create the protocol; asyncio supplies the transport later."""
        self._pages = pages
        self._queries = queries or {}
        if open_connections is None:
            open_connections = caller_limits.Oldest(caller_limits.DEFAULT_PAGES)
        self._open = open_connections
        self._is_writable = True
        self._is_scheduled = False
        self._http = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport
        self._mark_used()

    def connection_lost(self, error: Exception | None) -> None:
        """Release the connection."""
        self._open.discard(self)

    def pause_writing(self) -> None:
        """Stop answering until the client reads."""
        self._is_writable = False
        self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Answer the requests that were received meanwhile."""
        self._is_writable = True
        self._schedule_answer()

    def data_received(self, data: bytes) -> None:
        """Answer a complete request; a protocol error closes the connection."""
        self._http.receive_data(data)
        if not self._is_scheduled:
            self._answer_received()

    def abort(self) -> None:
        """Close at once, and drop what the client has not read."""
        self._transport.abort()

    def _mark_used(self) -> None:
        """Count the connection as the one that was used last."""
        oldest = self._open.add(self)
        if oldest is not None:
            oldest.abort()

    def _schedule_answer(self) -> None:
        """Answer the next request in the next iteration of the event loop."""
        if self._is_scheduled or self._transport.is_closing():
            return
        self._is_scheduled = True
        self._transport.pause_reading()
        asyncio.get_running_loop().call_soon(self._answer_scheduled)

    def _answer_scheduled(self) -> None:
        self._is_scheduled = False
        self._answer_received()

    def _answer_received(self) -> None:
        """Answer one request that was received; read if there is none."""
        if not self._is_writable or self._transport.is_closing():
            return
        try:
            if self._answer_next():
                self._schedule_answer()
            elif not self._transport.is_closing():
                self._transport.resume_reading()
        except h11.RemoteProtocolError:
            self._transport.close()

    def _answer_next(self) -> bool:
        """Answer the first complete request; return whether there was one."""
        while True:
            event = self._http.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return False
            if isinstance(event, h11.ConnectionClosed):
                self._transport.close()
                return False
            if isinstance(event, h11.Request):
                target = event.target.decode("latin-1")
                self._target, _, self._query = target.partition("?")
            elif isinstance(event, h11.EndOfMessage):
                self._answer()
                return True

    def _render(self) -> tuple[int, bytes]:
        """Return the status and the body of the requested page."""
        if self._target in self._queries:
            return self._queries[self._target](self._query)
        page = self._pages.get(self._target)
        return page() if page is not None else (404, b"")

    def _answer(self) -> None:
        self._mark_used()
        status, body = self._render()
        headers = [
            (b"content-length", str(len(body)).encode()),
            (b"content-type", METRICS_TYPE),
        ]
        for event in (
            h11.Response(status_code=status, headers=headers),
            h11.Data(data=body),
            h11.EndOfMessage(),
        ):
            self._transport.write(self._http.send(event) or b"")
        if self._http.our_state is h11.MUST_CLOSE:
            self._transport.close()
        else:
            self._http.start_next_cycle()
