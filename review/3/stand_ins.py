"""Stand-ins of the platform, its clients and its backends, and the processes under test.

Everything runs on loopback addresses and the real clock. The processes under test are
started with the commands of deploy/system.toml. The stand-ins keep to PROTOCOL.md and
DEPLOY.md; each class says which sentences it follows.
"""

import asyncio
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from packets import ACK, BOUNCED, FIN, RST, SYN, Packet, pack

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
WINDOW = 1 << 20
ROLES = {"core": "replica", "front": "balancer", "side": "agent"}
SERVES = {"core": "control", "front": "front", "side": "side"}


class CannotRun(Exception):
    """The case could not be played; nothing was judged."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file, self.began = open(path, "w", encoding="utf-8"), time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.file.write(f"{self.now():9.3f}  {text}\n")

    def say(self, text):
        self.note(text)
        print(f"{self.now():9.3f}  {text}", flush=True)


class Fleet:
    """The machines of a small deployment, one loopback address each."""

    def __init__(self, record, counts, bounds, service, heartbeat_ms, tolerated):
        self.record, self.bounds, self.service = record, bounds, service
        self.heartbeat_ms, self.tolerated = heartbeat_ms, tolerated
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="petrellatch-review-"))
        self.net = self.free_net()
        names = ("packets", "ready", "control", "app", "outbound", "messages")
        self.ports = dict(zip(names, self.free_ports(len(names))))
        self.zones = {"zone-a": "region", "zone-b": "region", "zone-c": "region"}
        self.machines, self.processes = {}, {}
        number = 10
        for kind in ("core", "front", "side"):
            for index in range(counts[kind]):
                number += 1
                zone = list(self.zones)[index % len(self.zones)]
                self.machines[f"{kind}-{index + 1}"] = (kind, f"{self.net}.{number}", zone)
        self.client_ip = f"{self.net}.200"
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {role: it["run"].split() for role, it in deploy["roles"].items()}
        for command in self.commands.values():
            if not (ROOT / command[0]).exists():
                raise CannotRun(f"{command[0]} is not built")

    @staticmethod
    def free_net():
        """A block of loopback addresses that no other run uses."""
        for _ in range(50):
            net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
                try:
                    probe.bind((f"{net}.1", 0))
                    return net
                except OSError:
                    continue
        raise CannotRun("no free loopback addresses")

    def free_ports(self, count):
        found = []
        while len(found) < count:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
                probe.bind((f"{self.net}.1", 0))
                port = probe.getsockname()[1]
            if port not in found:
                found.append(port)
        return found

    def at(self, name, port):
        return self.machines[name][1], self.ports[port]

    def of(self, kind):
        return [name for name, it in self.machines.items() if it[0] == kind]

    def settings(self, name, bootstrap):
        kind, ip, zone = self.machines[name]
        text = lambda port: f"{ip}:{self.ports[port]}"
        listen = {"core": {"Control": text("control")},
                  "front": {"DatagramAddr": text("packets"), "Ready": text("ready")},
                  "side": {"DatagramAddr": text("packets"), "outbound": text("outbound"),
                           "Ready": text("ready"), "Control": text("control")}}[kind]
        seeds = [f"{self.machines[it][1]}:{self.ports['control']}" for it in self.of("core")[:3]]
        result = {
            "NodeName": name, "Role": ROLES[kind], "MachineClass": kind,
            "Serves": [SERVES[kind]], "Ip": ip, "Zone": zone, "Region": "region",
            "Zones": self.zones, "Listen": listen,
            "PortRange": [self.ports["messages"], self.ports["messages"]],
            "Seeds": seeds, "Bootstrap": bootstrap, "LossCounts": kind == "core",
            "Limits": {"CpuQuota": 0.25, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100,
                       "LinkMbps": 1000.0, "DiskMb": 128 if kind == "core" else 0},
            "DataDir": str(self.folder / f"disk-{name}") if kind == "core" else None,
            "Discovery": "local", "Entry": "announce", "HeartbeatMs": self.heartbeat_ms,
            "Contracts": ["base", "drain", "config", "cost", "recover", "flows"],
            "FaultTolerance": {"Machines": self.tolerated, "Zones": 0, "Regions": 0},
            "Bounds": self.bounds, "config_mode": "highest", "EcmpHash": "steady",
            "Forwarding": "agent"}
        if kind == "side":
            result |= {"Service": self.service, "app": text("app")}
        return result

    def start(self, name, bootstrap=False):
        kind = self.machines[name][0]
        settings = self.folder / f"{name}.json"
        settings.write_text(json.dumps(self.settings(name, bootstrap)))
        keep = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            self.commands[ROLES[kind]], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
            stderr=log, env=keep | {"PETRELLATCH_BOOT": str(settings)})
        self.record.note(f"platform starts {name}")

    def start_all(self):
        for name in self.machines:
            self.start(name, bootstrap=True)

    def kill(self, name):
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()
        self.record.say(f"platform sends SIGKILL to {name}")

    def terminate(self, name):
        self.processes[name].send_signal(signal.SIGTERM)
        self.record.say(f"platform sends SIGTERM to {name}")

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def http_call(address, method, path, body, timeout=1.0):
    """One call on a connection of its own: (status, headers, body), or None."""
    try:
        return await asyncio.wait_for(_http_call(address, method, path, body), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


async def _http_call(address, method, path, body):
    reader, writer = await asyncio.open_connection(*address)
    try:
        data = json.dumps(body).encode() if body is not None else b""
        head = (f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n")
        writer.write(head.encode() + data)
        await writer.drain()
        lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
        answer = await reader.readexactly(int(headers.get("content-length", 0)))
        return int(lines[0].split()[1]), headers, answer
    finally:
        writer.close()


class Operator:
    """Sends whole configurations until they are acknowledged; follows a 307 twice."""

    def __init__(self, fleet):
        self.fleet = fleet

    async def replace(self, configuration, give_up_after=30.0):
        end = time.monotonic() + give_up_after
        while time.monotonic() < end:
            for name in self.fleet.of("core"):
                address = self.fleet.at(name, "control")
                for _ in range(3):
                    answer = await http_call(address, "PUT", "/v1/config", configuration)
                    if answer is None or answer[0] != 307:
                        break
                    host = answer[1]["location"].removeprefix("http://").split("/")[0]
                    address = (host.split(":")[0], int(host.split(":")[1]))
                if answer is not None and answer[0] == 200:
                    self.fleet.record.note(f"configuration {configuration['Version']} "
                                           "is acknowledged")
                    return
            await asyncio.sleep(0.2)
        raise CannotRun("the first configuration was not acknowledged")


class Router:
    """Chooses a balancer by a steady hash over those that are in.

    Asks each for /v1/ready twice a second; one that misses two is out until it answers 200.
    """

    def __init__(self, fleet):
        self.fleet, self.missed = fleet, {name: 2 for name in fleet.of("front")}

    async def run(self):
        await asyncio.gather(*(self.probe(name) for name in self.missed))

    async def probe(self, name):
        while True:
            answer = await http_call(self.fleet.at(name, "ready"), "GET", "/v1/ready", None, 0.45)
            was_in = self.missed[name] < 2
            self.missed[name] = 0 if answer and answer[0] == 200 else self.missed[name] + 1
            if was_in != (self.missed[name] < 2):
                self.fleet.record.note(f"router: {name} is {'out' if was_in else 'in'}")
            await asyncio.sleep(0.5)

    def choose(self, source, route):
        ready = [name for name, missed in self.missed.items() if missed < 2] or list(self.missed)
        weight = lambda name: hashlib.sha1(f"{name}|{source}|{route}".encode()).digest()
        return max(ready, key=weight)


class HeldUpLink:
    """A proxy before one address that may hold up what is sent to it.

    What a caller has sent when it gives up or crashes still arrives, late and in order.
    """

    def __init__(self, fleet, target):
        self.fleet, self.target, self.holds, self.held = fleet, target, False, []
        self.server = self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self.carry, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()

    async def let_go(self):
        """What was held up arrives, one after the other."""
        held, self.held = self.held, []
        for release in held:
            release.set()
            await asyncio.sleep(0.1)

    async def carry(self, reader, writer):
        try:
            head, request = await self.read_message(reader)
            is_late = self.holds
            if is_late:
                release = asyncio.Event()
                self.held.append(release)
                await release.wait()
            their_reader, their_writer = await asyncio.open_connection(*self.target)
            their_writer.write(request)
            answer_head, answer = await self.read_message(their_reader)
            their_writer.close()
            if is_late:
                state = json.loads(request[len(head):] or b"{}")
                self.fleet.record.say(
                    f"arrives late: {head.decode().split(' HTTP')[0]} "
                    f"CallSeq={state.get('CallSeq')} State={state.get('State')} "
                    f"-> {answer_head.decode().split(' ')[1]}")
            writer.write(answer)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    @staticmethod
    async def read_message(reader):
        head = await reader.readuntil(b"\r\n\r\n")
        fields = dict(line.lower().split(": ", 1) for line in head.decode().split("\r\n")
                      if ": " in line)
        return head, head + await reader.readexactly(int(fields.get("content-length", 0)))


class Flow:
    def __init__(self, first):
        self.first, self.is_open, self.answers, self.next_seq = first, False, {}, None
        self.sent = 1


class Backend(asyncio.DatagramProtocol):
    """An application backend: flows of HTTP/1.1 requests, and heartbeats to its own machine.

    Every start is a new incarnation with a new id that knows no flow of before. A packet of a
    flow that it does not hold goes back with BOUNCED. A flow opens once its sequence is
    acknowledged. It works on `capacity` requests at once and queues the rest.
    """

    def __init__(self, fleet, machine, capacity, work_seconds, says_born=False):
        self.fleet, self.machine, self.record = fleet, machine, fleet.record
        self.says_born, self.born = says_born, 0
        self.capacity, self.work_seconds = capacity, work_seconds
        self.outbound = fleet.at(machine, "outbound")
        self.control = fleet.at(machine, "control")
        self.transport, self.beats, self.running = None, None, set()
        self.lives, self.arrivals, self.runs, self.lost = 0, [], [], []
        self.id, self.state, self.calls, self.flows = None, None, 0, {}
        self.drain_acked_at, self.slots = None, None

    async def start(self):
        """Starts the next incarnation."""
        self.lives += 1
        self.id = f"i-{self.machine}-{self.lives}"
        self.state, self.calls, self.flows, self.drain_acked_at = "ready", 0, {}, None
        self.started_at, self.born = time.monotonic(), int(time.time() * 1000)
        self.slots = asyncio.Semaphore(self.capacity)
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.fleet.at(self.machine, "app"))
        self.beats = asyncio.create_task(self.beat_on())
        self.record.note(f"backend {self.id} starts")

    def end(self, why):
        """Ends this incarnation: its work and its flows are gone."""
        self.beats.cancel()
        for task in list(self.running):
            task.cancel()
        self.transport.close()
        self.record.say(f"backend {self.id} {why}; {len(self.running)} requests were in work")
        self.running.clear()
        self.flows = {}

    async def beat_on(self):
        while True:
            asyncio.create_task(self.beat())
            await asyncio.sleep(self.fleet.heartbeat_ms / 1000)

    async def beat(self):
        self.calls += 1
        id_, state, call = self.id, self.state, self.calls
        cold = max(0, int(2000 - (time.monotonic() - self.started_at) * 1000))
        body = {"Service": self.fleet.service, "Zone": self.fleet.machines[self.machine][2],
                "Address": "%s:%d" % self.fleet.at(self.machine, "app"), "Version": "v1",
                "Capacity": self.capacity, "State": state, "ColdLeftMs": cold, "CallSeq": call}
        if self.says_born:
            body["born"] = self.born
        answer = await http_call(self.control, "PUT", f"/v1/instances/{id_}", body)
        status = answer[0] if answer else "no answer"
        self.record.note(f"heartbeat of {id_} CallSeq={call} State={state} -> {status}")
        is_taken = answer is not None and 200 <= answer[0] < 300
        if is_taken and state == "draining" and self.drain_acked_at is None and id_ == self.id:
            self.drain_acked_at = time.monotonic()
            self.record.say(f"{id_} is acknowledged as draining")

    async def leave(self):
        """Says at once that it drains, and goes on saying so."""
        self.state = "draining"
        await self.beat()

    async def delete(self):
        answer = await http_call(self.control, "DELETE", f"/v1/instances/{self.id}", None)
        self.record.say(f"DELETE of {self.id} -> {answer[0] if answer else 'no answer'}")
        return answer is not None and 200 <= answer[0] < 300

    def datagram_received(self, raw, _):
        packet = Packet(raw)
        if not packet.is_genuine:
            self.record.say(f"{self.id} got a packet that nobody wrote")
            return
        flow = self.flows.get((packet.source, packet.destination))
        is_syn = packet.flags & SYN and not packet.flags & ACK
        if is_syn:
            self.take_syn(packet, flow)
            return
        if flow is None or not 0 <= (packet.ack - flow.first - 1) % (1 << 32) < WINDOW:
            self.transport.sendto(packet.bounced(), self.outbound)
            return
        flow.is_open = True
        if packet.flags & RST:
            self.flows.pop((packet.source, packet.destination), None)
        elif packet.data:
            self.take_data(packet, flow)
        elif packet.flags & FIN:
            self.reply(packet, FIN | ACK, flow.first + flow.sent, packet.seq + 1)
            self.flows.pop((packet.source, packet.destination), None)

    def take_syn(self, packet, flow):
        if flow is None or flow.is_open:
            flow = Flow(random.getrandbits(32))
            self.flows[packet.source, packet.destination] = flow
            self.arrivals.append((time.monotonic(), self.id, packet.source))
            self.record.note(f"{self.id} gets a SYN of {packet.source[1]}")
        flow.next_seq = (packet.seq + 1) % (1 << 32)
        self.reply(packet, SYN | ACK, flow.first, packet.seq + 1)

    def take_data(self, packet, flow):
        answer = flow.answers.get(packet.seq)
        if answer is not None:
            if answer != "in work":
                self.reply(packet, ACK, *answer)
            return
        if packet.seq != flow.next_seq:
            return
        flow.answers[packet.seq] = "in work"
        flow.next_seq = (packet.seq + len(packet.data)) % (1 << 32)
        task = asyncio.create_task(self.work(packet, flow))
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    async def work(self, packet, flow):
        head = packet.data.decode().split("\r\n")
        request = next(line[12:] for line in head if line.startswith("Request-Id: "))
        id_ = self.id
        async with self.slots:
            self.runs.append((time.monotonic(), id_, request))
            self.record.note(f"{id_} runs {request}")
            await asyncio.sleep(random.uniform(0.5, 1.5) * self.work_seconds)
        body = json.dumps({"Answers": request, "By": id_}).encode()
        text = (f"HTTP/1.1 200 OK\r\nServer-Stamp: {id_}\r\nRequest-Id: {request}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        flow.answers[packet.seq] = (flow.first + flow.sent, flow.next_seq, text)
        self.reply(packet, ACK, *flow.answers[packet.seq])
        flow.sent += len(text)

    def reply(self, packet, flags, seq, ack, data=b""):
        raw = pack(packet.destination, packet.source, flags, seq, ack, data)
        self.transport.sendto(raw, self.outbound)


class Clients(asyncio.DatagramProtocol):
    """All clients: one address, a port for each flow.

    A SYN goes out with copies after 200 and 600 ms, and the attempt ends after 1.4 s or with a
    reset. Data that is not answered is sent again after 200 ms, the wait doubling to 1.6 s.
    """

    def __init__(self, fleet, router, route):
        self.fleet, self.router, self.route, self.record = fleet, router, route, fleet.record
        self.transport, self.port, self.flows, self.requests = None, 20_000, {}, 0

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.fleet.client_ip, self.fleet.ports["packets"]))

    def datagram_received(self, raw, _):
        packet = Packet(raw)
        flow = self.flows.get(packet.destination[1])
        is_reset = packet.flags & RST and packet.sum == 0 and not packet.data
        if flow is not None and packet.source == self.route and (packet.is_genuine or is_reset):
            flow.arrived.put_nowait(packet)
        elif flow is not None:
            self.record.say(f"client got a packet that nobody wrote on {flow.port}")

    def new_flow(self):
        self.port += 1
        flow = ClientFlow(self, self.port)
        self.flows[self.port] = flow
        return flow

    def next_id(self):
        self.requests += 1
        return f"r{self.requests}"

    async def one_request(self, method, deadline):
        """One request on a flow of its own. Returns its id and how it ended."""
        flow, request = self.new_flow(), self.next_id()
        self.record.note(f"client sends {request} ({method}) on {flow.port}")
        try:
            if not await flow.open():
                return request, "not opened"
            outcome = await flow.request(request, method, deadline)
            if outcome == "200":
                flow.finish()
            return request, outcome
        finally:
            self.record.note(f"client: {request} ends: {flow.outcome}")
            self.flows.pop(flow.port, None)


class ClientFlow:
    def __init__(self, clients, port):
        self.clients, self.port, self.arrived = clients, port, asyncio.Queue()
        self.source = (clients.fleet.client_ip, port)
        self.seq, self.ack, self.outcome, self.via = random.getrandbits(32), 0, None, None

    def send(self, flags, ack, data=b""):
        fleet = self.clients.fleet
        self.via = self.clients.router.choose(self.source, self.clients.route)
        raw = pack(self.source, self.clients.route, flags, self.seq, ack, data)
        self.clients.transport.sendto(raw, fleet.at(self.via, "packets"))

    async def receive(self, seconds):
        try:
            return await asyncio.wait_for(self.arrived.get(), max(seconds, 0.001))
        except asyncio.TimeoutError:
            return None

    async def open(self):
        began = time.monotonic()
        for copy, until in enumerate((0.2, 0.6, 1.4)):
            self.send(SYN, copy)
            while (left := began + until - time.monotonic()) > 0:
                packet = await self.receive(left)
                if packet is None:
                    break
                if packet.flags & RST:
                    self.outcome = "reset before it was open"
                    return False
                if packet.flags & SYN and packet.flags & ACK:
                    self.seq = (self.seq + 1) % (1 << 32)
                    self.ack = (packet.seq + 1) % (1 << 32)
                    self.send(ACK, self.ack)
                    return True
        self.outcome = "no SYN+ACK"
        return False

    async def request(self, request, method, deadline):
        body = b"x" * (300 if method == "POST" else 0)
        data = (f"{method} /work HTTP/1.1\r\nHost: service\r\nRequest-Id: {request}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        end, wait = time.monotonic() + deadline, 0.2
        while time.monotonic() < end:
            self.send(ACK, self.ack, data)
            again = min(time.monotonic() + wait, end)
            while (left := again - time.monotonic()) > 0:
                packet = await self.receive(left)
                if packet is None:
                    break
                if packet.flags & RST:
                    is_own = packet.sum == 0
                    near = (packet.seq - self.ack) % (1 << 32)
                    if is_own and min(near, (1 << 32) - near) > 76_800:
                        continue
                    self.outcome = "reset by the system" if is_own else "reset by its backend"
                    return self.outcome
                if packet.data and packet.seq == self.ack:
                    return self.take_answer(request, data, packet)
            wait = min(wait * 2, 1.6)
        self.outcome = "no answer by its deadline"
        return self.outcome

    def take_answer(self, request, data, packet):
        self.seq = (self.seq + len(data)) % (1 << 32)
        self.ack = (self.ack + len(packet.data)) % (1 << 32)
        self.send(ACK, self.ack)
        is_own = f"Request-Id: {request}\r\n".encode() in packet.data
        self.by = packet.data.split(b"Server-Stamp: ")[1].split(b"\r\n")[0].decode()
        self.outcome = "200" if is_own else "an answer to another request"
        return self.outcome

    def finish(self):
        self.send(FIN | ACK, self.ack)


async def wait_until(condition, seconds, what):
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise CannotRun(f"{what} did not happen in {seconds} s")
        await asyncio.sleep(0.05)


def configuration(version, fleet, route, kind):
    return {
        "Version": version,
        "Routes": [{"Name": "r-1", "Hostname": route[0], "PathPrefix": f"/{route[1]}/",
                    "Kind": kind, "TimeoutMs": 3000, "SloMs": 300, "Priority": 1,
                    "Service": fleet.service, "MaxAttempts": 2}],
        "Services": [{"Name": fleet.service, "HealthPath": "/health", "MaxConns": 2000,
                      "Protocol": "h1", "Tls": False}],
        "Limits": {"HeaderBytes": 16384, "BodyBytes": 262144, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000}}


def main(folder, play, limit=110):
    """Plays a case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    fleets = []

    async def bounded():
        for number in (signal.SIGTERM, signal.SIGINT):
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        return await asyncio.wait_for(play(record, has_trouble, fleets), limit)

    code = 2
    try:
        code = 1 if asyncio.run(bounded()) else 0
    except CannotRun as error:
        record.say(f"could not run: {error}")
    except (asyncio.TimeoutError, asyncio.CancelledError):
        record.say("could not run: stopped before the end")
    except OSError as error:
        record.say(f"could not run: {error}")
    finally:
        for fleet in fleets:
            fleet.close()
    verdict = {0: "HELD", 1: "BROKEN", 2: "NOT RUN"}[code]
    record.say(f"{verdict} (TROUBLE={'1' if has_trouble else '0'})")
    record.file.close()
    sys.exit(code)
