"""An operator that changes the configuration and checks that nothing is lost."""

import json
import threading
import time
import urllib.error
import urllib.request
import uuid
from dataclasses import dataclass, field

MARKERS = 32
REQUEST_TIMEOUT = 3.0
DEADLINE = 90.0
PAUSE = 0.2


@dataclass
class OperatorResults:
    """What the operator saw."""

    accepted: int = 0
    in_force_seconds: list[float] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)
    went_back: int = 0


class Operator(threading.Thread):
    """Changes one of a few marker policies after the other, until stopped.

    Each accepted change is waited for until it is in force everywhere; then the
    configuration is read back.
    """

    def __init__(self, servers: list[str]):
        super().__init__()
        self.servers = servers
        self.results = OperatorResults()
        self.stop_flag = threading.Event()
        self.expected: dict[str, str] = {}
        self.version = 0

    def run(self) -> None:
        number = 0
        while not self.stop_flag.wait(PAUSE):
            number += 1
            self._change_once(number)

    def stop(self) -> OperatorResults:
        self.stop_flag.set()
        self.join()
        self._read_back()
        return self.results

    def take_times(self) -> list[float]:
        """Returns the times since the last call."""
        times, self.results.in_force_seconds = self.results.in_force_seconds, []
        return times

    def _change_once(self, number: int) -> None:
        name = f"marker-{number % MARKERS}"
        weight = f"{number}.0"
        edit = {"put_policy": {"name": name, "eligible": "!backend.draining", "weight": weight}}
        request = {"request_id": str(uuid.uuid4()), "edits": [edit]}
        # The outcome of a change that is never answered stays unknown.
        self.expected.pop(name, None)
        accepted = self._send(request)
        if accepted is None:
            return
        self.expected[name] = weight
        self.results.accepted += 1
        self._note_version(accepted)
        self._wait_in_force(accepted)
        self._read_back()

    def _send(self, request: dict) -> int | None:
        """Sends until there is an answer; a conflict is decided anew."""
        deadline = time.monotonic() + DEADLINE
        request["based_on"] = self._read_version(deadline)
        while time.monotonic() < deadline:
            answer = self._ask("/v1/changes", request)
            if answer and "version" in answer:
                return answer["version"]
            kind = answer["error"]["kind"] if answer else "unavailable"
            if kind == "conflict":
                request["request_id"] = str(uuid.uuid4())
                request["based_on"] = self._read_version(deadline)
            time.sleep(0.05)
        return None

    def _wait_in_force(self, version: int) -> None:
        started = time.monotonic()
        while time.monotonic() - started < DEADLINE:
            answer = self._ask(f"/v1/progress?version={version}")
            if answer and answer.get("in_force"):
                self.results.in_force_seconds.append(time.monotonic() - started)
                return
            time.sleep(0.02)
        self.results.lost.append(f"version {version} was not in force after {DEADLINE} s")

    def _read_back(self) -> None:
        answer = self._read(time.monotonic() + DEADLINE)
        if answer is None:
            return
        self._note_version(answer["version"])
        policies = {it["name"]: it["weight"] for it in answer["document"]["policies"]}
        for name, weight in self.expected.items():
            if policies.get(name) != weight:
                self.results.lost.append(f"{name}: {policies.get(name)} in place of {weight}")

    def _read_version(self, deadline: float) -> int:
        answer = self._read(deadline)
        return answer["version"] if answer else 0

    def _read(self, deadline: float) -> dict | None:
        while time.monotonic() < deadline:
            answer = self._ask("/v1/configuration")
            if answer and "document" in answer:
                return answer
            time.sleep(0.05)
        return None

    def _note_version(self, version: int) -> None:
        if version < self.version:
            self.results.went_back += 1
        self.version = max(version, self.version)

    def _ask(self, path: str, body: dict | None = None) -> dict | None:
        """Asks the replica that answered last; the next one if it fails."""
        data = json.dumps(body).encode() if body else None
        request = urllib.request.Request(f"http://{self.servers[0]}{path}", data)
        try:
            with urllib.request.urlopen(request, timeout=REQUEST_TIMEOUT) as response:
                return json.load(response)
        except urllib.error.HTTPError as error:
            answer = json.loads(error.read() or b"{}")
            if answer.get("error", {}).get("kind") in ("not_leader", "unavailable"):
                self._turn_to(answer["error"].get("leader"))
            return answer if "error" in answer else None
        except (OSError, ValueError):
            self._turn_to(None)
            return None

    def _turn_to(self, leader: str | None) -> None:
        first = leader if leader in self.servers else self.servers[1]
        rest = [it for it in self.servers if it != first]
        self.servers = [first, *rest]
