"""HTTP callers that check every answer."""

import http.client
import json
import threading
import time
import urllib.parse
import urllib.request
from collections import Counter
from dataclasses import dataclass, field

MASK = (1 << 64) - 1
NOT_RUN = "X-Petrellatch-Not-Run"
TIMEOUT = 30.0


def checksum(data: bytes) -> int:
    """64-bit FNV-1a, as the back end stand-in computes it."""
    value = 0xCBF29CE484222325
    for byte in data:
        value = ((value ^ byte) * 0x100000001B3) & MASK
    return value


def mix(word: int) -> int:
    """The finalizer of SplitMix64."""
    word = ((word ^ (word >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    word = ((word ^ (word >> 27)) * 0x94D049BB133111EB) & MASK
    return word ^ (word >> 31)


def lookup_value(service: str, request_id: str) -> int:
    """The value that a lookup must answer."""
    second = checksum(request_id.encode())
    rotated = ((second << 1) | (second >> 63)) & MASK
    return mix(checksum(service.encode()) ^ rotated)


def download_content(service: str, request_id: str, length: int) -> bytes:
    """The bytes that a download must answer."""
    seed = lookup_value(service, request_id)
    words = (length + 7) // 8
    data = b"".join(mix((seed + i) & MASK).to_bytes(8, "little") for i in range(words))
    return data[:length]


@dataclass
class Results:
    """What became of the requests."""

    counts: Counter = field(default_factory=Counter)
    sent: dict[str, str] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    faults: list[str] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def record(self, kind: str, request_id: str, service: str, detail: str = "") -> None:
        with self.lock:
            self.counts[kind] += 1
            self.sent[request_id] = service
            if kind == "refused_not_run":
                self.refused.add(request_id)
            if kind in ("broken", "misrouted"):
                self.faults.append(f"{time.strftime('%H:%M:%S')} {kind} {request_id}: {detail}")

    def merge(self, other: "Results") -> None:
        """Adds the results of another phase."""
        self.counts.update(other.counts)
        self.sent.update(other.sent)
        self.refused.update(other.refused)
        self.faults.extend(other.faults)


class Caller:
    """Sends requests to one service through the edge."""

    def __init__(self, service: str, edge: tuple[str, int], results: Results):
        self.service = service
        self.edge = edge
        self.results = results

    def lookup(self, request_id: str) -> None:
        path = f"/lookup?id={urllib.parse.quote(request_id)}"
        expected = lookup_value(self.service, request_id)
        self._request("GET", path, request_id, None, lambda body: json.loads(body)["value"] == expected)

    def filing(self, request_id: str) -> None:
        content = f"filing {request_id} ".encode() * 40
        expected = checksum(content)
        self._request(
            "POST", "/filing", request_id, content, lambda body: json.loads(body)["checksum"] == expected
        )

    def download(self, request_id: str, length: int, rate: int) -> None:
        path = f"/map?bytes={length}&rate={rate}&id={urllib.parse.quote(request_id)}"
        expected = download_content(self.service, request_id, length)
        self._request("GET", path, request_id, None, lambda body: body == expected)

    def _request(self, method: str, path: str, request_id: str, content, is_right) -> None:
        connection = http.client.HTTPConnection(*self.edge, timeout=TIMEOUT)
        headers = {"X-Request-Id": request_id, "Connection": "close"}
        try:
            connection.request(method, path, content, headers)
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException) as error:
            self.results.record("broken", request_id, self.service, repr(error))
            return
        finally:
            connection.close()
        self._judge(request_id, response, body, is_right)

    def _judge(self, request_id: str, response, body: bytes, is_right) -> None:
        served_by = response.getheader("X-Service", self.service)
        if served_by != self.service:
            self.results.record("misrouted", request_id, self.service, served_by)
        elif response.status == 503 and response.getheader(NOT_RUN):
            self.results.record("refused_not_run", request_id, self.service)
        elif response.status == 200 and is_right(body):
            self.results.record("answered", request_id, self.service)
        else:
            detail = f"status {response.status}, {len(body)} bytes"
            self.results.record("broken", request_id, self.service, detail)


class Load:
    """Callers in threads that ask until they are told to stop."""

    def __init__(self, edges: dict[str, tuple[str, int]], results: Results, threads: int, pause: float, prefix: str = ""):
        self.prefix = prefix
        self.stop_flag = threading.Event()
        self.pause = pause
        self.threads = [
            threading.Thread(target=self._run, args=(Caller(service, edge, results), number))
            for service, edge in edges.items()
            for number in range(threads)
        ]

    def start(self) -> None:
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        self.stop_flag.set()
        for thread in self.threads:
            thread.join()

    def _run(self, caller: Caller, number: int) -> None:
        count = 0
        while not self.stop_flag.wait(self.pause):
            request_id = f"{self.prefix}{caller.service}-{number}-{count}"
            if count % 4 == 3:
                caller.filing(request_id)
            else:
                caller.lookup(request_id)
            count += 1


def start_downloads(
    edges: dict[str, tuple[str, int]], results: Results, prefix: str, count: int, seconds: int, rate: int
) -> list[threading.Thread]:
    """Starts downloads of each service that last for so many seconds."""
    threads = []
    for service, edge in edges.items():
        for number in range(count):
            caller = Caller(service, edge, results)
            arguments = (f"{prefix}{service}-long-{number}", seconds * rate, rate)
            threads.append(threading.Thread(target=caller.download, args=arguments))
    for thread in threads:
        thread.start()
    return threads


def executions(addresses: list[str]) -> tuple[Counter, dict[str, set[str]]]:
    """Asks the back ends how often each request ran, and for which services."""
    counts: Counter = Counter()
    services: dict[str, set[str]] = {}
    for address in addresses:
        with urllib.request.urlopen(f"http://{address}/executions", timeout=TIMEOUT) as response:
            report = json.load(response)
        for request_id, count in report["executions"].items():
            counts[request_id] += count
            services.setdefault(request_id, set()).add(report["service"])
    return counts, services
