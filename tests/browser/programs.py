"""Starts a console and the platform's stand-in as real processes."""

import os
import re
import signal
import subprocess
import sys

import httpx

import builders_document as builders


class Program:
    """A process of its own and the URL that it printed or was given."""

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
        return self.process.wait(15)


class Programs:
    """Platform and console, the console with a bootstrap key."""

    def __init__(self, folder):
        self.platform = Program(
            "sardinehold_standins.cli", "platform", "--listen", "127.0.0.1:0"
        )
        try:
            self.platform_url = self.platform.read_url()
            self.console = Program(
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
        """Write an object as another process of the system would."""
        url = f"{self.platform_url}/v1/objects/{kind}/{name}"
        with httpx.Client(trust_env=False) as client:
            found = client.get(url)
            match = {"If-None-Match": "*"}
            if found.status_code == 200:
                match = {"If-Match": f'"{found.json()["version"]}"'}
            headers = {"X-Caller": "test", **match}
            answer = client.put(url, json=value, headers=headers)
        assert answer.status_code in (200, 201), answer.text

    def stop(self):
        return self.console.stop(), self.platform.stop()
