"""Writers at the node that alone reaches a primary which is being replaced."""

import builders_node
from sardinehold.node import leader

OWNER = "n3"
"""First owner of the primary's connections in a fleet of four; it does not lead."""


def start_writers(world, count=8):
    """Start callers that write at the owner; return what they are told."""
    told: list[str] = []
    for _ in range(count):
        client = world.open(OWNER, "latest")
        world.tasks.start_soon(client.write_until_cancelled, told)
    return told


def lose_primary(monkeypatch):
    """Have the leader count the first primary as unreachable."""
    monkeypatch.setattr(
        leader.Leader, "_is_lost", lambda self, state, now: state.term == 1
    )


def join_without_records(world, count):
    """Have replicas join of which no node learns."""
    put, world.publish_endpoint = world.publish_endpoint, lambda name: None
    for _ in range(count):
        builders_node.join_database(world, world.clusters["g"])
    world.publish_endpoint = put


def find_missing(cluster, told):
    """Return the requests that the primary's log lacks."""
    kept = {request for _, request in cluster.primary.log}
    return [request for request in told if request not in kept]
