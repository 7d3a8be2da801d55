"""Processes of the console, the platform's stand-in and a fleet."""

import os
import re
import signal
import socket
import subprocess
import sys

import httpx

import builders_document as builders


class Process:
    """A Python module run as a process, which prints its URL."""

    def __init__(self, *arguments):
        self.process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.PIPE,
            text=True,
            env=os.environ | {"PYTHONPATH": "src"},
        )

    def read_url(self):
        for line in self.process.stdout:
            found = re.search(r"(https?://)?(127\.0\.0\.1:\d+)", line)
            if found:
                return (found[1] or "http://") + found[2]
        raise AssertionError(f"{self.process.args} ended without a URL")

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(15)
        except subprocess.TimeoutExpired:
            self.process.kill()
            raise


class ConsoleProcesses:
    """The platform's stand-in and a console with a bootstrap key."""

    def __init__(self, folder):
        self.platform = Process(
            "sardinehold_standins.cli", "platform", "--listen", "127.0.0.1:0"
        )
        try:
            self.platform_url = self.platform.read_url()
            self.console = Process(
                "sardinehold.cli", "console", "--settings", self._write(folder)
            )
            self.url = self.console.read_url()
        except BaseException:
            self.platform.process.kill()
            raise

    def _write(self, folder):
        key = folder / "bootstrap.key"
        key.write_text(builders.BOOTSTRAP, encoding="utf-8")
        path = folder / "console.ini"
        text = builders.CONSOLE_INI.replace(
            "http://127.0.0.1:6490", self.platform_url
        ).replace(
            "listen = 127.0.0.1:0", f"listen = 127.0.0.1:0\nbootstrap_key = {key}"
        )
        path.write_text(text, encoding="utf-8")
        return str(path)

    def put(self, kind, name, value):
        """Write an object through the platform's HTTP API."""
        url = f"{self.platform_url}/v1/objects/{kind}/{name}"
        with httpx.Client(trust_env=False) as client:
            found = client.get(url)
            match = {"If-None-Match": "*"}
            if found.status_code == 200:
                match = {"If-Match": f'"{found.json()["version"]}"'}
            headers = {"X-Caller": "test", **match}
            response = client.put(url, json=value, headers=headers)
        assert response.status_code in (200, 201), response.text

    def stop(self):
        return self.console.stop(), self.platform.stop()


def find_port():
    with socket.create_server(("127.0.0.1", 0)) as free:
        return free.getsockname()[1]


PROXY_INI = """\
[vm]
name = entry-{number}
zone = {zone}
[proxy]
listen = 127.0.0.1:{port}
peer_listen = 127.0.0.1:{peer_port}
[platform]
url = {platform}
[timeline]
path = {folder}/entry-{number}.events
"""
ZONES = ("dallas", "houston", "austin")


class Fleet(ConsoleProcesses):
    """Console processes with three proxies and one group of three endpoints."""

    def __init__(self, folder):
        super().__init__(folder)
        self.folder = folder
        self.started = []
        self.ports = []
        try:
            self._start_group("letters-1")
            for number, zone in enumerate(ZONES, 1):
                self._start_proxy(number, zone)
        except BaseException:
            self.stop()
            raise

    def _start_group(self, group):
        schema = self.folder / "schema.sql"
        schema.write_text("CREATE TABLE letters (id INTEGER PRIMARY KEY, text TEXT);")
        endpoints = {
            f"{group}{letter}": {
                "host": "127.0.0.1",
                "port": find_port(),
                "zone": zone,
                "control": f"127.0.0.1:{find_port()}",
            }
            for letter, zone in zip("abc", ZONES, strict=True)
        }
        first = endpoints[f"{group}a"]["port"]
        for name, part in endpoints.items():
            follow = ["--follow", f"127.0.0.1:{first}"]
            role = ["--primary", "--schema", str(schema)] if name[-1] == "a" else follow
            address = f"127.0.0.1:{part['port']}"
            self.started.append(
                Process(
                    "sardinehold_standins.cli",
                    "database",
                    *("--name", name, "--group", group, "--connections", "45"),
                    *("--listen", address, "--control", part["control"]),
                    *("--lag", "0.02:0.2", *role),
                )
            )
            self.started[-1].read_url()
        self._admin(f"groups/{group}", {"endpoints": endpoints})

    def _start_proxy(self, number, zone):
        port, peer_port = find_port(), find_port()
        path = self.folder / f"entry-{number}.ini"
        text = PROXY_INI.format(
            number=number,
            zone=zone,
            port=port,
            peer_port=peer_port,
            platform=self.platform_url,
            folder=self.folder,
        )
        path.write_text(text, encoding="utf-8")
        value = {"zone": zone, "state": "live", "purpose": "proxy"}
        self._admin(f"vms/entry-{number}", value)
        proxy = Process("sardinehold.cli", "proxy", "--settings", str(path))
        self.started.append(proxy)
        self.ports.append(port)

    def _admin(self, path, value):
        with httpx.Client(trust_env=False) as client:
            response = client.put(f"{self.platform_url}/admin/{path}", json=value)
        assert response.status_code < 300, response.text

    def stop(self):
        codes = [program.stop() for program in reversed(self.started)]
        return (*super().stop(), *codes)
