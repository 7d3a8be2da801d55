"""Requests to cold endpoints: sent by the first owner alone, within its budget.

:mod:`sardinehold.node.warmup` holds the rules; this module applies them to the queue
of the executor, to streams and to probes.
"""

import asyncio
import random
import typing

from sardinehold import metrics
from sardinehold.node import admission
from sardinehold.node import clock
from sardinehold.node import execution
from sardinehold.node import groups
from sardinehold.node import pool
from sardinehold.node import warmup

if typing.TYPE_CHECKING:
    from sardinehold.node import executor
    from sardinehold.node import node as nodes

MIN_WAKE_DELAY = 0.001
"""Seconds until the queue is dispatched again at the earliest: the end of a timer may
be rounded to just before the time at which a token is complete."""

RETRY_AFTER = 0.3
"""Seconds after which a caller retries if the first owner is changing: about the time
in which all nodes learn of the next one."""

OTHER_PROBE_INTERVAL = 2.0
"""Minimum seconds between two probes of a cold endpoint by a node that is not its first
owner: all witnesses together stay within the slack."""


class ColdEndpoints:
    """Applies the budgets of cold endpoints on one node."""

    def __init__(self, node: "nodes.Node") -> None:
        """Initialize without pending wake-ups."""
        self.node = node
        self._waking: set[pool.Endpoint] = set()

    def find_limits(self, group: groups.Group) -> warmup.Limits:
        """Return what a cold endpoint of a group can handle.

        A node without a configuration yet allows nothing.
        """
        settings = self.node.settings
        config = group.config
        if config is None:
            # Any positive rate marks the endpoint as limited.
            return warmup.Limits(1.0, 0.0, 0.0, 0.0)
        return warmup.Limits(
            config.cold_rate,
            config.cold_start,
            settings.cold_overage,
            settings.cold_slack,
        )

    def is_cold(self, group: groups.Group, endpoint: pool.Endpoint) -> bool:
        """Return whether an endpoint is cold."""
        if not _is_limited(group):
            return False
        return endpoint.warmup.is_cold(self.find_limits(group), clock.read())

    def _measure_isolation(self, now: float) -> float:
        """Return the seconds for which a change of owner may have been missed."""
        return now - self.node.store_mirror.find_members_current_at()

    def explain_refusal(self, endpoint: pool.Endpoint, now: float) -> str:
        """Return why this node may not send to a cold endpoint, ``""`` if it may."""
        return warmup.explain_refusal(endpoint.warmup, self._measure_isolation(now))

    def make_rejection(
        self,
        endpoint: pool.Endpoint,
        rejection: execution.Rejection,
        reason: str,
        retry_after: float,
    ) -> execution.Rejected:
        """Return a rejection of a request for a cold endpoint, and count it."""
        self.node.registry.count(
            metrics.label_name("cold_refusals", reason=rejection.value)
        )
        return execution.Rejected(
            rejection,
            f"endpoint {endpoint.name}: {reason}",
            admission.compute_retry_after(retry_after, random.random()),
        )

    # The first owner's queue

    def check(
        self, group: groups.Group, endpoint: pool.Endpoint, stream: "executor.Stream"
    ) -> None:
        """Check that this node may send a request.

        :raises sardinehold.node.execution.Rejected: the endpoint is cold, and another
            node is its first owner or may be; or the transaction's start has ended.
        """
        if not self.is_cold(group, endpoint):
            return
        reason = self.explain_refusal(endpoint, clock.read())
        if not reason and stream.pooled and stream.pooled.endpoint is not endpoint:
            reason = "it was restarted, and its transaction is gone"
        if reason:
            raise self.make_rejection(
                endpoint, execution.Rejection.AWAY, reason, RETRY_AFTER
            )

    def check_wait(
        self,
        group: groups.Group,
        endpoint: pool.Endpoint,
        ahead: int,
        deadline: float,
    ) -> None:
        """Check that a request fits into the budget before its deadline.

        :param ahead: number of requests that are served before it.
        :raises sardinehold.node.execution.Rejected: it does not.
        """
        if not _is_limited(group):
            return
        limits = self.find_limits(group)
        now = clock.read()
        state = endpoint.warmup
        if not state.is_cold(limits, now):
            return
        wait = state.estimate_wait(ahead + 1, limits, now)
        if now + wait + endpoint.service_time > deadline:
            raise self._reject_full(endpoint, limits, now)

    def _reject_full(
        self, endpoint: pool.Endpoint, limits: warmup.Limits, now: float
    ) -> execution.Rejected:
        count = len(endpoint.waiters) + 1
        return self.make_rejection(
            endpoint,
            execution.Rejection.FULL,
            f"it is cold and handles {limits.rate:g} requests a second",
            endpoint.warmup.estimate_wait(count, limits, now),
        )

    def may_dispatch(self, group: groups.Group, endpoint: pool.Endpoint) -> bool:
        """Return whether a waiting request may be sent to an endpoint now.

        Waiting requests that cannot be served any more are rejected at once. If others
        are left, the queue is dispatched again when the next one fits.
        """
        if not _is_limited(group):
            return True
        now = clock.read()
        limits = self.find_limits(group)
        current = group.endpoints.get(endpoint.name, endpoint)
        if not current.warmup.is_cold(limits, now):
            return True
        reason = self.explain_refusal(endpoint, now)
        if current is not endpoint:
            reason = "it was restarted and is cold"
        if reason:
            self._reject_waiting(endpoint, reason)
            return False
        if endpoint.warmup.has_token(limits, now):
            return True
        self._reject_late(endpoint, limits, now)
        if endpoint.waiters and endpoint not in self._waking:
            self._waking.add(endpoint)
            wait = max(MIN_WAKE_DELAY, endpoint.warmup.estimate_wait(1, limits, now))
            asyncio.get_running_loop().call_later(wait, self._wake, group, endpoint)
        return False

    def _wake(self, group: groups.Group, endpoint: pool.Endpoint) -> None:
        self._waking.discard(endpoint)
        self.node.executor.dispatch_waiting(group, endpoint)

    def _reject_waiting(self, endpoint: pool.Endpoint, reason: str) -> None:
        for waiter in list(endpoint.waiters):
            if not waiter.future.done():
                waiter.future.set_exception(
                    self.make_rejection(
                        endpoint, execution.Rejection.AWAY, reason, RETRY_AFTER
                    )
                )

    def _reject_late(
        self, endpoint: pool.Endpoint, limits: warmup.Limits, now: float
    ) -> None:
        """Reject the waiting requests that others of a better rank have displaced."""
        place = 0
        for waiter in sorted(endpoint.waiters, key=lambda item: item.rank(now)):
            if waiter.future.done():
                continue
            wait = endpoint.warmup.estimate_wait(place + 1, limits, now)
            if now + wait >= waiter.request.deadline:
                waiter.future.set_exception(self._reject_full(endpoint, limits, now))
            else:
                place += 1

    def take(self, group: groups.Group, endpoint: pool.Endpoint) -> None:
        """Take the token of a request that is dispatched."""
        if not _is_limited(group):
            return
        limits = self.find_limits(group)
        if endpoint.warmup.is_cold(limits, clock.read()):
            endpoint.warmup.take(limits, clock.read())

    def make_pace(
        self, group: groups.Group, endpoint: pool.Endpoint, deadline: float
    ) -> "Pace | None":
        """Return the pace of a dispatched request's statements; None if unlimited."""
        if not self.is_cold(group, endpoint):
            return None
        return Pace(self, group, endpoint, deadline)

    # Other statements

    def may_probe(self, group: groups.Group, endpoint: pool.Endpoint) -> bool:
        """Return whether to query an endpoint's status; it counts as a request."""
        if not self.is_cold(group, endpoint):
            return True
        now = clock.read()
        if endpoint.warmup.owned_since is None:
            return now - endpoint.probed_at >= OTHER_PROBE_INTERVAL
        return endpoint.warmup.take(self.find_limits(group), now)

    def record_rejection(
        self, group: groups.Group, endpoint: pool.Endpoint, error: execution.Rejected
    ) -> None:
        """Pass over a cold endpoint for reads until its budget has room again."""
        if error.rejection is execution.Rejection.FULL and self.is_cold(
            group, endpoint
        ):
            self.mark_exhausted(group, endpoint, error.retry_after)

    def mark_exhausted(
        self, group: groups.Group, endpoint: pool.Endpoint, seconds: float
    ) -> None:
        """Pass over a cold endpoint for reads for some time."""
        now = clock.read()
        is_marked = now < endpoint.exhausted_until
        endpoint.exhausted_until = max(endpoint.exhausted_until, now + seconds)
        if not is_marked:
            loop = asyncio.get_running_loop()
            loop.call_later(seconds, self._end_exhaustion, group, endpoint)

    def _end_exhaustion(self, group: groups.Group, endpoint: pool.Endpoint) -> None:
        """Let the waiting reads use an endpoint again, once it is not marked again."""
        left = endpoint.exhausted_until - clock.read()
        if left > 0.0:
            wait = max(MIN_WAKE_DELAY, left)
            loop = asyncio.get_running_loop()
            loop.call_later(wait, self._end_exhaustion, group, endpoint)
        else:
            group.dispatch_waiting()


