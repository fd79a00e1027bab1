"""Child processes: started here, ended by their own id."""

import json
import os
import signal
import subprocess
import time
from pathlib import Path

READY_TIMEOUT = 20.0
STOP_TIMEOUT = 30.0


class Process:
    """A running program that prints one JSON line when it is ready."""

    def __init__(self, name: str, arguments: list[str], log_folder: Path):
        self.name = name
        self.arguments = arguments
        self._log = open(log_folder / f"{name}.log", "ab")
        self._output = log_folder / f"{name}.ready"
        self._output.write_bytes(b"")
        with open(self._output, "ab") as output:
            self.child = subprocess.Popen(
                arguments,
                stdout=output,
                stderr=self._log,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )
        self.ready: dict = {}

    @property
    def pid(self) -> int:
        return self.child.pid

    def wait_ready(self) -> dict:
        """Waits for the ready line."""
        deadline = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < deadline:
            lines = self._output.read_text().splitlines(keepends=True)
            if lines and lines[0].endswith("\n"):
                self.ready = json.loads(lines[0])
                return self.ready
            if self.child.poll() is not None:
                raise RuntimeError(f"{self.name} ended with {self.child.returncode}; see its log")
            time.sleep(0.02)
        raise RuntimeError(f"{self.name} was not ready in {READY_TIMEOUT} s")

    def signal(self, number: int) -> None:
        if self.child.poll() is None:
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Ends it without notice."""
        self.signal(signal.SIGKILL)
        self.child.wait()

    def stop(self, timeout: float = STOP_TIMEOUT) -> int | None:
        """Asks it to stop and waits; returns its exit code."""
        self.signal(signal.SIGTERM)
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
            return None
