"""A local fleet: platform, nine endpoints, three proxies and the console."""

import configparser
import json
import pathlib
import random
import socket
import tempfile
import time

import httpx
import processes

from sardinehold import keys

FOLDER = pathlib.Path(__file__).parent
STANDIN = ["-m", "sardinehold_standins.cli"]
SARDINEHOLD = ["-m", "sardinehold.cli"]
CONTROL_OFFSET = 100
"""Offset of an endpoint's control port from its port."""

FREE_PORTS = range(18_000, 30_000)
"""Range from which free ports are allocated."""

READY_SECONDS = 20.0
"""Timeout for the start of each part of the fleet."""

CONNECT_DELAY = "0.012"
"""Time in seconds to open a connection to an endpoint."""


class NotReady(Exception):
    """The fleet did not become ready."""


class Fleet:
    """All processes of a local fleet.

    :param free_ports: allocate free ports instead of using those of the INI files.
    :param lag: range of the replicas' lag in seconds, as ``LEAST:MOST``.
    :param with_console: also start the console.
    """

    def __init__(
        self, free_ports: bool, lag: str = "0.02:0.2", with_console: bool = True
    ) -> None:
        """Read the document and allocate ports; nothing is started."""
        self._temporary = tempfile.TemporaryDirectory(prefix="sardinehold-")
        self.folder = pathlib.Path(self._temporary.name)
        self.lag = lag
        self.document = json.loads((FOLDER / "document.json").read_text("utf-8"))
        self.keys: dict[str, str] = {}
        self.running: dict[str, processes.Process] = {}
        self.proxies: dict[str, str] = {}
        self.controls: dict[str, str] = {}
        self.platform = "127.0.0.1:6490"
        self.console = ""
        self._free_ports = _find_free_ports(40) if free_ports else None
        self._with_console = with_console
        self._settings: dict[str, pathlib.Path] = {}
        self.http = httpx.Client(timeout=5.0, trust_env=False)

    def __enter__(self) -> "Fleet":
        """Start all processes."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exception) -> None:
        """Stop all processes."""
        self.stop()

    def start(self) -> None:
        """Start all processes and wait until the proxies serve."""
        self._choose_ports()
        self._make_keys()
        self._start_process(
            "platform", [*STANDIN, "platform", "--listen", self.platform]
        )
        for group, value in self.document["groups"].items():
            self._start_group(group, value["endpoints"])
        self._wait_until(self._populate_platform, "the platform")
        for name in self.proxies:
            self.start_proxy(name)
        if self._with_console:
            arguments = ["console", "--settings", str(self._settings["console"])]
            self._start_process("console", [*SARDINEHOLD, *arguments])
        for name in self.proxies:
            self._wait_until(lambda name=name: self._try_proxy(name), name)

    def stop(self) -> None:
        """Stop all processes, proxies first."""
        first = [p for name, p in self.running.items() if name in self.proxies]
        rest = [p for name, p in self.running.items() if name not in self.proxies]
        processes.stop_all(first)
        processes.stop_all(rest)
        self.running.clear()
        self.http.close()
        self._temporary.cleanup()

    def start_proxy(self, name: str) -> None:
        """Start or restart a proxy."""
        arguments = ["proxy", "--settings", str(self._settings[name])]
        self._start_process(name, [*SARDINEHOLD, *arguments])

    def change_faults(self, endpoint: str, **switches) -> None:
        """Set fault switches of an endpoint."""
        url = f"http://{self.controls[endpoint]}/faults"
        self.http.put(url, json=switches).raise_for_status()

    def silence(self, endpoint: str, share: float = 1.0) -> None:
        """Silence a share of the open connections to an endpoint."""
        url = f"http://{self.controls[endpoint]}/silence"
        self.http.post(url, params={"share": share}).raise_for_status()

    def change_platform_faults(self, **switches) -> None:
        """Set fault switches of the platform."""
        url = f"http://{self.platform}/faults"
        self.http.put(url, json=switches).raise_for_status()

    def read_object(self, kind: str, name: str) -> dict:
        """Read an object of the platform."""
        url = f"http://{self.platform}/v1/objects/{kind}/{name}"
        answer = self.http.get(url, headers={"X-Caller": "launcher"})
        answer.raise_for_status()
        return answer.json()

    def read_primary(self, group: str) -> str:
        """Return the current primary of a group, as stored on the platform."""
        return self.read_object("group-state", group)["value"]["primary"]

    def read_dump(self, endpoint: str) -> dict:
        """Return the tables that an endpoint stores."""
        url = f"http://{self.controls[endpoint]}/dump"
        return self.http.get(url, timeout=60.0).json()

    def withdraw_key(self, team: str) -> None:
        """Withdraw the keys of a team with a new version of the document."""
        stored = self.read_object("document", "current")
        value = stored["value"]
        value["version"] += 1
        value["reason"] = f"withdraw the key of {team}"
        for key in value["teams"][team]["keys"]:
            key["withdrawn"] = True
        self.http.put(
            f"http://{self.platform}/v1/objects/document/current",
            json=value,
            headers={"If-Match": f'"{stored["version"]}"', "X-Caller": "launcher"},
        ).raise_for_status()

    def _start_process(self, name: str, arguments: list[str]) -> None:
        """Start a process and register it under a name."""
        self.running[name] = processes.Process(name, arguments, self.folder)

    def _choose_ports(self) -> None:
        """Write the settings files, with free ports if requested."""
        self.platform = self._allocate_address(self.platform)
        for number in (1, 2, 3):
            parser = self._copy_settings(f"proxy-{number}", f"entry-{number}")
            self.proxies[f"entry-{number}"] = parser["proxy"]["listen"]
        parser = self._copy_settings("console", "console")
        self.console = parser["console"]["listen"]
        for group in self.document["groups"].values():
            for name, endpoint in group["endpoints"].items():
                address = self._allocate_address(f"127.0.0.1:{endpoint['port']}")
                endpoint["port"] = int(address.split(":")[1])
                control = endpoint["port"] + CONTROL_OFFSET
                self.controls[name] = self._allocate_address(f"127.0.0.1:{control}")

    def _copy_settings(self, source: str, name: str) -> configparser.ConfigParser:
        """Copy an INI file into the temporary directory with the allocated ports."""
        parser = configparser.ConfigParser(interpolation=None)
        parser.read(FOLDER / f"{source}.ini")
        for section in ("proxy", "console"):
            for key in parser[section] if parser.has_section(section) else ():
                if key.endswith("listen"):
                    parser[section][key] = self._allocate_address(parser[section][key])
        parser["platform"]["url"] = f"http://{self.platform}"
        parser["timeline"] = {"path": str(self.folder / f"{name}.events")}
        if parser.has_section("console"):
            path = self.folder / "operator.key"
            path.write_text(keys.generate_key().text, encoding="utf-8")
            path.chmod(0o600)
            parser["console"]["bootstrap_key"] = str(path)
        self._settings[name] = self.folder / f"{name}.ini"
        with self._settings[name].open("w", encoding="utf-8") as file:
            parser.write(file)
        return parser

    def _allocate_address(self, address: str) -> str:
        """Return an address with a free port if requested, else the given one."""
        return (
            address
            if self._free_ports is None
            else f"127.0.0.1:{self._free_ports.pop()}"
        )

    def _make_keys(self) -> None:
        """Generate a key for each team; the document contains only its digest."""
        for team, value in self.document["teams"].items():
            made = keys.generate_key()
            self.keys[team] = made.text
            value["keys"] = [
                {
                    "prefix": made.record.prefix,
                    "salt": made.record.salt,
                    "digest": made.record.digest,
                }
            ]

    def _start_group(self, group: str, endpoints: dict[str, dict]) -> None:
        """Start the endpoints of one group, the first as primary."""
        primary = ""
        for name, endpoint in endpoints.items():
            address = f"{endpoint['host']}:{endpoint['port']}"
            role = ["--follow", primary]
            if not primary:
                role = ["--primary", "--schema", str(FOLDER / "schema.sql")]
                primary = address
            arguments = ["database", "--name", name, "--group", group, *role]
            arguments += ["--listen", address, "--control", self.controls[name]]
            arguments += ["--connect-delay", CONNECT_DELAY, "--lag", self.lag]
            self._start_process(name, [*STANDIN, *arguments])

    def _populate_platform(self) -> bool:
        """Register VMs and groups and store the document.

        :returns: False while the platform does not answer.
        """
        url = f"http://{self.platform}"
        try:
            self.http.get(f"{url}/faults").raise_for_status()
        except httpx.HTTPError:
            return False
        for number, name in enumerate(self.proxies):
            zone = ("dallas", "houston", "austin")[number]
            vm = {"zone": zone, "state": "live", "purpose": "proxy"}
            self.http.put(f"{url}/admin/vms/{name}", json=vm).raise_for_status()
        for group, value in self.document["groups"].items():
            self._register_group(url, group, value["endpoints"])
        self.http.put(
            f"{url}/v1/objects/document/current",
            json=self.document,
            headers={"If-None-Match": "*", "X-Caller": "launcher"},
        ).raise_for_status()
        return True

    def _register_group(self, url: str, group: str, endpoints: dict) -> None:
        """Register a group and its endpoints' VMs with the platform."""
        listed = {}
        for index, (name, endpoint) in enumerate(endpoints.items()):
            vm = {"zone": endpoint["zone"], "state": "live", "purpose": "endpoint"}
            self.http.put(f"{url}/admin/vms/{name}", json=vm).raise_for_status()
            listed[name] = {
                **endpoint,
                "role": "replica" if index else "primary",
                "term": 1,
                "position": 0,
                "control": self.controls[name],
            }
        value = {"endpoints": listed}
        self.http.put(f"{url}/admin/groups/{group}", json=value).raise_for_status()

    def _try_proxy(self, name: str) -> bool:
        """Return whether a proxy accepts writes on two routes of a team."""
        # Imported here so that importing this module does not require psycopg.
        import psycopg

        team = "triage"
        for route in ("letters", "print"):
            dsn = self.format_dsn(name, route, team)
            try:
                with psycopg.connect(dsn, autocommit=True) as connection:
                    connection.execute("INSERT INTO letter (id) VALUES ('ready')")
            except psycopg.Error:
                return False
        return True

    def format_dsn(self, proxy: str, route: str, team: str = "") -> str:
        """Return the connection string for a route on a proxy."""
        host, port = self.proxies[proxy].split(":")
        dsn = f"host={host} port={port} dbname={route} user={team or 'reader'}"
        if team:
            dsn += f" password={self.keys[team]}"
        return f"{dsn} connect_timeout=5"

    def _wait_until(self, condition, what: str) -> None:
        """Wait until a condition holds.

        :raises NotReady: the timeout passed, or a process exited.
        """
        deadline = time.monotonic() + READY_SECONDS
        while not condition():
            ended = [p for p in self.running.values() if not p.is_running]
            if ended or time.monotonic() > deadline:
                logs = "\n".join(f"{p.name}: {p.read_log()}" for p in ended)
                log = self.running[what].read_log() if what in self.running else ""
                raise NotReady(f"{what} is not ready; {logs or log}")
            time.sleep(0.1)


def _find_free_ports(count: int) -> list[int]:
    """Return ports on which nothing listens now.

    They are below the ephemeral port range, so that no outgoing connection uses a
    port while the process that owns it restarts.
    """
    ports: list[int] = []
    candidates = random.SystemRandom().sample(FREE_PORTS, len(FREE_PORTS))
    for port in candidates:
        if len(ports) == count:
            break
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) != 0:
                ports.append(port)
    return ports