def _is_limited(group: groups.Group) -> bool:
    """Return whether cold endpoints of a group are limited, as far as is known."""
    return group.config is None or group.config.cold_rate > 0.0


class Pace:
    """Pace of the statements of one request: set-up statements count as well.

    The first statement uses the token with which the request was dispatched.
    """

    __slots__ = ("_cold", "_group", "_endpoint", "_deadline", "_is_first")

    def __init__(
        self,
        cold: ColdEndpoints,
        group: groups.Group,
        endpoint: pool.Endpoint,
        deadline: float,
    ) -> None:
        """Initialize the pace of a dispatched request."""
        self._cold = cold
        self._group = group
        self._endpoint = endpoint
        self._deadline = deadline
        self._is_first = True

    async def wait(self) -> None:
        """Wait until the next statement may be sent.

        :raises sardinehold.node.execution.Rejected: it cannot be in time.
        """
        if self._is_first:
            self._is_first = False
            return
        limits = self._cold.find_limits(self._group)
        now = clock.read()
        if not self._endpoint.warmup.is_cold(limits, now):
            return
        due = self._endpoint.warmup.reserve(limits, now, self._deadline)
        if due is None:
            raise self._cold.make_rejection(
                self._endpoint,
                execution.Rejection.FULL,
                "it is cold, and setting up the session takes too long",
                RETRY_AFTER,
            )
        if due > now:
            await asyncio.sleep(due - now)
        reason = self._cold.explain_refusal(self._endpoint, clock.read())
        if reason:
            raise self._cold.make_rejection(
                self._endpoint, execution.Rejection.AWAY, reason, RETRY_AFTER
            )
