"""Proxy with baseline policies, for comparison with the product.

All reads go to the primary, requests for an endpoint are served in order of
arrival (FIFO), fencing always waits until the leases expire, and every VM gets an
equal part of each team's rate and burst. Started by ``bench/measures.py``.
"""

import pathlib
import sys

import anyio

from sardinehold import proxy
from sardinehold import settings
from sardinehold.core import allocation
from sardinehold.core import engine
from sardinehold.core import fence
from sardinehold.core import lease
from sardinehold.core import node as nodes
from sardinehold.core import quota
from sardinehold.core import routing

_Bucket = quota.Allocator


@routing.choice("primary_only")
def choose_none(node, request):
    """Select no replica, so that every read goes to the primary."""
    return


def wait_for_expiry(self, now, record, acknowledged):
    """Return whether the leases have expired, even if all members acknowledged."""
    if self.quorum_since is None:
        reached = {vm for vm, seen in acknowledged.items() if seen >= self.version}
        if fence._has_quorum(record, reached):
            self.quorum_since = now
    return self.quorum_since is not None and now >= lease.find_expiry(self.quorum_since)


class EvenAllocator:
    """A separate token bucket per node, each with an equal part of the rate."""

    def __init__(self, epoch, now, starts_at, expected=frozenset()):
        """Create the allocator; buckets are created on first use."""
        self.start = (epoch, now, starts_at)
        self.rates = {}
        self.nodes = {}
        self.parts = max(1, len(expected))

    def configure(self, now, rates):
        """Divide the rates equally among the nodes."""
        self.rates = {
            team: quota.Rate(rate.rate / self.parts, rate.burst / self.parts)
            for team, rate in rates.items()
        }
        for bucket in self.nodes.values():
            bucket.configure(now, self.rates)

    def exchange(self, now, node, sequence, usages):
        """Grant tokens from the node's own bucket."""
        if node not in self.nodes:
            self.nodes[node] = _Bucket(*self.start)
            self.nodes[node].configure(now, self.rates)
        return self.nodes[node].exchange(now, node, sequence, usages)


def main() -> int:
    """Run the proxy."""
    loaded = settings.load_proxy(pathlib.Path(sys.argv[1]))
    policies = nodes.Policies(replica="primary_only", wait="primary", queue="fifo")
    allocation.quota.Allocator = EvenAllocator
    fence.Fence.is_passed = wait_for_expiry

    async def serve() -> int:
        decisions = engine.Engine(1, anyio.current_time(), loaded.zone, policies)
        return await proxy.serve(loaded, None, decisions)

    return anyio.run(serve)


if __name__ == "__main__":
    sys.exit(main())
