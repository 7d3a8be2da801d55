"""Leader election: one node at a time acts for the fleet, by compare-and-swap.

The leader performs changes of primary and allocates the teams' tokens. It renews its
object in the store and acts only while its last renewal is younger than ``LEASE``.
Another node takes over only when the object has not changed for longer. A leader that
shuts down resigns, and is replaced immediately.

The object holds the era of the store in which it was written. After a restore of the
store, or over a write whose condition was meant for an earlier era, it does not tell
who leads: a lease that was lost with later changes may still run. It then counts as
changed when it is first read, and names nobody who has stopped.
"""

from sardinehold import objects

NAME = "leader"
"""Name of the leader's object."""

RENEW_INTERVAL = 0.6
"""Seconds between renewals: two may fail before the lease expires."""

MIN_RENEW_INTERVAL = 0.15
"""Minimum seconds between two renewals: two writes of a slow store."""

LEASE = 1.6
"""Seconds after a renewal was sent during which the leader may act."""

TAKEOVER_AFTER = 2.1
"""Seconds without a change after which another node takes over; longer than ``LEASE``
by more than a suspended call can hide."""

OUTAGE_MARGIN = 0.2
"""Seconds before ``TAKEOVER_AFTER`` from which a leader without the store must assume
that a node that reached the store has taken over."""

RESIGN_AFTER = 1.0
"""Seconds without a renewal after which a leader resigns in favour of nodes that reach
the store: one renewal and its retry have failed."""

TAKEOVER_JITTER = 0.5
"""Seconds over which candidates spread their takeovers, so that not all write at
once."""

RETRY_DELAY = 0.2
"""Seconds before a failed write is retried."""


