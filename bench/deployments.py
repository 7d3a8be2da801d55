"""Starts and stops the processes of a scenario's deployment."""

import configparser
import pathlib
import sys
import tempfile
import time

import httpx

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "examples" / "local"))

import fleet as local_fleet  # noqa: E402
import processes  # noqa: E402

from sardinehold import keys  # noqa: E402
from sardinehold_bench import fleet as fleets  # noqa: E402
from sardinehold_bench import scenario as scenarios  # noqa: E402

BASELINE = str(pathlib.Path(__file__).parent / "baseline_proxy.py")
READY_SECONDS = 30.0
WARM_UP_SECONDS = 4.0
"""Time for members to join, roles to be assigned and connections to be opened."""

ENDPOINTS_PER_GROUP = 3


class Deployment:
    """All processes of a scenario, as a context manager.

    :param baseline: run the proxies with the baseline policies.
    """

    def __init__(self, scenario: scenarios.Scenario, baseline: bool) -> None:
        """Allocate ports and generate keys; nothing is started."""
        self.scenario = scenario
        self.baseline = baseline
        self._temporary = tempfile.TemporaryDirectory(prefix="sardinehold-bench-")
        self.folder = pathlib.Path(self._temporary.name)
        size = scenario.deployment
        count = 2 * size.proxies + 2 * ENDPOINTS_PER_GROUP * len(size.groups) + 1
        self._free_ports = local_fleet._find_free_ports(count)
        self.running: list[processes.Process] = []
        self.platform = self._allocate_address()
        self.addresses: dict[str, str] = {}
        self.controls: dict[str, str] = {}
        self.proxies: list[str] = []
        self.keys = {team.name: keys.generate_key() for team in scenario.teams}

    def __enter__(self) -> fleets.Fleet:
        """Start all processes and return their addresses."""
        try:
            return self._start()
        except BaseException:
            self.__exit__()
            raise

    def __exit__(self, *exception) -> None:
        """Stop all processes."""
        processes.stop_all(list(reversed(self.running)))
        self._temporary.cleanup()

    def _start(self) -> fleets.Fleet:
        self._start_process(
            "platform", [*local_fleet.STANDIN, "platform"], self.platform
        )
        for group in self.scenario.deployment.groups:
            self._start_group(group)
        self._wait_until(self._populate_platform)
        for number in range(self.scenario.deployment.proxies):
            self._start_proxy(number)
        time.sleep(WARM_UP_SECONDS)
        return fleets.Fleet(
            self.proxies,
            {name: key.text for name, key in self.keys.items()},
            {team.name: _format_route_name(team) for team in self.scenario.teams},
            {name: f"http://{address}" for name, address in self.controls.items()},
            f"http://{self.platform}",
        )

    def _allocate_address(self) -> str:
        return f"127.0.0.1:{self._free_ports.pop()}"

    def _start_process(self, name: str, arguments: list[str], listen: str = "") -> None:
        if listen:
            arguments = [*arguments, "--listen", listen]
        self.running.append(processes.Process(name, arguments, self.folder))

    def _start_group(self, group: str) -> None:
        size = self.scenario.deployment
        primary = ""
        for index in range(ENDPOINTS_PER_GROUP):
            name = f"{group}-{index + 1}"
            self.addresses[name] = self._allocate_address()
            self.controls[name] = self._allocate_address()
            role = ["--follow", primary] if primary else ["--primary"]
            primary = primary or self.addresses[name]
            lag = ":".join(str(lag) for lag in size.replica_lag)
            arguments = [*local_fleet.STANDIN, "database", "--name", name, *role]
            arguments += ["--group", group, "--control", self.controls[name]]
            arguments += ["--slots", str(size.slots), "--lag", lag]
            arguments += ["--connections", str(size.connections)]
            arguments += ["--connect-delay", str(size.connect_delay)]
            arguments += ["--latency", str(size.endpoint_latency)]
            self._start_process(name, arguments, self.addresses[name])

    def _wait_until(self, condition) -> None:
        deadline = time.monotonic() + READY_SECONDS
        while not condition():
            if time.monotonic() > deadline:
                logs = "\n".join(process.read_log() for process in self.running)
                raise local_fleet.NotReady(f"not ready; logs: {logs}")
            time.sleep(0.1)

    def _populate_platform(self) -> bool:
        with httpx.Client(trust_env=False) as client:
            try:
                for name, value in self._list_vms().items():
                    self._put(client, f"/admin/vms/{name}", value)
                for group, value in self._list_groups().items():
                    self._put(client, f"/admin/groups/{group}", value)
                headers = {"If-None-Match": "*", "X-Caller": "bench"}
                path = "/v1/objects/document/current"
                self._put(client, path, self._make_document(), headers)
            except httpx.TransportError:
                return False
        return True

    def _put(self, client, path: str, value: dict, headers: dict | None = None) -> None:
        url = f"http://{self.platform}{path}"
        client.put(url, json=value, headers=headers).raise_for_status()

    def _find_zone(self, index: int) -> str:
        zones = self.scenario.deployment.zones
        return zones[index % len(zones)]

    def _list_vms(self) -> dict[str, dict]:
        vms = {
            f"entry-{number + 1}": {"zone": self._find_zone(number), "purpose": "proxy"}
            for number in range(self.scenario.deployment.proxies)
        }
        for index, name in enumerate(self.addresses):
            vms[name] = {"zone": self._find_zone(index), "purpose": "endpoint"}
        return {name: {**value, "state": "live"} for name, value in vms.items()}

    def _list_endpoints(self, group: str) -> dict[str, dict]:
        found = {}
        for index in range(ENDPOINTS_PER_GROUP):
            name = f"{group}-{index + 1}"
            host, _, port = self.addresses[name].rpartition(":")
            zone = self._find_zone(index)
            found[name] = {"host": host, "port": int(port), "zone": zone}
        return found

    def _list_groups(self) -> dict[str, dict]:
        groups = {}
        for group in self.scenario.deployment.groups:
            endpoints = self._list_endpoints(group)
            for index, (name, value) in enumerate(endpoints.items()):
                role = "replica" if index else "primary"
                value.update(role=role, term=1, position=0, control=self.controls[name])
            groups[group] = {"endpoints": endpoints}
        return groups

    def _make_document(self) -> dict:
        size = self.scenario.deployment
        teams, routes = {}, {}
        for team in self.scenario.teams:
            record = self.keys[team.name].record
            key = {name: getattr(record, name) for name in ("prefix", "salt", "digest")}
            teams[team.name] = {"rate": team.rate, "burst": team.burst, "keys": [key]}
            route = {"group": team.group, "teams": [team.name]}
            if team.aged:
                route["max_age"] = self.scenario.max_age
            routes[_format_route_name(team)] = route
        groups = {
            group: {
                "endpoints": self._list_endpoints(group),
                "slots": size.slots,
                "connections": size.connections,
            }
            for group in size.groups
        }
        return {
            "version": 1,
            "author": "bench",
            "reason": "scenario",
            "teams": teams,
            "groups": groups,
            "routes": routes,
        }

    def _start_proxy(self, number: int) -> None:
        name = f"entry-{number + 1}"
        listen = self._allocate_address()
        parser = configparser.ConfigParser(interpolation=None)
        parser["vm"] = {"name": name, "zone": self._find_zone(number)}
        parser["proxy"] = {"listen": listen, "peer_listen": self._allocate_address()}
        parser["platform"] = {"url": f"http://{self.platform}"}
        parser["timeline"] = {"path": str(self.folder / f"{name}.events")}
        path = self.folder / f"{name}.ini"
        with path.open("w", encoding="utf-8") as file:
            parser.write(file)
        arguments = [*local_fleet.SARDINEHOLD, "proxy", "--settings", str(path)]
        if self.baseline:
            arguments = [BASELINE, str(path)]
        self._start_process(name, arguments)
        self.proxies.append(listen)


def _format_route_name(team: scenarios.TeamLoad) -> str:
    return f"{team.name}-route"
