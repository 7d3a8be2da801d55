"""Starts a node that can be cut off from the other nodes, for soaks.

While a file exists beside the node's settings file, with ``.cut`` added to the name,
the process neither sends datagrams to other nodes nor receives any, opens no links, and
holds what is on its way over links until the file is gone. Its connections start at the
node's own address, by which stand-ins tell the nodes apart.
"""

import asyncio
import os
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "src"))

from sardinehold.node import links  # noqa: E402
from sardinehold.node import peers  # noqa: E402
from sardinehold.platform import daemon  # noqa: E402
from sardinehold.platform import settings_file  # noqa: E402

CUT_SUFFIX = ".cut"
CHECK_INTERVAL = 0.02
"""Seconds between checks whether the cut has ended."""

STANDIN_HOST = "127.0.0.1"
"""Address of databases and platform."""

SETTINGS = pathlib.Path(os.environ[settings_file.SETTINGS_VARIABLE])
CUT = f"{SETTINGS}{CUT_SUFFIX}"


def is_cut() -> bool:
    """Return whether the node is cut off."""
    return os.path.exists(CUT)


def drop_if_cut(function):
    """Return a method that does nothing while the node is cut off."""

    def call(self, *arguments):
        if not is_cut():
            function(self, *arguments)

    return call


def hold_if_cut(function):
    """Return a method of a link whose calls wait, in their order, during a cut."""
    held = []

    def call(link, data):
        if not held and not is_cut():
            function(link, data)
            return
        if not held:
            asyncio.get_running_loop().call_later(CHECK_INTERVAL, release)
        held.append((link, data))

    def release():
        if is_cut():
            asyncio.get_running_loop().call_later(CHECK_INTERVAL, release)
            return
        waiting = held[:]
        held.clear()
        for link, data in waiting:
            if not link.is_ended:
                function(link, data)

    return call


def bind_connections(function, host: str):
    """Return ``create_connection`` for connections that start at an address.

    Those to other nodes wait for the end of a cut.
    """

    async def call(self, make, target=None, port=None, **options):
        while target not in (None, STANDIN_HOST) and is_cut():
            await asyncio.sleep(CHECK_INTERVAL)
        if options.get("sock") is None:
            options["local_addr"] = (host, 0)
        return await function(self, make, target, port, **options)

    return call


def install() -> None:
    """Put the cut between the node and its peers."""
    host = settings_file.load(SETTINGS).peer_listen[0]
    loop = asyncio.SelectorEventLoop
    loop.create_connection = bind_connections(loop.create_connection, host)
    peers.Peers.send_to_all = drop_if_cut(peers.Peers.send_to_all)
    peers.Peers.datagram_received = drop_if_cut(peers.Peers.datagram_received)
    links.Link.send = hold_if_cut(links.Link.send)
    for kind in (links.Inbound, links.Outbound):
        kind.data_received = hold_if_cut(kind.data_received)


if __name__ == "__main__":
    install()
    sys.exit(daemon.main())