class Leadership:
    """Decides when this node acquires, renews or resigns leadership.

    :param node: name of this node.
    :param incarnation: identifier of this process.
    :param spread: jitter fraction from 0 to 1 that differs between nodes.
    :param predecessor_until: latest time at which the previous leader had stopped.
    :param has_resigned: whether the previous leader announced that it stopped.
    :param is_observed: whether the object was read since the store was restored.
    :param reserves: tokens by team that the stored object reserves.
    """

    __slots__ = (
        "node",
        "incarnation",
        "spread",
        "version",
        "acquired_version",
        "holder",
        "holder_incarnation",
        "leads_until",
        "renewed_at",
        "is_observed",
        "predecessor_until",
        "has_resigned",
        "reserves",
        "_reserves_version",
        "_names_leader",
        "_changed_at",
        "_next_write",
        "_heartbeats",
    )

    def __init__(self, node: str, incarnation: str, spread: float) -> None:
        """Initialize without a known leader."""
        self.node = node
        self.incarnation = incarnation
        self.spread = spread
        self.version = 0
        self.acquired_version = 0
        self.holder = ""
        self.holder_incarnation = ""
        self.leads_until = float("-inf")
        self.renewed_at = float("-inf")
        self.is_observed = False
        self.predecessor_until = 0.0
        self.has_resigned = False
        self.reserves: dict[str, int] = {}
        self._reserves_version = 0
        self._names_leader = False
        self._changed_at = 0.0
        self._next_write = 0.0
        self._heartbeats = 0

    def begin_era(self, now: float) -> None:
        """Process a restore of the store, which may have lost the leader's object.

        A leader within its lease goes on and writes the object again: every other node
        waits for longer than the lease. One whose lease has run out cannot know whether
        another took over before the restore.
        """
        self.is_observed = False
        self._changed_at = now
        self.has_resigned = False
        if self.leads(now):
            self._next_write = now
        else:
            self._forget_leader(now)

    def _forget_leader(self, now: float) -> None:
        """Assume that an unknown node has just renewed its lease."""
        if self.is_own():
            self.holder = self.holder_incarnation = ""
        self._names_leader = False
        self.has_resigned = False
        self.predecessor_until = max(self.predecessor_until, now + LEASE)

    def observe(
        self, stored: objects.StoredObject | None, now: float, era: int = 0
    ) -> None:
        """Process the leader's object as stored; None if there is none.

        :param era: era of the store in which it was read.
        """
        if not self.is_observed:
            self.is_observed = True
            self._changed_at = now
        if stored is None:
            version = objects.make_version(era, 0)
            if version != self.version:
                self._observe_outdated(version, {}, now)
            return
        value = stored.value
        if not _is_readable(value):
            if stored.version > self.version:
                self._observe_outdated(stored.version, {}, now)
            return
        is_current = value.get("era", 0) == objects.find_era(stored.version)
        if is_current and stored.version >= self.version:
            self._note_reserves(value.get("reserves", {}), stored.version)
        if stored.version <= self.version:
            return
        if not is_current:
            self._observe_outdated(stored.version, value, now)
            return
        self.version = stored.version
        self.holder = value["node"]
        self.holder_incarnation = value["incarnation"]
        self._names_leader = True
        self._changed_at = now
        if self.is_own():
            # A watch may deliver this node's own write before it is acknowledged.
            return
        self.leads_until = float("-inf")
        self.has_resigned = not self.holder
        has_stopped = self.has_resigned or self._is_predecessor()
        self.predecessor_until = now if has_stopped else now + LEASE

    def _observe_outdated(self, version: int, value: dict, now: float) -> None:
        """Process an object that was not written for the present era."""
        self.version = version
        self._changed_at = now
        if self.leads(now):
            self._reserves_version = version
            return
        self._note_reserves({}, version)
        self._forget_leader(now)
        if not self.holder and value.get("incarnation") != self.incarnation:
            self.holder = str(value.get("node", ""))
            self.holder_incarnation = str(value.get("incarnation", ""))

    def _note_reserves(self, reserves: dict[str, int], version: int) -> None:
        self.reserves = {team: int(tokens) for team, tokens in reserves.items()}
        self._reserves_version = version

    def _is_predecessor(self) -> bool:
        """Return whether an earlier process of this node led; it has ended."""
        is_namesake = self.holder == self.node and not self.is_own()
        return is_namesake and self._names_leader

    def has_current_reserves(self) -> bool:
        """Return whether the reserves are those of the newest known object."""
        return self._reserves_version == self.version

    def find_exclusive_until(
        self, now: float, contacts: list[tuple[float, float]] | None
    ) -> float | None:
        """Return the time up to which no other node can have taken over.

        While the store is unreachable for every member, none can: the leader continues
        on the basis of their reports, without changing any primary.

        :param contacts: of each member, its latest contact with the store and a time
            before it reported that, both on this node's clock; None if a member has not
            reported recently.
        :returns: None if another node may lead by now.
        """
        if self.leads(now):
            return now
        if not contacts or not self.is_own():
            return None
        limit = self.renewed_at + TAKEOVER_AFTER - OUTAGE_MARGIN
        if any(contact >= limit for contact, _ in contacts):
            return None
        return min(reported_at for _, reported_at in contacts)

    def should_resign(self, now: float, contacts: list[tuple[float, float]]) -> bool:
        """Return whether to resign in favour of members that reach the store."""
        if not self.leads(now) or now - self.renewed_at < RESIGN_AFTER:
            return False
        return any(
            contact > self.renewed_at + RENEW_INTERVAL for contact, _ in contacts
        )

    def is_renewal_overdue(self, now: float) -> bool:
        """Return whether this leader's renewal is overdue."""
        return self.leads(now) and now - self.renewed_at > RENEW_INTERVAL + RETRY_DELAY

    def accept_resignation(self, incarnation: str, version: int, now: float) -> None:
        """Process the resignation of the leader.

        :param version: newest version of the leader's object known to the leader.
        """
        if incarnation == self.holder_incarnation:
            self.version = max(self.version, version)
            self.predecessor_until = now
            self.has_resigned = True
            self.holder = self.holder_incarnation = ""
            self._next_write = now + self.spread * TAKEOVER_JITTER / 2

    def accept_announcement(
        self, node: str, incarnation: str, version: int, now: float
    ) -> None:
        """Process a leader's announcement: the store may not answer this node.

        :param version: version of the leader's object when it took over.
        """
        if version <= self.version or self.leads(now):
            return
        self.version = version
        self.holder, self.holder_incarnation = node, incarnation
        self._names_leader = True
        self.has_resigned = False
        self._changed_at = now

    def note_heartbeat(self, incarnation: str, version: int, heard_at: float) -> None:
        """Process a leader's response as a sign that it renews its object.

        :param version: version of its object, so that reading it later does not count
            as a new sign.
        :param heard_at: when the response arrived, at this node or at an aggregator.
        """
        if incarnation == self.holder_incarnation and not self.is_own():
            self.version = max(self.version, version)
            self._changed_at = max(self._changed_at, heard_at)
            self.predecessor_until = max(self.predecessor_until, heard_at + LEASE)

    def leads(self, now: float) -> bool:
        """Return whether this node may act as the leader."""
        return now < self.leads_until

    def find_next_write(self, now: float) -> float:
        """Return when to write the object, a time in the past for immediately."""
        if not self.is_observed:
            return float("inf")
        if self.is_own():
            return self._next_write
        if self.has_resigned and not self.holder:
            # There is no leader; with jitter, one of many nodes should write first.
            due = self._changed_at + self.spread * TAKEOVER_JITTER / 2
            return max(due, self._next_write)
        due = self._changed_at + TAKEOVER_AFTER + self.spread * TAKEOVER_JITTER
        if self._is_predecessor():
            due = self._changed_at
        return max(due, self._next_write)

    def renew_soon(self, now: float) -> None:
        """Schedule an early renewal: the content of the object should change."""
        soonest = self.renewed_at + MIN_RENEW_INTERVAL
        if self.leads(now):
            self._next_write = min(self._next_write, max(now, soonest))

    def note_written(
        self, sent_at: float, version: int, reserves: dict[str, int]
    ) -> None:
        """Record that a write sent at ``sent_at`` made or kept this node the leader."""
        if not self.leads(sent_at) or not self.is_acquired():
            self.acquired_version = version
        self.version = version
        self._names_leader = True
        self._note_reserves(reserves, version)
        self.holder, self.holder_incarnation = self.node, self.incarnation
        self.renewed_at = sent_at
        self.leads_until = sent_at + LEASE
        self._next_write = sent_at + RENEW_INTERVAL

    def is_acquired(self) -> bool:
        """Return whether this node took the lead in the era of the newest object."""
        return objects.find_era(self.acquired_version) == objects.find_era(self.version)

    def note_failed(self, now: float) -> None:
        """Record that a write failed or met another version."""
        self._next_write = now + RETRY_DELAY * (1.0 + self.spread)

    def resign(self) -> None:
        """Stop acting as the leader immediately."""
        self.leads_until = float("-inf")
        self.holder = self.holder_incarnation = ""
        self._next_write = self.renewed_at + TAKEOVER_AFTER

    def make_value(self, reserves: dict[str, int]) -> dict:
        """Return the object's value that makes this node the leader.

        :param reserves: tokens by team that are reserved for a successor.
        """
        # The store ignores a write that does not change the value.
        self._heartbeats += 1
        return {
            "node": self.node,
            "incarnation": self.incarnation,
            "beat": self._heartbeats,
            "reserves": reserves,
            "era": objects.find_era(self.version),
        }

    def make_resignation(self, reserves: dict[str, int]) -> dict:
        """Return the object's value that lets any node take over."""
        return {
            "node": "",
            "incarnation": "",
            "reserves": reserves,
            "era": objects.find_era(self.version),
        }

    def is_own(self) -> bool:
        """Return whether the object names this process as the leader."""
        return self.holder == self.node and self.holder_incarnation == self.incarnation


def _is_readable(value: object) -> bool:
    """Return whether a leader's object has the form that nodes write."""
    if not isinstance(value, dict):
        return False
    reserves = value.get("reserves", {})
    return (
        isinstance(value.get("node"), str)
        and isinstance(value.get("incarnation"), str)
        and isinstance(value.get("era", 0), int)
        and isinstance(reserves, dict)
        and all(isinstance(tokens, int) for tokens in reserves.values())
    )
