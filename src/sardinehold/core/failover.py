"""Failover and switchover of one group, as a resumable sequence of steps.

Each step stores what the next one needs in the group's object, so that any
supervisor can resume from there: ``phase`` states whether writes are accepted,
and ``promoting`` names the endpoint, its log's end and the term of a promotion
before it is requested. A promotion that cannot be completed is followed by one with
a later term, never with the same term.
"""

from sardinehold import views
from sardinehold.core import agent_actions
from sardinehold.core import agent_events
from sardinehold.core import candidates
from sardinehold.core import charts
from sardinehold.core import fence
from sardinehold.core import fleet_invariants
from sardinehold.core import fleet_node as nodes
from sardinehold.core import relay_server as relay_servers
from sardinehold.core import view as core_view

STATUS_TIMEOUT = 0.5
"""Seconds that an endpoint may take to report its log status."""

PROMOTE_TIMEOUT = 1.0
"""Seconds that an endpoint may take to become primary."""

RETRY_DELAY = 0.2
"""Seconds between attempts while no replica can be promoted."""

DRAIN_TIMEOUT = 2.0
"""Seconds that a switchover may hold back writes before it is abandoned."""

CATCH_UP_INTERVAL = 0.01
"""Seconds between checks of a replica that is catching up."""

IDLE_INTERVAL = 0.5
"""Seconds between checks of a group that is serving."""

FENCE_INTERVAL = 0.01
"""Seconds between checks of a fence."""

PROMOTE_ATTEMPTS = 2
"""Promotion attempts on one endpoint before another one is chosen."""

PROMOTION_LIMIT = 3
"""Promotions within ``PROMOTION_WINDOW`` that suspend automatic failover."""

PROMOTION_WINDOW = 60.0
"""Seconds over which promotions of a group are counted."""

STATUS_SQL = "SELECT endpoint, role, term, received, applied FROM cluster_log_status"


