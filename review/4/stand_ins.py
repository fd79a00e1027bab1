"""Starts the project's own programs as separate processes on loopback addresses, with
settings like those of a small deployment, and stand-ins of the platform around them.

Stand-ins: the router (hashes flows over the balancers that are ready), the operator,
back ends and clients. They do what the pages allow, and what the pages leave open they do
like sound ones. Everything that is sent, answered and run goes to record.txt.
"""

import hashlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = "target/release/petrellatch-platform"
ROLES = {"core": "replica", "front": "balancer", "side": "agent"}
SERVES = {"core": "control", "front": "front", "side": "side"}
SYN, FIN, RST, ACK, BOUNCED = 4, 8, 16, 64, 1
HEAD = struct.Struct(">IHIIBI4sH4sH")
SUM_KEY = b"known to clients and back ends alone"

# The values of the small site kvc-assess.
HEARTBEAT_MS = 1200
CONTACT_S = 4.0
IDLE_TIMEOUT_MS = 15000
BOUNDS = {"SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 4000, "AckMs": 5000, "SyncS": 4,
          "DrainMs": 3000, "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 3000,
          "DowngradeSlackMs": 250, "SkewMaxMs": 12000, "RecoveryS": 12, "ReorderMs": 2000,
          "FlowTtlS": 60}
CPU_QUOTA = {"core": 0.13, "front": 0.25, "side": 0.15}
MEMORY_MB = {"core": 256, "front": 260, "side": 128}
DATA_BYTES = 1200


def checksum(packet):
    """The keyed sum over everything except echo, pad and BOUNCED."""
    head = bytearray(packet[4:HEAD.size])
    head[10] &= ~BOUNCED
    head[11:15] = bytes(4)
    return zlib.crc32(SUM_KEY + head + packet[HEAD.size:])


def pack(source, destination, flags, sequence, acknowledged, data=b""):
    packet = HEAD.pack(0, len(data), sequence & 0xFFFFFFFF, acknowledged & 0xFFFFFFFF, flags, 0,
                       socket.inet_aton(source[0]), destination[1],
                       socket.inet_aton(destination[0]), source[1]) + data
    return struct.pack(">I", checksum(packet)) + packet[4:]


def unpack(packet):
    _, _, sequence, acknowledged, flags, _, ip, dport, dip, sport = HEAD.unpack(
        packet[:HEAD.size])
    return ((socket.inet_ntoa(ip), sport), (socket.inet_ntoa(dip), dport), flags, sequence,
            acknowledged, packet[HEAD.size:])


def is_genuine(packet):
    """Whether the packet is as its sender wrote it."""
    return struct.unpack(">I", packet[:4])[0] == checksum(packet)


class CannotRun(Exception):
    """The case could not be set up; nothing is said about the rule."""


