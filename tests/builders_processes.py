"""Real processes for tests: platform, databases and a proxy, on free ports."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import httpx

from sardinehold import document
from sardinehold import keys

HOST = "127.0.0.1"
SOURCE = pathlib.Path(__file__).parent.parent / "src"
PROCESS_TIMEOUT = 30.0
"""Seconds that a process may take to start or to stop."""

SCHEMA = "CREATE TABLE letters (id integer primary key, body text, data bytea);"


def start(*arguments):
    """Start a module of this project; the caller must end the process."""
    return subprocess.Popen(
        [sys.executable, "-m", *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": str(SOURCE)},
        text=True,
    )


def wait_until(condition):
    """Poll ``condition`` until it returns a true value, and return that.

    :raises TimeoutError: it did not within ``PROCESS_TIMEOUT``.
    """
    deadline = time.monotonic() + PROCESS_TIMEOUT
    while time.monotonic() < deadline:
        found = condition()
        if found:
            return found
        time.sleep(0.02)
    raise TimeoutError("the condition was not met in time")


def stop(process, number=signal.SIGTERM):
    """Send a signal unless the process has ended; return exit code and stderr."""
    if process.poll() is None:
        process.send_signal(number)
    _, output = process.communicate(timeout=PROCESS_TIMEOUT)
    return process.returncode, output


class Fleet:
    """Running processes and their addresses."""

    def __init__(self, folder):
        self.folder = folder
        self.processes = contextlib.ExitStack()
        self.key = keys.generate_key()

    def start_standin(self, *arguments):
        """Start a stand-in and return its address."""
        process = start("sardinehold_standins.cli", *arguments)
        self.processes.callback(stop, process)
        return process.stdout.readline().split()[-1]

    def start_platform(self):
        listen = f"{HOST}:0"
        self.platform = self.start_standin("platform", "--listen", listen)

    def start_databases(self, *options):
        schema = self.folder / "schema.sql"
        schema.write_text(SCHEMA, encoding="utf-8")
        role = ["--primary", "--schema", str(schema)]
        self.endpoints = []
        for number in range(3):
            name = f"e{number}"
            arguments = ["--name", name, "--group", "letters"]
            arguments += ["--listen", f"{HOST}:0", "--control", f"{HOST}:0"]
            address = self.start_standin("database", *arguments, *role, *options)
            port = int(address.rpartition(":")[2])
            self.endpoints.append(document.Endpoint(name, HOST, port, "dallas"))
            role = ["--follow", f"{HOST}:{self.endpoints[0].port}"]

    def put_document(self):
        team = document.Team("desk", 5000, 5000, keys=(self.key.record,))
        group = document.Group("letters", tuple(self.endpoints), 3, 45)
        route = document.Route("letters", "letters", ("desk",))
        public = document.Route("public", "letters", open=True, rate=99, burst=99)
        content = document.Document(
            1,
            "test",
            "test",
            {"desk": team},
            {"letters": group},
            {"letters": route, "public": public},
        )
        self.put("/v1/objects/document/current", document.dump_document(content))

    def put(self, path, value):
        with httpx.Client(trust_env=False) as client:
            headers = {"X-Caller": "test", "If-None-Match": "*"}
            url = f"http://{self.platform}{path}"
            client.put(url, json=value, headers=headers).raise_for_status()

    def register(self):
        """Register the group and the VM in the platform's lists."""
        endpoints = {
            endpoint.name: {
                "host": endpoint.host,
                "port": endpoint.port,
                "zone": endpoint.zone,
                "role": "primary" if endpoint is self.endpoints[0] else "replica",
                "term": 1,
                "position": 0,
            }
            for endpoint in self.endpoints
        }
        self.put("/admin/groups/letters", {"endpoints": endpoints})
        vm = {"zone": "dallas", "state": "live", "purpose": "proxy"}
        self.put("/admin/vms/entry-1", vm)

    def write_settings(self, listen=f"{HOST}:0", extra=""):
        path = self.folder / "proxy.ini"
        timeline = self.folder / "events.jsonl"
        path.write_text(
            f"[vm]\nname = entry-1\nzone = dallas\n"
            f"[proxy]\nlisten = {listen}\npeer_listen = {HOST}:0\n"
            f"drain_deadline = 5\n"
            f"[platform]\nurl = http://{self.platform}\n"
            f"[timeline]\npath = {timeline}\n{extra}",
            encoding="utf-8",
        )
        timeline.unlink(missing_ok=True)
        return path

    def start_proxy(self):
        """Start a proxy and wait until it listens."""
        settings = self.write_settings()
        self.proxy = start("sardinehold.cli", "proxy", "--settings", str(settings))
        self.processes.callback(stop, self.proxy, signal.SIGKILL)
        self.port = wait_until(self.find_port)

    def find_port(self):
        """Return the port from the proxy's timeline, None before it is recorded."""
        timeline = self.folder / "events.jsonl"
        if not timeline.exists():
            return None
        for line in timeline.read_text(encoding="utf-8").splitlines():
            event = json.loads(line)
            if event["kind"] == "proxy_started":
                return event["port"]
        return None


@contextlib.contextmanager
def run_fleet(folder):
    """Run the platform, three databases and one proxy."""
    fleet = Fleet(folder)
    with fleet.processes:
        fleet.start_platform()
        fleet.start_databases()
        fleet.register()
        fleet.put_document()
        fleet.start_proxy()
        yield fleet
