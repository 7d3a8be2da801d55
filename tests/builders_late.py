"""Changes of primary whose promotion requests take effect late, and what they lose."""

import asyncio
import typing

import builders_node
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import statements
from sardinehold_standins import group_in_memory


class Result:
    """What callers were told during a change of primary.

    :param told: requests whose success a caller was told, with the times.
    :param ended_at: when the last write was sent.
    """

    def __init__(self, cluster: group_in_memory.Cluster) -> None:
        """Initialize without writes."""
        self.cluster = cluster
        self.told: dict[str, float] = {}
        self.ended_at = 0.0

    def list_lost(self) -> list[str]:
        """Return the writes that a caller was told and a later promoted log lacks."""
        kept = {request for _, request in self.cluster.primary.log}
        lost = self.told.keys() - kept
        for promotion in self.cluster.promoted:
            earlier = {item for item, at in self.told.items() if at < promotion.at}
            lost |= earlier - promotion.kept
        return sorted(lost)

    def measure_gap(self) -> float:
        """Return the longest time in seconds without a write that was acknowledged."""
        times = [*sorted(self.told.values()), self.ended_at]
        return max(
            after - before for before, after in zip(times, times[1:], strict=False)
        )


def block_log(cluster: group_in_memory.Cluster, name: str) -> None:
    """Have a replica receive nothing that the next primary commits."""
    cluster.databases[name].is_receive_blocked = True


def cut_off(cluster: group_in_memory.Cluster, name: str) -> None:
    """Partition a replica from the other databases."""
    cluster.databases[name].is_cut_off = True


def deliver_late(cluster: group_in_memory.Cluster, name: str) -> None:
    """Have a replica receive each commit later than the others do."""
    cluster.find_delivery_delay = lambda item: 0.06 if item.name == name else 0.008


def hold_back_nothing(cluster: group_in_memory.Cluster, name: str) -> None:
    """Leave replication as it is."""


HELD_BACK = [block_log, cut_off, deliver_late]
"""How a replica may lack what the next primary commits."""

HoldBack = typing.Callable[[group_in_memory.Cluster, str], None]


async def ignore(name: str) -> None:
    """Forget a promotion request that was answered."""


async def await_target(
    world: builders_node.World, earlier: str = ""
) -> tuple[str, float]:
    """Wait for a promotion request; return its target and the time.

    :param earlier: target of the requests that do not count.
    """
    async with asyncio.timeout(20.0):
        while True:
            for _, _, target in world.clusters["g"].promotions:
                if target != earlier:
                    return target, clock.read()
            await asyncio.sleep(0.005)


async def await_publication(
    world: builders_node.World, earlier: str
) -> catalog.GroupState:
    """Wait until another primary than an earlier one is published."""
    async with asyncio.timeout(20.0):
        while True:
            state = world.nodes[world.find_leader()].groups["g"].state
            is_serving = state.phase is catalog.Phase.SERVING
            if is_serving and state.primary != earlier:
                return state
            await asyncio.sleep(0.005)


async def write(world: builders_node.World, name: str, result: Result) -> None:
    """Write through a node while it runs."""
    while True:
        node = world.nodes.get(name)
        if node is not None:
            client = world.open(name, "latest")
            request_id = world.make_id()
            statement = statements.Statement(request_id, "write", statements.Kind.WRITE)
            answer = await client.session.node.serve(client.session, statement)
            if answer.error is None:
                result.told[request_id] = clock.read()
            client.close()
        await asyncio.sleep(0.02)


async def crash_primary(world: builders_node.World) -> tuple[str, float]:
    """Crash the primary beside writes; return the next target and when it was named."""
    cluster = world.clusters["g"]
    for name in world.nodes:
        world.tasks.start_soon(write, world, name, Result(cluster))
    await asyncio.sleep(0.5)
    cluster.primary.crash()
    return await await_target(world)


async def change_primary(
    world: builders_node.World,
    delay: float,
    seconds: float,
    held_back: HoldBack = hold_back_nothing,
    back_after: float | None = None,
    disturb: typing.Callable[[builders_node.World, str], typing.Any] | None = None,
    disturb_after: float = 0.0,
) -> Result:
    """Crash the primary, and have the request for the next one take effect late.

    :param delay: seconds from a request's answer to its effect.
    :param seconds: how long writes go on after the crash.
    :param held_back: applied to the replica that was not named, when the first
        request is sent.
    :param back_after: seconds after that at which the old primary returns with its
        log, None for never.
    :param disturb: called with the world and the target's name ``disturb_after``
        seconds after the first request.
    """
    cluster = world.clusters["g"]
    result = Result(cluster)
    old = cluster.primary
    writers = [
        asyncio.create_task(write(world, name, result)) for name in list(world.nodes)
    ]
    await asyncio.sleep(1.0)
    cluster.promote_delay = delay
    old.crash()
    until = clock.read() + seconds
    target, asked_at = await await_target(world)
    other = next(name for name in cluster.databases if name not in (old.name, target))
    held_back(cluster, other)
    steps = []
    if back_after is not None:
        steps.append((back_after, lambda: setattr(old, "is_up", True)))
    if disturb is not None:
        steps.append((disturb_after, lambda: disturb(world, target)))
    for after, step in sorted(steps, key=lambda item: item[0]):
        await asyncio.sleep(max(0.0, asked_at + after - clock.read()))
        step()
    await asyncio.sleep(max(0.0, until - clock.read()))
    result.ended_at = clock.read()
    for writer in writers:
        writer.cancel()
    await asyncio.gather(*writers, return_exceptions=True)
    return result
