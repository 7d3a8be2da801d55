"""The fleet part of a proxy process: view, lease, grants and shared roles."""

import secrets
import typing

import anyio

from sardinehold import errors
from sardinehold import metrics
from sardinehold import objects
from sardinehold import platform_client
from sardinehold import settings
from sardinehold import timeline
from sardinehold import views
from sardinehold.core import actions
from sardinehold.core import events
from sardinehold.core import snapshot as snapshots
from sardinehold.core import view as core_view

LEASE = 2.0
"""Seconds that a view may be trusted for acknowledging writes."""

SERVE_BOUND = 8.0
"""Seconds that a view may be trusted for anything."""

WATCH_WAIT = 0.4
"""Seconds that a watch waits for a change."""

GRANT_LIFETIME = 1.0
"""Seconds that granted tokens may be spent."""

SHARE_LIFETIME = 10.0
"""Seconds that a share of connections holds."""

TOKEN_KEY_BYTES = 32

Deliver = typing.Callable[[events.Event], None]


class Control:
    """Keeps the engine of one node in step with the fleet.

    :param platform: the platform's object API, by default over HTTP.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "settings",
        "recorder",
        "metrics",
        "platform",
        "incarnation",
        "snapshot",
        "builder",
        "view",
        "deliver",
        "budgets",
    )

    def __init__(
        self,
        settings: settings.ProxySettings,
        recorder: timeline.Recorder,
        metrics: metrics.Registry,
        platform: objects.ObjectClient | None = None,
    ) -> None:
        """Prepare; nothing is read before :meth:`run`."""
        self.settings = settings
        self.recorder = recorder
        self.metrics = metrics
        self.platform = platform
        self.incarnation = secrets.token_hex(4)
        self.snapshot = snapshots.Snapshot()
        self.builder = views.ViewBuilder()
        self.view: core_view.View | None = None
        self.deliver: Deliver | None = None
        self.budgets: dict[str, platform_client.TokenBucket] = {}

    async def run(self, deliver: Deliver) -> None:
        """Feed the engine until cancelled.

        :param deliver: takes the events for the engine.
        """
        self.deliver = deliver
        if self.platform is None:
            self.platform = platform_client.HttpObjectClient(
                self.settings.platform_url,
                self.settings.vm,
                self.settings.platform_tls,
            )
        while True:
            try:
                await self._follow_platform()
            except errors.PlatformError as error:
                self.metrics.count(f"platform_errors_{error.code}")

    def handle(self, action: actions.Action) -> None:
        """Take an action of the engine that is meant for the fleet."""
        if isinstance(action, actions.RequestTokens):
            self._grant_tokens(action)
        elif isinstance(action, actions.RequestConnections):
            self._grant_connections(action)

    async def _follow_platform(self) -> None:
        if not self.snapshot.version:
            await self._list()
        asked = anyio.current_time()
        since = self.snapshot.version
        try:
            changes = await self.platform.watch(snapshots.KINDS, since, WATCH_WAIT)
        except errors.WatchExpired:
            await self._list()
            return
        if self.snapshot.apply(changes, since):
            await self._publish()
        self._renew(asked)

    async def _list(self) -> None:
        asked = anyio.current_time()
        self.snapshot.replace(await self.platform.list(snapshots.KINDS))
        await self._publish()
        self._renew(asked)

    async def _publish(self) -> None:
        await self._bootstrap()
        view = self.builder.build(self.snapshot)
        if view is not None:
            self.view = view
            self.deliver(events.ViewChanged(view))

    def _renew(self, asked: float) -> None:
        if self.view is not None:
            self.deliver(events.LeaseRenewed(asked + LEASE, asked + SERVE_BOUND))

    async def _bootstrap(self) -> None:
        if self.snapshot.find("secret", "token-keys") is None:
            keys = {"keys": [secrets.token_hex(TOKEN_KEY_BYTES)]}
            await self._create("secret", "token-keys", keys)
        await self._join()
        await self._create_groups()

    async def _join(self) -> None:
        member = core_view.Member(
            self.settings.vm,
            self.settings.zone,
            self.settings.peer_listen,
            self.incarnation,
        )
        stored = self.snapshot.find("members", "current")
        held = views.parse_members(stored).get(member.vm)
        if held is not None and held.incarnation == self.incarnation:
            return
        value = {"members": {}} if stored is None else dict(stored.value)
        value["members"] = value["members"] | {member.vm: views.dump_member(member)}
        value["change_id"] = secrets.token_hex(8)
        if stored is None:
            await self._create("members", "current", value)
            return
        try:
            await self.platform.update("members", "current", value, stored.version)
        except errors.VersionConflict:
            self.metrics.count("platform_conflicts")

    async def _create_groups(self) -> None:
        view = self.builder.build(self.snapshot)
        if view is None or all(name in view.groups for name in view.document.groups):
            return
        listed = {
            group.name: group.value
            for group in (await self.platform.list_groups()).objects
        }
        for name, group in view.document.groups.items():
            if name in view.groups:
                continue
            state = _find_first_state(group, listed.get(name, {"endpoints": {}}))
            value = views.dump_group_state(state)
            await self._create("group-state", name, value)

    async def _create(self, kind: str, name: str, value: dict) -> None:
        try:
            await self.platform.create(kind, name, value)
        except errors.VersionConflict:
            self.metrics.count("platform_conflicts")

    def _grant_tokens(self, action: actions.RequestTokens) -> None:
        now = anyio.current_time()
        granted = 0
        while granted < action.tokens and self._take_token(action.team, now):
            granted += 1
        if granted:
            deadline = now + GRANT_LIFETIME
            self.deliver(events.TokensGranted(action.team, granted, deadline))

    def _take_token(self, team: str, now: float) -> bool:
        bucket = self.budgets.get(team)
        if bucket is None:
            rate, burst = self._find_rate(team)
            bucket = platform_client.TokenBucket(rate, burst, now)
            self.budgets[team] = bucket
        if bucket.reserve(now) > 0:
            bucket.tokens += 1
            return False
        return True

    def _find_rate(self, team: str) -> tuple[float, float]:
        configuration = self.view.document
        count = max(1, len(self.view.members))
        if team.startswith("route:"):
            route = configuration.routes[team.removeprefix("route:")]
            return route.rate / count, route.burst / count
        found = configuration.teams[team]
        return found.rate / count, found.burst / count

    def _grant_connections(self, action: actions.RequestConnections) -> None:
        count = max(1, len(self.view.members))
        for group in self.view.document.groups.values():
            if any(item.name == action.endpoint for item in group.endpoints):
                share = min(action.connections, group.connections // count)
                deadline = anyio.current_time() + SHARE_LIFETIME
                event = events.ConnectionsGranted(action.endpoint, share, deadline)
                self.deliver(event)
                return


def _find_first_state(group: typing.Any, listed: dict) -> core_view.GroupState:
    for name, endpoint in listed["endpoints"].items():
        if endpoint["role"] == "primary":
            return core_view.GroupState(
                group.name, endpoint["term"], name, change_id=secrets.token_hex(8)
            )
    first = group.endpoints[0].name
    return core_view.GroupState(group.name, 1, first, change_id=secrets.token_hex(8))