class Record:
    """The lines of record.txt, with the seconds since the start."""

    def __init__(self, path):
        self.start, self.lock = time.monotonic(), threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def note(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
            self.file.flush()

    def now(self):
        return time.monotonic() - self.start


class Fleet:
    """The processes of the system, by names such as core-1, front-1 and side-1."""

    def __init__(self, record, fault_tolerance=None):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="petrellatch-review-"))
        self.net = f"127.{random.randrange(64, 126)}.{random.randrange(1, 250)}"
        self.ports = {}
        for name in ("messages", "packets", "ready", "control", "app", "outbound"):
            self.ports[name] = self.free_port()
        self.numbers, self.processes, self.details = {}, {}, {}
        self.tolerance = fault_tolerance or {"Machines": 1, "Zones": 0, "Regions": 0}
        self.logs = open(self.folder / "log.jsonl", "ab")
        self.over = False

    def free_port(self):
        """A port below the range of outgoing connections, which is free at the client."""
        while True:
            port = random.randrange(12000, 30000)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe, \
                    socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream:
                try:
                    probe.bind((f"{self.net}.201", port))
                    stream.bind((f"{self.net}.201", port))
                except OSError:
                    continue
            if all(abs(port - other) > 20 for other in self.ports.values()):
                return port

    def ip(self, name):
        kind, _, number = name.partition("-")
        base = {"core": 10, "front": 40, "side": 70, "client": 200}[kind]
        return f"{self.net}.{base + int(number)}"

    def address(self, name, port):
        return (self.ip(name), self.ports[port])

    def settings(self, name, bootstrap, seeds, service):
        kind = name.split("-")[0]
        at = lambda port: f"{self.ip(name)}:{self.ports[port]}"
        listen = {"core": {"Control": at("control")},
                  "front": {"DatagramAddr": at("packets"), "Ready": at("ready")},
                  "side": {"DatagramAddr": at("packets"), "outbound": at("outbound"),
                           "Ready": at("ready"), "Control": at("control")}}[kind]
        settings = {
            "NodeName": name, "Role": ROLES[kind], "MachineClass": kind,
            "Serves": [SERVES[kind]], "Ip": self.ip(name), "Zone": "z1", "Region": "r1",
            "Zones": {"z1": "r1"}, "Listen": listen,
            "PortRange": [self.ports["messages"], self.ports["messages"] + 15],
            "Seeds": [f"{self.ip(seed)}:{self.ports['control']}" for seed in seeds],
            "Bootstrap": bootstrap, "LossCounts": kind == "core",
            "Limits": {"CpuQuota": CPU_QUOTA[kind], "Cores": 1, "MemoryMb": MEMORY_MB[kind],
                       "MaxFds": 4096, "LinkMbps": 1000.0, "DiskMb": 128 if kind == "core" else 0},
            "DataDir": str(self.folder / f"data-{name}") if kind == "core" else None,
            "Discovery": "local", "Entry": "announce", "HeartbeatMs": HEARTBEAT_MS,
            "Contracts": ["base", "drain", "config", "cost", "recover", "flows"],
            "FaultTolerance": self.tolerance, "Bounds": BOUNDS, "config_mode": "highest",
            "EcmpHash": "steady", "Forwarding": "agent"}
        if kind == "side":
            settings["Service"] = service
            settings["app"] = at("app")
        return settings

    def start(self, name, bootstrap, seeds=("core-1", "core-2", "core-3"), service="desk"):
        kind = name.split("-")[0]
        self.details[name] = (seeds, service)
        if kind == "core":
            (self.folder / f"data-{name}").mkdir(exist_ok=True)
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(self.settings(name, bootstrap, seeds, service)))
        environment = {"PETRELLATCH_BOOT": str(file), "PATH": os.environ["PATH"],
                       "HOME": str(self.folder), "LANG": "C"}
        self.processes[name] = subprocess.Popen(
            [str(ROOT / PROGRAM), ROLES[kind]], cwd=ROOT, env=environment,
            stdout=self.logs, stderr=self.logs)
        self.record.note(f"start {name} bootstrap={bootstrap}")

    def restart(self, name):
        seeds, service = self.details[name]
        self.start(name, False, seeds, service)

    def kill(self, names):
        """Ends processes by SIGKILL, at the same moment."""
        for name in names:
            self.processes[name].kill()
        for name in names:
            self.processes[name].wait()
        self.record.note(f"SIGKILL {' '.join(names)}")

    def terminate(self, name):
        """SIGTERM, and SIGKILL after GraceS."""
        self.record.note(f"SIGTERM {name}")
        self.processes[name].terminate()
        try:
            self.processes[name].wait(BOUNDS["GraceS"])
        except subprocess.TimeoutExpired:
            self.processes[name].kill()
            self.processes[name].wait()
            self.record.note(f"SIGKILL {name} after GraceS")
        self.record.note(f"ended {name}")

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record.note(f"{signal.Signals(number).name} {name}")

    def names(self, kind=None):
        return [name for name in self.processes if kind in (None, name.split("-")[0])]

    def ended(self):
        return [name for name, process in self.processes.items() if process.poll() is not None]

    def call(self, address, method, path, body=None, timeout=1.0):
        connection = http.client.HTTPConnection(*address, timeout=timeout)
        try:
            headers = {"Content-Type": "application/json"} if body is not None else {}
            data = json.dumps(body) if body is not None else None
            connection.request(method, path, data, headers)
            answer = connection.getresponse()
            return answer.status, answer.read(), answer.getheader("Location")
        except (OSError, http.client.HTTPException) as failure:
            return None, str(failure).encode(), None
        finally:
            connection.close()

    def order(self, method, path, body=None, first=None, note=True):
        """An operator's call: follows a 307 up to twice."""
        address = self.address(first or random.choice(self.names("core")), "control")
        status, data, location = None, b"", None
        for _ in range(3):
            status, data, location = self.call(address, method, path, body)
            if status != 307 or not location:
                break
            host, port = location.removeprefix("http://").split("/")[0].split(":")
            address = (host, int(port))
        if note:
            self.record.note(f"operator {method} {path} -> {status}")
        return status, data

    def order_until_taken(self, method, path, body=None, seconds=15.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            status, data = self.order(method, path, body)
            if status is not None and 200 <= status < 300:
                return data
            time.sleep(0.2)
        raise CannotRun(f"{method} {path} was not taken")

    def close(self):
        self.over = True
        for process in self.processes.values():
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                except OSError:
                    pass
                process.kill()
                process.wait()
        self.logs.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copy(self.folder / "log.jsonl", keep)
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes):
    """`routes` maps (ip, port) to a service."""
    listed = [{"Name": f"r-{ip}-{port}", "Hostname": ip, "PathPrefix": f"/{port}/",
               "Kind": "safe", "TimeoutMs": 2500, "SloMs": 250, "Priority": 2,
               "Service": service, "MaxAttempts": 2} for (ip, port), service in routes.items()]
    services = [{"Name": name, "HealthPath": "/health", "MaxConns": 2000, "Protocol": "h1",
                 "Tls": False} for name in sorted(set(routes.values()) | {"desk"})]
    return {"Version": version, "Routes": listed, "Services": services,
            "Limits": {"HeaderBytes": 16384, "BodyBytes": 262144, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": IDLE_TIMEOUT_MS}}


class Router(threading.Thread):
    """Hands packets of clients to a ready balancer, chosen by a hash of the flow."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet, self.misses = fleet, {}

    def run(self):
        while not self.fleet.over:
            for name in self.fleet.names("front"):
                threading.Thread(target=self.ask, args=(name,), daemon=True).start()
            time.sleep(0.5)

    def ask(self, name):
        status, _, _ = self.fleet.call(self.fleet.address(name, "ready"), "GET", "/v1/ready",
                                       timeout=0.45)
        if status == 200:
            if self.misses.get(name, 2) >= 2:
                self.fleet.record.note(f"router {name} is in")
            self.misses[name] = 0
        else:
            self.misses[name] = self.misses.get(name, 2) + 1
            if self.misses[name] == 2:
                self.fleet.record.note(f"router {name} is out")

    def is_in(self, name):
        return self.misses.get(name, 2) < 2

    def balancer(self, source, destination):
        """The address of the balancer that gets the packets of a flow."""
        fronts = self.fleet.names("front")
        ready = [name for name in fronts if self.is_in(name)]
        chosen = ready if len(ready) * 2 >= len(fronts) else fronts
        weight = lambda name: hashlib.sha256(f"{name}{source}{destination}".encode()).digest()
        return self.fleet.address(max(chosen, key=weight), "packets")


class Backend(threading.Thread):
    """One incarnation of a back end beside the agent of `machine`."""

    def __init__(self, fleet, machine, identity, service="desk", first_call=1):
        super().__init__(daemon=True)
        self.fleet, self.machine, self.identity, self.service = fleet, machine, identity, service
        self.state, self.calls, self.next_beat = "ready", first_call - 1, time.monotonic()
        self.started, self.beats, self.beating = time.monotonic(), True, False
        self.drained_at, self.left_at, self.ended = None, None, False
        self.flows, self.opened, self.strange, self.arrivals, self.ran = {}, [], [], [], []
        self.resend_check_at = 0.0
        self.out = fleet.address(machine, "outbound")
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.socket.bind(fleet.address(machine, "app"))
        self.health = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.health.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.health.bind(fleet.address(machine, "app"))
        self.health.listen(16)
        fleet.record.note(f"back end {identity} starts beside {machine}")

    def run(self):
        threading.Thread(target=self.serve_health, daemon=True).start()
        self.socket.settimeout(0.02)
        while not self.fleet.over and not self.ended:
            if self.beats and not self.beating and time.monotonic() >= self.next_beat:
                self.next_beat += HEARTBEAT_MS / 1000
                self.beating = True
                threading.Thread(target=self.beat, daemon=True).start()
            if time.monotonic() >= self.resend_check_at:
                self.resend_check_at = time.monotonic() + 0.02
                self.resend()
            try:
                packet, _ = self.socket.recvfrom(4096)
            except (TimeoutError, ConnectionError):
                continue
            except OSError:
                return
            self.handle(packet)

    def serve_health(self):
        while not self.fleet.over and not self.ended:
            try:
                connection, _ = self.health.accept()
                connection.settimeout(1)
                connection.recv(4096)
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                connection.close()
            except OSError:
                return

    def document(self):
        ip, port = self.fleet.address(self.machine, "app")
        self.calls += 1
        return {"Service": self.service, "Address": f"{ip}:{port}", "Zone": "z1",
                "Version": "v1", "Capacity": 7, "State": self.state, "ColdLeftMs": 0,
                "CallSeq": self.calls}

    def send_beat(self, document):
        status, _, _ = self.fleet.call(self.fleet.address(self.machine, "control"), "PUT",
                                       f"/v1/instances/{self.identity}", document)
        self.fleet.record.note(f"heartbeat of {self.identity} call={document['CallSeq']} "
                               f"{document['State']} -> {status}")
        return status

    def beat(self):
        document = self.document()
        status = self.send_beat(document)
        if status == 200 and document["State"] == "draining" and self.drained_at is None:
            self.drained_at = time.monotonic()
        self.beating = False

    def withdraw(self):
        """DELETE, until it is acknowledged. The back end serves on."""
        self.beats = False
        for _ in range(5):
            status, _, _ = self.fleet.call(self.fleet.address(self.machine, "control"),
                                           "DELETE", f"/v1/instances/{self.identity}")
            self.fleet.record.note(f"DELETE of {self.identity} -> {status}")
            if status == 200:
                self.left_at = time.monotonic()
                return True
            time.sleep(0.2)
        return False

    def end(self):
        self.ended, self.beats = True, False
        self.health.shutdown(socket.SHUT_RDWR)
        time.sleep(0.05)
        self.socket.close()
        self.health.close()
        self.fleet.record.note(f"back end {self.identity} ends")

    def handle(self, packet):
        source, destination, flags, sequence, acknowledged, data = unpack(packet)
        if not is_genuine(packet):
            self.fleet.record.note(f"{self.identity} gets a packet that nobody wrote so")
            return
        key = (source, destination)
        flow = self.flows.get(key)
        self.arrivals.append((time.monotonic(), source, destination, flags))
        if flags & SYN and not flags & ACK:
            if flow is None:
                first = random.getrandbits(32)
                flow = {"first": first, "una": first + 1, "next": first + 1, "buffer": b"",
                        "expected": sequence + 1, "input": b"", "fin": False,
                        "resend_at": None, "wait": 0.2, "tries": 0}
                self.flows[key] = flow
                self.opened.append((time.monotonic(), source, destination))
                self.fleet.record.note(f"{self.identity} gets SYN of {source[0]}:{source[1]}")
            self.answer(key, SYN | ACK, flow["first"], sequence + 1)
            return
        ahead = (acknowledged - flow["una"]) & 0xFFFFFFFF if flow else None
        own = flow is not None and (ahead <= flow["next"] - flow["una"] or ahead > 1 << 31)
        own = own and 0 < (acknowledged - flow["first"]) & 0xFFFFFFFF < 1 << 31
        if not own:
            # A packet of a flow that this back end does not hold.
            bounced = bytearray(packet)
            bounced[14] |= BOUNCED
            self.strange.append((time.monotonic(), source))
            self.fleet.record.note(f"{self.identity} returns a packet of {source[0]}:{source[1]}")
            self.socket.sendto(bytes(bounced), self.out)
            return
        if flags & RST:
            del self.flows[key]
            return
        if 0 < ahead <= flow["next"] - flow["una"]:
            flow["buffer"] = flow["buffer"][ahead:]
            flow["una"] += ahead
            flow["wait"], flow["tries"] = 0.2, 0
            flow["resend_at"] = time.monotonic() + 0.2 if flow["una"] < flow["next"] else None
        if data and sequence == flow["expected"]:
            flow["expected"] = (sequence + len(data)) & 0xFFFFFFFF
            flow["input"] += data
            self.serve(key, flow)
        elif data:
            self.answer(key, ACK, flow["next"], flow["expected"])
        if flags & FIN:
            self.answer(key, FIN | ACK, flow["next"], sequence + 1)
            del self.flows[key]
            return
        self.send_more(key, flow)

    def answer(self, key, flags, sequence, acknowledged, data=b""):
        source, destination = key
        packet = pack(destination, source, flags, sequence, acknowledged, data)
        self.socket.sendto(packet, self.out)

    def serve(self, key, flow):
        """Runs the requests that are complete. A path /bytes/N is answered with N bytes."""
        while b"\r\n\r\n" in flow["input"]:
            head, flow["input"] = flow["input"].split(b"\r\n\r\n", 1)
            lines = head.decode().split("\r\n")
            path = lines[0].split(" ")[1]
            identity = next(line[12:] for line in lines if line.startswith("Request-Id: "))
            size = int(path.split("/")[2]) if path.startswith("/bytes/") else 0
            body = f"{self.identity}:{identity}".encode().ljust(size, b".")
            self.ran.append(identity)
            self.fleet.record.note(f"{self.identity} runs {identity}")
            head = f"HTTP/1.1 200 OK\r\nServer-Stamp: {self.identity}\r\n" \
                   f"Content-Length: {len(body)}\r\n\r\n"
            flow["buffer"] += head.encode() + body

    def send_more(self, key, flow):
        """Up to 16 packets are under way."""
        while True:
            offset = flow["next"] - flow["una"]
            data = flow["buffer"][offset:offset + DATA_BYTES]
            if not data or offset >= 16 * DATA_BYTES:
                return
            self.answer(key, ACK, flow["next"], flow["expected"], data)
            flow["next"] += len(data)
            flow["resend_at"] = flow["resend_at"] or time.monotonic() + flow["wait"]

    def resend(self):
        """What is missing is sent again after 200 ms, and so on up to 1.6 s, 8 times."""
        now = time.monotonic()
        for key, flow in list(self.flows.items()):
            if flow["resend_at"] is None or now < flow["resend_at"]:
                continue
            flow["tries"] += 1
            if flow["tries"] > 8:
                self.fleet.record.note(f"{self.identity} gives up the flow of {key[0][1]}")
                del self.flows[key]
                continue
            flow["wait"] = min(flow["wait"] * 2, 1.6)
            flow["resend_at"] = now + flow["wait"]
            data = flow["buffer"][:min(DATA_BYTES, flow["next"] - flow["una"])]
            self.answer(key, ACK, flow["una"], flow["expected"], data)


class Flow:
    """A flow of a client, which is kept for many requests."""

    def __init__(self, client, port, route):
        self.client, self.route = client, route
        self.source = (client.fleet.ip(client.name), port)
        self.sequence, self.acknowledged, self.state = 1000, 0, "new"
        self.inbox, self.event, self.resets = bytearray(), threading.Event(), []
        self.received, self.unacknowledged = 0, 0

    def send(self, flags, data=b""):
        packet = pack(self.source, self.route, flags, self.sequence, self.acknowledged, data)
        address = self.client.router.balancer(self.source, self.route)
        self.client.socket.sendto(packet, address)

    def take(self, packet):
        _, _, flags, sequence, acknowledged, data = packet
        note = self.client.fleet.record.note
        if flags & RST:
            note(f"client {self.source[1]} gets RST seq={sequence} while {self.state}, "
                 f"its last ack={self.acknowledged}")
            self.resets.append((time.monotonic(), self.state, sequence))
            if self.state != "closed":
                self.state = "reset"
        elif flags & SYN and self.state == "new":
            self.acknowledged, self.sequence, self.state = sequence + 1, self.sequence + 1, "open"
            self.send(ACK)
        elif flags & SYN and sequence + 1 == self.acknowledged and self.state == "open":
            self.send(ACK)
        elif data and sequence == self.acknowledged:
            self.acknowledged = (sequence + len(data)) & 0xFFFFFFFF
            self.received += len(data)
            self.inbox += data
            self.unacknowledged += 1
            # Every second packet is acknowledged, and what completes an answer.
            if self.unacknowledged == 2 or len(data) < DATA_BYTES or self.answer_size() == 0:
                self.unacknowledged = 0
                self.send(ACK)
        elif data:
            self.send(ACK)
        self.event.set()

    def answer_size(self):
        """Bytes that the answer still lacks; None if its head is not complete."""
        head, mark, body = bytes(self.inbox).partition(b"\r\n\r\n")
        if not mark:
            return None
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                return max(int(line.split(b":")[1]) - len(body), 0)
        return 0

    def wait(self, condition, until):
        while not condition() and time.monotonic() < until:
            self.event.wait(min(0.02, max(until - time.monotonic(), 0.001)))
            self.event.clear()
        return condition()

    def open(self):
        start = time.monotonic()
        self.client.fleet.record.note(f"client {self.source[1]} sends SYN to {self.route}")
        for copy, end in enumerate((0.2, 0.6, 1.4)):
            packet = pack(self.source, self.route, SYN, self.sequence, copy)
            address = self.client.router.balancer(self.source, self.route)
            self.client.socket.sendto(packet, address)
            if self.wait(lambda: self.state != "new", start + end):
                break
        if self.state == "new":
            self.state = "silent"
        return self.state == "open"

    def request(self, identity, size=0, deadline=2.5):
        """Sends a request. Returns the body of its answer, or None."""
        path = f"/bytes/{size}" if size else "/lookup"
        head = f"GET {path} HTTP/1.1\r\nHost: {self.route[0]}\r\nRequest-Id: {identity}\r\n\r\n"
        self.client.fleet.record.note(f"client {self.source[1]} sends {identity}")
        data, until, wait = head.encode(), time.monotonic() + deadline, 0.2
        begin, before = self.sequence, self.received
        self.inbox.clear()
        done = lambda: self.answer_size() == 0 or self.state != "open"
        begun = lambda: self.received > before or self.state != "open"
        while time.monotonic() < until and self.state == "open" and not begun():
            self.sequence = begin
            self.send(ACK, data)
            self.sequence = begin + len(data)
            self.wait(begun, min(time.monotonic() + wait, until))
            wait = min(wait * 2, 1.6)
        self.wait(done, until)
        answer = bytes(self.inbox).partition(b"\r\n\r\n")[2] if self.answer_size() == 0 else None
        shown = answer[:40].decode().rstrip(".") if answer else f"nothing ({self.state})"
        self.client.fleet.record.note(f"client {self.source[1]} {identity} -> {shown}")
        return answer

    def close(self):
        if self.state == "open":
            self.state = "closed"
            self.send(FIN | ACK)


class Client(threading.Thread):
    """The client machine: all its flows share one UDP port."""

    def __init__(self, fleet, router, name="client-1"):
        super().__init__(daemon=True)
        self.fleet, self.router, self.name, self.flows = fleet, router, name, {}
        self.next_port = random.randrange(20000, 40000)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.socket.bind(fleet.address(name, "packets"))
        self.start()

    def flow(self, route):
        self.next_port += 1
        flow = Flow(self, self.next_port, route)
        self.flows[(flow.source, route)] = flow
        return flow

    def run(self):
        self.socket.settimeout(0.1)
        while not self.fleet.over:
            try:
                raw = self.socket.recv(4096)
            except (TimeoutError, ConnectionError):
                continue
            except OSError:
                return
            packet = unpack(raw)
            # A reset of the system's own has no sum.
            if not is_genuine(raw) and not (packet[2] == RST and raw[:4] == bytes(4)):
                self.fleet.record.note("the client gets a packet that nobody wrote so")
                continue
            flow = self.flows.get((packet[1], packet[0]))
            if flow is not None:
                flow.take(packet)


def wait_for(condition, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise CannotRun(f"{what} did not come about in {seconds} s")


def run_case(play, folder, **fleet_options):
    """Plays a case and exits with 1 if the rule was broken, 0 if it held, 2 if it could not
    run. `play` gets the fleet and whether there is trouble, and returns the breaks."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not (ROOT / PROGRAM).exists():
        record.note("the programs are not built")
        sys.exit(2)
    fleet = Fleet(record, **fleet_options)
    record.note(f"trouble={trouble}")
    try:
        breaks = play(fleet, trouble)
    except CannotRun as reason:
        record.note(f"the case could not run: {reason}")
        print(f"could not run: {reason}")
        sys.exit(2)
    finally:
        fleet.close()
    for line in breaks:
        record.note(f"BROKEN {line}")
        print(f"BROKEN {line}")
    record.note("the rule was broken" if breaks else "the rule held")
    if not breaks:
        print("held")
    sys.exit(1 if breaks else 0)
