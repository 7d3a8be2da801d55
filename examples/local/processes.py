"""Starts processes and stops them."""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import time

STOP_SECONDS = 8.0
"""Timeout for a process to exit before it is killed."""


class Process:
    """One process that the launcher started.

    :param name: name of the process and of its log file.
    :param arguments: arguments of the Python interpreter.
    :param folder: directory of the log file.
    """

    def __init__(self, name: str, arguments: list[str], folder: pathlib.Path) -> None:
        """Start the process in a new session."""
        self.name = name
        self.arguments = arguments
        self.log = folder / f"{name}.log"
        with self.log.open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited."""
        return self._popen.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal unless the process has exited."""
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._popen.pid, number)

    def wait(self, seconds: float) -> bool:
        """Wait up to a number of seconds; return whether the process exited."""
        try:
            self._popen.wait(seconds)
        except subprocess.TimeoutExpired:
            return False
        return True

    def read_log(self) -> str:
        """Return the last 2000 characters of the process's output."""
        return self.log.read_text(encoding="utf-8", errors="replace")[-2000:]


def stop_all(processes: list[Process]) -> None:
    """Terminate processes, and kill those that do not exit in time."""
    for process in processes:
        process.send(signal.SIGCONT)
        process.send(signal.SIGTERM)
    deadline = time.monotonic() + STOP_SECONDS
    for process in processes:
        if not process.wait(max(0.0, deadline - time.monotonic())):
            process.send(signal.SIGKILL)
            process.wait(STOP_SECONDS)
