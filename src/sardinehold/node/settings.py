"""Settings of a node, independent of the file format."""

from sardinehold.node import placement_policies


class Settings:
    """Settings that a node reads at its start.

    :param name: name of the VM, unique in the fleet.
    :param zone: availability zone of the VM.
    :param zones: region of each availability zone.
    :param listen: host and port for callers.
    :param ready_listen: host and port of the readiness probe.
    :param peer_listen: host and port for datagrams and links of other nodes.
    :param metrics_port: port of the metrics page.
    :param store: host and port of the platform's store.
    :param duty: host and port of the service that carries out promotions.
    :param grace: seconds from the stop signal until the process is killed.
    :param endpoint_drain: seconds during which a draining endpoint may get new work.
    :param quota_window: length in seconds of the window over which rates are checked.
    :param quota_overage: fraction by which a team may exceed its rate.
    :param quota_slack: operations by which a team may exceed its rate in addition.
    :param cold_overage: factor by which the requests to a cold endpoint may exceed its
        rate in any second.
    :param cold_slack: requests by which they may exceed it in addition.
    :param weight: share of the fleet's work for this VM relative to others, above 0;
        the fraction of a core that it has, or less if its network link is slow.
    :param evacuation_limit: seconds after which no statement may reach an evacuated
        availability zone; None if zones are not evacuated here.
    :param placement: name of the policy that places reads, a key of
        :data:`sardinehold.node.placement_policies.POLICIES`.
    :param memory_mb: memory of the VM in MB, None if it is not limited.
    :param max_fds: descriptors of the VM, None if they are not limited.
    """

    __slots__ = (
        "name",
        "zone",
        "zones",
        "listen",
        "ready_listen",
        "peer_listen",
        "metrics_port",
        "store",
        "duty",
        "grace",
        "endpoint_drain",
        "quota_window",
        "quota_overage",
        "quota_slack",
        "weight",
        "evacuation_limit",
        "placement",
        "cold_overage",
        "cold_slack",
        "memory_mb",
        "max_fds",
    )

    def __init__(
        self,
        name: str,
        zone: str,
        zones: dict[str, str],
        listen: tuple[str, int],
        ready_listen: tuple[str, int],
        peer_listen: tuple[str, int],
        metrics_port: int,
        store: tuple[str, int],
        duty: tuple[str, int],
        grace: float = 6.0,
        endpoint_drain: float = 7.0,
        quota_window: float = 5.0,
        quota_overage: float = 0.1,
        quota_slack: float = 20.0,
        weight: float = 1.0,
        evacuation_limit: float | None = None,
        placement: str = placement_policies.DEFAULT,
        cold_overage: float = 1.5,
        cold_slack: float = 5.0,
        memory_mb: float | None = None,
        max_fds: float | None = None,
    ) -> None:
        """Store the settings."""
        self.name = name
        self.zone = zone
        self.zones = zones
        self.listen = listen
        self.ready_listen = ready_listen
        self.peer_listen = peer_listen
        self.metrics_port = metrics_port
        self.store = store
        self.duty = duty
        self.grace = grace
        self.endpoint_drain = endpoint_drain
        self.quota_window = quota_window
        self.quota_overage = quota_overage
        self.quota_slack = quota_slack
        self.weight = weight
        self.evacuation_limit = evacuation_limit
        self.placement = placement
        self.cold_overage = cold_overage
        self.cold_slack = cold_slack
        self.memory_mb = memory_mb
        self.max_fds = max_fds

    def update_limits(self, newer: "Settings") -> None:
        """Apply the settings that may change at runtime: limits, but no addresses."""
        self.grace = newer.grace
        self.endpoint_drain = newer.endpoint_drain
        self.quota_window = newer.quota_window
        self.quota_overage = newer.quota_overage
        self.quota_slack = newer.quota_slack
        if self.evacuation_limit is not None and newer.evacuation_limit is not None:
            # Whether zones are evacuated at all is decided at the start.
            self.evacuation_limit = newer.evacuation_limit
        self.cold_overage = newer.cold_overage
        self.cold_slack = newer.cold_slack

    def find_region(self, zone: str) -> str | None:
        """Return the region of an availability zone, None if it is unknown."""
        return self.zones.get(zone)

    def measure_distance(self, zone: str) -> int:
        """Return 0 for this node's zone, 1 for its region, 2 for other regions."""
        return self.compare_zones(self.zone, zone)

    def compare_zones(self, one: str, other: str) -> int:
        """Return 0 for the same zone, 1 for zones of one region, 2 for others."""
        if one == other:
            return 0
        region = self.zones.get(one)
        return 1 if region is not None and self.zones.get(other) == region else 2