class Procedure:
    """The failover procedure of one group.

    :param name: name of the group.
    :param state: current state in the chart ``failover``.
    :param pending_followers: endpoints that must be pointed to the current primary.
    :param promotions: times of recent promotions.
    :param demoted: times at which endpoints were last replaced as primary.
    """

    __slots__ = (
        "node",
        "relay_server",
        "name",
        "state",
        "pending_followers",
        "promotions",
        "demoted",
        "_chart",
        "_version",
        "_fence",
        "_busy",
        "_due",
        "_statuses",
        "_pending",
        "_round",
        "_failures",
        "_draining_since",
        "_offset",
        "_stopped_at",
    )

    def __init__(
        self, node: nodes.Node, relay_server: relay_servers.RelayServer, name: str
    ) -> None:
        """Initialize without state; it is loaded from the group's object."""
        self.node = node
        self.relay_server = relay_server
        self.name = name
        self.state = "serving"
        self.pending_followers: set[str] = set()
        self.promotions: list[float] = []
        self.demoted: dict[str, float] = {}
        self._chart = charts.load_chart("failover")
        self._version = 0
        self._fence: fence.Fence | None = None
        self._busy = False
        self._due = 0.0
        self._statuses: dict[str, candidates.LogStatus] = {}
        self._pending: set[str] = set()
        self._round = 0
        self._failures = 0
        self._draining_since = 0.0
        self._offset = 0
        self._stopped_at: float | None = None

    def poll(self, now: float, suspected: bool) -> float:
        """Run the next step if it is due and return the time of the next poll."""
        stored = self.node.snapshot.find("group-state", self.name)
        if stored is None or self.name not in self.node.view.document.groups:
            return now + 1.0
        if stored.version != self._version:
            self._load_object(now, stored.version)
        if self._busy or now < self._due:
            return self._due if self._due > now else now + 0.05
        return getattr(self, f"_step_{self.state}")(now, suspected)

    @property
    def group(self) -> core_view.GroupState:
        """State of the group in the view."""
        return self.node.view.groups[self.name]

    def _load_object(self, now: float, version: int) -> None:
        """Restart from the stored phase after the group's object has changed."""
        self._version = version
        self._busy = False
        self._due = 0.0
        self._statuses = {}
        self._pending = set()
        self._round += 1
        self._failures = 0
        phase = self.group.phase
        self._record_phase(now, phase)
        if phase is core_view.Phase.SEALED:
            if self._fence is None:
                self._fence = fence.Fence(version)
            self.state = "fencing"
            return
        self._fence = None
        self.state = phase.value
        if phase is core_view.Phase.DRAINING:
            self._draining_since = now

    def _record_phase(self, now: float, phase: core_view.Phase) -> None:
        """Record when a group stops accepting writes and when it resumes."""
        fields = {"group": self.name, "term": self.group.term}
        if phase is core_view.Phase.SEALED and self._stopped_at is None:
            self._stopped_at = now
            self.node.emit(agent_actions.Record("failover_sealed", **fields))
        elif phase is core_view.Phase.SERVING and self._stopped_at is not None:
            gap = now - self._stopped_at
            self._stopped_at = None
            self.node.emit(
                agent_actions.Record(
                    "failover_published",
                    primary=self.group.primary,
                    gap=round(gap, 4),
                    **fields,
                )
            )

    def _transition(self, event: str, **fields: str | int | float | bool) -> None:
        self.state = self._chart.follow(self.state, event)
        self.node.emit(
            agent_actions.Record(
                f"failover_{event}", group=self.name, term=self.group.term, **fields
            )
        )

    def _step_serving(self, now: float, suspected: bool) -> float:
        if suspected and self._may_promote(now):
            self._transition("suspect", primary=self.group.primary)
            self._write_phase(core_view.Phase.SEALED)
        elif self._may_hand_over():
            self._transition("hand_over")
            self._write_phase(core_view.Phase.DRAINING)
        return now + IDLE_INTERVAL

    def _may_hand_over(self) -> bool:
        """Return whether a switchover is requested and no removed node holds a lease.

        Such a node is not asked whether it is quiet, and the logs are compared
        before its lease has expired.
        """
        if self.node.record.removed:
            return False
        return self.node.snapshot.find("handover", self.name) is not None

    def _step_draining(self, now: float, suspected: bool) -> float:
        if suspected:
            self._transition("suspect", primary=self.group.primary)
            self._write_phase(core_view.Phase.SEALED)
        elif self._is_abandoned(now):
            self._transition("abandon")
            self._delete_handover()
            self._write_phase(core_view.Phase.SERVING)
        elif self._is_quiesced(now):
            self._check_catch_up(now)
        return now + CATCH_UP_INTERVAL

    def _is_abandoned(self, now: float) -> bool:
        if self.node.snapshot.find("handover", self.name) is None:
            return True
        return now > self._draining_since + DRAIN_TIMEOUT

    def _is_quiesced(self, now: float) -> bool:
        if self.node.record.removed:
            return False
        members = set(self.node.record.members)
        return members <= self.relay_server.list_quiesced(now, self.name)

    def _check_catch_up(self, now: float) -> None:
        target = self._find_target()
        if candidates.has_caught_up(self._statuses, self.group.primary, target):
            self._transition("caught_up", target=target)
            received = self._statuses[target].received
            intent = self._make_intent(target, received)
            self._write_phase(core_view.Phase.SEALED, intent)
        elif not self._pending & {self.group.primary, target or self.group.primary}:
            self._query_statuses(now)

    def _find_target(self) -> str:
        stored = self.node.snapshot.find("handover", self.name)
        wanted = "" if stored is None else stored.value.get("target", "")
        if wanted and wanted != self.group.primary:
            return wanted
        return candidates.choose_replica(self.group, self._statuses)

    def _step_sealing(self, now: float, suspected: bool) -> float:
        """Return to the stored phase: the view did not show the seal in time."""
        self._transition("lost")
        self.state = self.group.phase.value
        return now

    def _step_fencing(self, now: float, suspected: bool) -> float:
        acknowledged = self.relay_server.collect_acknowledged(now)
        if not self._fence.is_passed(now, self.node.record, acknowledged):
            return now + FENCE_INTERVAL
        self._transition("fenced")
        return self._step_choosing(now, suspected)

    def _step_choosing(self, now: float, suspected: bool) -> float:
        intent = self._read_intent()
        if intent is not None and self._failures < PROMOTE_ATTEMPTS:
            self._transition("chosen", target=intent["endpoint"])
            return self._step_promoting(now, suspected)
        if not self._statuses and not self._pending:
            self._query_statuses(now)
        if self._pending - {self.group.primary}:
            return now + CATCH_UP_INTERVAL
        self._choose(now, intent)
        return now + CATCH_UP_INTERVAL

    def _choose(self, now: float, intent: dict | None) -> None:
        if intent is not None and self._has_taken_effect(intent):
            self._failures = 0
            return
        target = candidates.choose_replica(
            self.group,
            self._statuses,
            self._list_avoided(now, intent),
            intent["term"] if intent is not None else 0,
        )
        if target:
            received = self._statuses[target].received
            new = self._make_intent(target, received)
            self._write_phase(core_view.Phase.SEALED, new)
        elif not self._pending:
            self._handle_no_candidate(now, intent)

    def _handle_no_candidate(self, now: float, intent: dict | None) -> None:
        """Resume with the old primary, or leave the group sealed and retry later."""
        if intent is None and candidates.can_resume(self.group, self._statuses):
            self._transition("undo")
            self._write_phase(core_view.Phase.SERVING)
            return
        self.node.emit(agent_actions.Count("failover_without_replica"))
        self._statuses = {}
        self._failures = 0
        self._due = now + RETRY_DELAY

    def _has_taken_effect(self, intent: dict) -> bool:
        status = self._statuses.get(intent["endpoint"])
        if status is None or status.role != "primary":
            return False
        if status.received < intent.get("received", 0):
            return False
        return status.term == intent["term"]

    def _list_avoided(self, now: float, intent: dict | None) -> frozenset[str]:
        since = now - PROMOTION_WINDOW
        avoided = {name for name, time in self.demoted.items() if time > since}
        if intent is not None:
            avoided.add(intent["endpoint"])
        return frozenset(avoided)

    def _step_promoting(self, now: float, suspected: bool) -> float:
        intent = self._read_intent()
        acknowledged = self.relay_server.collect_acknowledged(now)
        fenced = self._fence.is_passed(now, self.node.record, acknowledged)
        fleet_invariants.promotion_follows_fence(self.group.phase, fenced)
        self._busy = True
        sql = f"SELECT cluster_promote({intent['term']})"
        deadline = now + PROMOTE_TIMEOUT
        version = self._version
        call_id = self.node.start_call(
            lambda later, event: self._finish_promotion(later, event, version, intent)
        )
        self.node.emit(
            agent_actions.QueryEndpoint(
                call_id, self.name, intent["endpoint"], sql, deadline
            )
        )
        return deadline

    def _finish_promotion(
        self, now: float, event: agent_events.AgentEvent, version: int, intent: dict
    ) -> None:
        if version != self._version:
            return
        self._busy = False
        if isinstance(event, agent_events.EndpointAnswered) and event.rows:
            self._offset = int(event.rows[0][0])
            # An endpoint that was replaced since it was chosen has a shorter log.
            if self._offset >= intent.get("received", 0):
                self._transition("promoted", offset=self._offset)
                return
            self._failures = PROMOTE_ATTEMPTS
        self._failures += 1
        if self._failures >= PROMOTE_ATTEMPTS:
            self._due = now + RETRY_DELAY
        self._statuses = {}
        self._transition("failed")

    def _step_publishing(self, now: float, suspected: bool) -> float:
        intent = self._read_intent()
        state = self.group
        start = core_view.TermStart(intent["term"], self._offset)
        new = core_view.GroupState(
            self.name,
            intent["term"],
            intent["endpoint"],
            core_view.Phase.SERVING,
            (*state.history, start),
            self.node.make_change_id(),
        )
        fleet_invariants.term_grows_with_each_primary(state, new)
        self.promotions.append(now)
        self.demoted[state.primary] = now
        self.demoted.pop(new.primary, None)
        self.pending_followers = self._list_endpoints() - {new.primary}
        self._delete_handover()
        self._write(views.dump_group_state(new))
        self._due = now + RETRY_DELAY
        return self._due

    def _may_promote(self, now: float) -> bool:
        since = now - PROMOTION_WINDOW
        self.promotions = [time for time in self.promotions if time > since]
        return len(self.promotions) < PROMOTION_LIMIT

    def _list_endpoints(self) -> set[str]:
        group = self.node.view.document.groups[self.name]
        return {endpoint.name for endpoint in group.endpoints}

    def _read_intent(self) -> dict | None:
        stored = self.node.snapshot.find("group-state", self.name)
        return stored.value.get("promoting")

    def _make_intent(self, target: str, received: int) -> dict:
        """Return the promotion to store.

        :param received: end of the target's log when it was chosen.
        """
        held = self._read_intent()
        term = max(self.group.term, held["term"] if held else 0) + 1
        return {"endpoint": target, "term": term, "received": received}

    def _query_statuses(self, now: float) -> None:
        self._statuses = {}
        self._pending = self._list_endpoints()
        self._round += 1
        round_number = self._round
        for name in sorted(self._pending):
            call_id = self.node.start_call(
                lambda later, event, name=name: self._handle_status(
                    event, name, round_number
                )
            )
            deadline = now + STATUS_TIMEOUT
            self.node.emit(
                agent_actions.QueryEndpoint(
                    call_id, self.name, name, STATUS_SQL, deadline
                )
            )

    def _handle_status(
        self, event: agent_events.AgentEvent, name: str, round_number: int
    ) -> None:
        if round_number != self._round:
            return
        self._pending.discard(name)
        if not isinstance(event, agent_events.EndpointAnswered):
            return
        status = candidates.parse_status(event.rows)
        if status is not None:
            self._statuses[name] = status

    def _write_phase(self, phase: core_view.Phase, intent: dict | None = None) -> None:
        state = self.group
        new = core_view.GroupState(
            self.name,
            state.term,
            state.primary,
            phase,
            state.history,
            self.node.make_change_id(),
        )
        value = views.dump_group_state(new)
        if intent is not None:
            value["promoting"] = intent
        self._write(value)

    def _write(self, value: dict) -> None:
        self._busy = True
        version = self._version
        self.node.write(
            "group-state",
            self.name,
            value,
            version,
            lambda now, event: self._finish_write(now, event, version),
        )

    def _finish_write(
        self, now: float, event: agent_events.AgentEvent, version: int
    ) -> None:
        """Allow the next step after a delay if the view does not show the change.

        If only the answer was lost, the change arrives with the view. Otherwise
        it is written again against the same version, which at most one of the
        two writes can match.
        """
        if version == self._version:
            self._busy = False
            self._due = now + RETRY_DELAY

    def _delete_handover(self) -> None:
        stored = self.node.snapshot.find("handover", self.name)
        if stored is not None:
            self.node.write(
                "handover", self.name, None, stored.version, lambda now, event: None
            )
