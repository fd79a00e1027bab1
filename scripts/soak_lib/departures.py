"""Back ends that leave, crash and come back while their agents and the balancers restart.

A schedule is a function of its seed. Each back end goes through cycles: some of its heartbeats
are held up for seconds, its agent is killed or stopped as planned, it crashes and another life
starts at its address, all in random order, before and after it leaves by saying that it drains
or by deregistering alone. It serves on for seconds with open flows and ends. Cycles of all back
ends overlap, and balancers and replicas restart meanwhile, so that flows come through other
balancers. Callers keep using their flows until the back end is gone.

Seeds from `FIRST_EXTENDED_SEED` on also draw back ends that have just started when they leave
or when agents restart, with their first heartbeats held up; all replicas and one agent, or all
processes, that are killed at the same moment; flows that rest for longer than the machines need
to be in touch again; and downloads of more than 4 MiB.

Checked from outside, by the rules of the platform:

- FLOW: no open flow of a living back end is reset by the system;
- DRAIN: no new flow reaches a back end later than `DRAIN_SECONDS` after its acknowledged
  departure;
- no request runs twice, and an answer belongs to its request.

FLOW always counts during planned work. Both count after a kill or a late heartbeat once the
machines have been in touch for `CONTACT_SECONDS` again, or for twice as long after a kill of
all processes.
"""

import asyncio
import collections
import contextlib
import hashlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import time

from soak_lib.packets import ACK, BOUNCED, FIN, RST, SYN, pack, unpack

REPLICAS, CLIENT = (11, 12, 13), 201
ROUTE = ("198.18.0.1", 8080)
HEARTBEAT_SECONDS, WORK_SECONDS, CAPACITY = 0.5, 0.03, 8
CONTACT_SECONDS, DRAIN_SECONDS = 4.0, 3.0
# How long a heartbeat is held up.
HOLD_SECONDS = (1.5, 4.0)
# How long a back end serves on after its departure, and how long its address is unused then.
SERVES_ON_SECONDS, AWAY_SECONDS = (7.0, 12.0), (0.3, 1.5)
# A flow rests for so long between two requests.
REST_SECONDS = (0.3, 2.0)
LONG_FLOWS_A_BACKEND, SHORT_FLOWS_A_BACKEND = 12, 3
REQUEST_SECONDS = 3.0
# Each life begins its flows at sequences of its own.
SEQUENCES_OF_A_LIFE, LIVES = 1_000_000, 40
# What seeds from this one on draw as well.
FIRST_EXTENDED_SEED = 1000
# A resting flow is idle for so long; it may be forgotten after 15 s.
LONG_REST_SECONDS = (9.0, 13.0)
RESTING_FLOWS_A_BACKEND, DOWNLOADS = 4, 2
# An answer of a download, and what one packet carries of it.
SHEET_BYTES, PACKET_BYTES = 19_200, 1_200
# A download goes on without rests until its caller has received this much.
DOWNLOAD_BYTES = 6 << 20
# Steps that may come before and after a departure, with their chances.
STEPS = {"hold": 0.5, "kill_agent": 0.4, "stop_agent": 0.4, "crash": 0.35}
LATER_STEPS = {"kill_agent": 0.4, "stop_agent": 0.4, "hold_end": 0.5}


def schedule(seed, seconds, backends, balancers):
    """The steps of a run, in order of time: (at, step, number of the machine)."""
    chance, steps = random.Random(seed), []
    for number in range(backends):
        at = 5 + chance.uniform(0, 4)
        while at < seconds - 8:
            before = [step for step, share in STEPS.items() if chance.random() < share]
            after = [step for step, share in LATER_STEPS.items() if chance.random() < share]
            chance.shuffle(before)
            chance.shuffle(after)
            departure = chance.choice(("drain", "delete"))
            for step in (*before, departure, *after):
                steps.append((at, step, number))
                at += chance.uniform(0.2, 1.6)
            at += chance.uniform(*SERVES_ON_SECONDS)
            steps.append((at, "end", number))
            at += chance.uniform(*AWAY_SECONDS)
            steps.append((at, "start", number))
            at += chance.uniform(3, 6)
    at = 6.0
    while at < seconds - 3:
        step = chance.choice(("stop_balancer", "stop_balancer", "kill_balancer"))
        steps.append((at, step, chance.randrange(balancers)))
        at += chance.uniform(1.0, 2.5)
    if seconds >= 40 and chance.random() < 0.3:
        steps.append((chance.uniform(15, seconds - 15), "kill_replicas", 0))
    return sorted(steps + extended_schedule(seed, seconds, backends))


def extended_schedule(seed, seconds, backends):
    """Further steps of a seed from `FIRST_EXTENDED_SEED` on, in no order."""
    chance, steps = random.Random(f"extended {seed}"), []
    if seed < FIRST_EXTENDED_SEED:
        return steps
    for number in range(backends):
        at = 7 + chance.uniform(0, 8)
        while at < seconds - 16:
            steps += young_departure(chance, at, number)
            at += chance.uniform(18, 26)
    if chance.random() < 0.5:
        number = chance.randrange(backends)
        at = chance.uniform(12, seconds - 16)
        steps += [(at, chance.choice(("drain", "delete")), number),
                  (at + chance.uniform(0.1, 0.5), "kill_replicas_and_agent", number)]
        steps.append((at - chance.uniform(0.1, 0.8), "hold", number))
    if chance.random() < 0.4:
        number, at = chance.randrange(backends), chance.uniform(9, seconds - 22)
        # The back end has just started.
        steps += [(at - chance.uniform(0.6, 1.2), "crash", number), (at, "kill_all", 0)]
    return steps


def young_departure(chance, at, number):
    """A back end starts, its agent restarts, and it leaves with its first heartbeats held up."""
    steps = [(at, "crash", number)]
    at += chance.uniform(0.0, 0.6)
    if chance.random() < 0.7:
        steps.append((at, chance.choice(("kill_agent", "stop_agent")), number))
        at += chance.uniform(0.2, 1.0)
    steps.append((at, "hold", number))
    at += chance.uniform(0.2, 1.2)
    steps.append((at, chance.choice(("drain", "delete", "crash")), number))
    if chance.random() < 0.4:
        at += chance.uniform(0.1, 1.0)
        steps.append((at, chance.choice(("kill_agent", "stop_agent")), number))
    return steps


class Findings:
    """Broken rules, and counts."""

    def __init__(self):
        self.broken, self.counts, self.began = [], collections.Counter(), time.monotonic()

    def note(self, rule, text):
        self.broken.append(rule)
        print(f"BROKEN {rule} at {time.monotonic() - self.began:.2f}: {text}", flush=True)


class Fleet:
    """The processes under test, one loopback address each."""

    def __init__(self, program, folder, backends, balancers, seed):
        self.program, self.folder = program, pathlib.Path(folder)
        self.net = f"127.{100 + seed % 100}.{os.getpid() % 250}"
        self.balancers = [21 + number for number in range(balancers)]
        self.agents = [81 + number for number in range(backends)]
        names = ("messages", "packets", "ready", "control", "app", "outbound")
        self.ports = dict(zip(names, self.free_ports(len(names))))
        self.processes, self.restarts = {}, {}
        self.logs = open(self.folder / "log.jsonl", "ab")
        # When each machine was last disturbed by something that isn't planned work.
        self.disturbed_at = collections.defaultdict(float)
        self.core_disturbed_at = 0.0
        self.findings, self.over = Findings(), False

    def free_ports(self, count):
        """Different ports, as all of them are used on one machine."""
        with contextlib.ExitStack() as probes:
            ports = []
            for _ in range(count):
                probe = probes.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
                probe.bind((f"{self.net}.{CLIENT}", 0))
                ports.append(probe.getsockname()[1])
            return ports

    def at(self, machine, port):
        return f"{self.net}.{machine}", self.ports[port]

    def start(self, machine, founding=False):
        text = lambda name: "%s:%d" % self.at(machine, name)
        kind = "control" if machine in REPLICAS else "side" if machine in self.agents else "front"
        listen = {"DatagramAddr": text("packets"), "Ready": text("ready"),
                  "Control": text("control"), "outbound": text("outbound")}
        settings = {
            "NodeName": f"machine-{machine}", "Serves": [kind], "Ip": self.at(machine, "app")[0],
            "Zone": "a", "Zones": {"a": "r"}, "Listen": listen, "Bootstrap": founding,
            "PortRange": [self.ports["messages"]] * 2, "Service": "desk", "app": text("app"),
            "Seeds": ["%s:%d" % self.at(it, "control") for it in REPLICAS],
            "DataDir": str(self.folder / f"data-{machine}"),
            "HeartbeatMs": int(HEARTBEAT_SECONDS * 1000)}
        path = self.folder / f"{machine}.json"
        path.write_text(json.dumps(settings))
        environment = {"PETRELLATCH_BOOT": str(path), "PATH": os.environ["PATH"]}
        self.processes[machine] = subprocess.Popen(
            [self.program], env=environment, stdout=self.logs, stderr=self.logs)

    async def restart(self, machine, number, pause):
        """Ends a process by a signal and starts it again; one restart at a time a machine."""
        lock = self.restarts.setdefault(machine, asyncio.Lock())
        async with lock:
            if number == signal.SIGKILL:
                self.disturb(machine)
            process = self.processes[machine]
            process.send_signal(number)
            end = time.monotonic() + 8
            while process.poll() is None:
                if time.monotonic() > end:
                    self.findings.note("STOP", f"machine-{machine} did not stop in 8 s")
                    process.kill()
                await asyncio.sleep(0.02)
            await asyncio.sleep(pause)
            if not self.over:
                self.start(machine)
            if number == signal.SIGKILL:
                self.disturb(machine)

    def disturb(self, machine, extra=0.0):
        """Notes a disturbance, after which machines are out of touch for longer by `extra`."""
        at = time.monotonic() + extra
        self.disturbed_at[machine] = max(at, self.disturbed_at[machine])
        if machine in REPLICAS:
            self.core_disturbed_at = max(at, self.core_disturbed_at)

    def are_in_touch(self, *machines):
        last = max([self.core_disturbed_at, *(self.disturbed_at[it] for it in machines)])
        return time.monotonic() - last > CONTACT_SECONDS + 0.2

    async def call(self, machine, method, path, body=None, port="control", timeout=1.0):
        """The status and the Location of the answer, or None."""
        try:
            return await asyncio.wait_for(
                self.call_at(self.at(machine, port), method, path, body), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return None

    @staticmethod
    async def call_at(address, method, path, body):
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\n"
                         f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
            lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
            await reader.readexactly(int(fields.get("content-length", 0)))
            return int(lines[0].split()[1]), fields.get("location")
        finally:
            writer.close()

    async def configure(self, seconds=40):
        """Puts the configuration at any replica until it is acknowledged."""
        ip, port = ROUTE
        body = {"Version": 1, "Services": [{"Name": "desk"}],
                "Routes": [{"Name": "r", "Hostname": ip, "PathPrefix": f"/{port}/",
                            "TimeoutMs": 3000, "SloMs": 300, "Priority": 1, "Service": "desk"}]}
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for replica in REPLICAS:
                answer = await self.call(replica, "PUT", "/v1/config", body)
                if answer and answer[0] == 200:
                    return
            await asyncio.sleep(0.2)
        raise TimeoutError("the configuration was not acknowledged")

    def close(self):
        self.over = True
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()


class Life:
    """One incarnation of a back end."""

    def __init__(self, machine, number, keeps_name, reports_start):
        self.id = f"i-{machine}" if keeps_name else f"i-{machine}-{number}"
        self.name = f"backend-{machine}-{number}"
        self.first = SEQUENCES_OF_A_LIFE * ((machine - 81) * LIVES + number + 1)
        self.born = int(time.time() * 1000) if reports_start else None
        self.calls, self.state, self.flows = 0, "ready", {}
        self.left_at, self.says_nothing, self.is_alive = None, False, True


class Backend(asyncio.DatagramProtocol):
    """The back end beside one agent, in successive lives."""

    def __init__(self, fleet, machine, chance, keeps_name, reports_start):
        self.fleet, self.machine, self.chance = fleet, machine, chance
        self.keeps_name, self.reports_start = keeps_name, reports_start
        self.life, self.lives, self.transport, self.hold_until = None, [], None, 0.0
        self.busy = [0.0] * CAPACITY

    async def start(self):
        if self.life is not None:
            return
        number = len(self.lives)
        self.life = Life(self.machine, number, self.keeps_name, self.reports_start)
        self.lives.append(self.life)
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.fleet.at(self.machine, "app"))
        asyncio.create_task(self.beat_on(self.life))

    def end(self):
        """The process is gone, and its flows with it."""
        if self.life is not None:
            self.life.is_alive, self.life.flows, self.life = False, {}, None
            self.transport.close()

    async def beat_on(self, life):
        while life.is_alive and not life.says_nothing and not self.fleet.over:
            asyncio.create_task(self.beat(life))
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def beat(self, life):
        life.calls += 1
        state = life.state
        body = {"Service": "desk", "Address": "%s:%d" % self.fleet.at(self.machine, "app"),
                "Zone": "a", "Version": "v1", "Capacity": CAPACITY, "State": state,
                "ColdLeftMs": 0, "CallSeq": life.calls}
        if life.born is not None:
            body["born"] = life.born
        path = f"/v1/instances/{life.id}"
        if time.monotonic() < self.hold_until:
            # It arrives late, whatever has become of its sender by then.
            await asyncio.sleep(self.chance.uniform(*HOLD_SECONDS))
            self.fleet.disturb(self.machine)
            await self.fleet.call(self.machine, "PUT", path, body)
            self.fleet.disturb(self.machine)
            return
        answer = await self.fleet.call(self.machine, "PUT", path, body)
        if answer and answer[0] == 200 and state == "draining" and life.left_at is None:
            life.left_at = time.monotonic()

    async def leave(self, life, departure):
        if departure == "drain":
            life.state = "draining"
            return
        life.says_nothing = True
        while life.is_alive and life.left_at is None and not self.fleet.over:
            answer = await self.fleet.call(self.machine, "DELETE", f"/v1/instances/{life.id}")
            if answer and answer[0] == 200:
                life.left_at = time.monotonic()
            else:
                await asyncio.sleep(0.2)

    def datagram_received(self, packet, _):
        life = self.life
        if life is None:
            return
        source, destination, flags, sequence, acknowledged, data = unpack(packet)
        flow = life.flows.get(source)
        if flags == SYN:
            if flow is None or flow["open"]:
                self.note_new_flow(life)
                life.flows[source] = {"open": False, "answers": {}, "next": life.first + 1}
            self.reply(destination, source, SYN | ACK, life.first, sequence)
        elif flow is None or not 0 < acknowledged - life.first <= flow["next"] - life.first:
            head = bytearray(packet)
            head[14] |= BOUNCED
            self.transport.sendto(bytes(head), self.fleet.at(self.machine, "outbound"))
        elif flags & FIN:
            del life.flows[source]
            self.reply(destination, source, FIN | ACK, acknowledged, sequence + 1)
        else:
            flow["open"] = True
            if data:
                self.take_request(life, flow, (source, destination, sequence, data))

    def note_new_flow(self, life):
        late = life.left_at is not None and time.monotonic() > life.left_at + DRAIN_SECONDS
        if late and self.fleet.are_in_touch(self.machine, *self.fleet.balancers):
            after = time.monotonic() - life.left_at
            self.fleet.findings.note("DRAIN", f"{life.name} got a flow {after:.1f} s after it left")

    def take_request(self, life, flow, request):
        source, destination, sequence, data = request
        answer = flow["answers"].get(sequence)
        if answer is None:
            self.fleet.findings.counts["runs"] += 1
            text = f"{life.name}:".encode() + data
            if data.startswith(b"sheet-"):
                text += b"." * SHEET_BYTES + b"\n"
            answer = flow["answers"][sequence] = (flow["next"], text, self.slot())
            flow["next"] += len(text)
            runs = self.fleet.runs
            runs[data] += 1
            if runs[data] > 1:
                self.fleet.findings.note("TWICE", f"{data} ran {runs[data]} times")
        first, text, done = answer
        delay = max(0.0, done - time.monotonic())
        acknowledged = sequence + len(data)
        for start in range(0, len(text), PACKET_BYTES):
            part = text[start:start + PACKET_BYTES]
            packet = (destination, source, ACK, first + start, acknowledged, part)
            asyncio.get_running_loop().call_later(delay, self.answer, life, packet)

    def slot(self):
        """When a request that comes now is done."""
        index = self.busy.index(min(self.busy))
        self.busy[index] = max(self.busy[index], time.monotonic()) + WORK_SECONDS
        return self.busy[index]

    def answer(self, life, packet):
        if life.is_alive:
            self.reply(*packet)

    def reply(self, *packet):
        self.transport.sendto(pack(*packet), self.fleet.at(self.machine, "outbound"))


class Router:
    """Sends each flow to one of the balancers that are ready."""

    def __init__(self, fleet):
        self.fleet, self.missed = fleet, {it: 2 for it in fleet.balancers}

    async def probe(self, balancer):
        while not self.fleet.over:
            answer = await self.fleet.call(balancer, "GET", "/v1/ready", None, "ready", 0.45)
            is_ready = bool(answer) and answer[0] == 200
            self.missed[balancer] = 0 if is_ready else self.missed[balancer] + 1
            await asyncio.sleep(0.4)

    def choose(self, port):
        ready = [it for it, missed in self.missed.items() if missed < 2] or list(self.missed)
        weight = lambda it: hashlib.sha1(f"{it}|{port}".encode()).digest()
        return max(ready, key=weight)


class FlowUse:
    """How a caller uses its flows."""

    def __init__(self, limit=None, rest=REST_SECONDS, bytes_without_rest=0):
        self.limit, self.rest, self.bytes_without_rest = limit, rest, bytes_without_rest


class Callers(asyncio.DatagramProtocol):
    """All callers: one address, a port for each flow."""

    def __init__(self, fleet, router, backends, chance):
        self.fleet, self.router, self.backends, self.chance = fleet, router, backends, chance
        self.queues, self.port, self.requests, self.transport = {}, 1024, 0, None

    async def start(self, long_flows, short_flows, resting_flows, downloads):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.fleet.at(CLIENT, "packets"))
        uses = [FlowUse()] * long_flows + [FlowUse(limit=1)] * short_flows
        uses += [FlowUse(rest=LONG_REST_SECONDS)] * resting_flows
        uses += [FlowUse(bytes_without_rest=DOWNLOAD_BYTES)] * downloads
        return [asyncio.create_task(self.use_flows(use)) for use in uses]

    def datagram_received(self, packet, _):
        view = unpack(packet)
        queue = self.queues.get(view[1][1])
        if queue is not None and view[0] == ROUTE:
            queue.put_nowait(view)

    def send(self, port, *fields):
        balancer = self.router.choose(port)
        source = (self.fleet.at(CLIENT, "packets")[0], port)
        self.transport.sendto(pack(source, ROUTE, *fields), self.fleet.at(balancer, "packets"))
        return balancer

    async def receive(self, port, until):
        try:
            left = max(until - time.monotonic(), 0.001)
            return await asyncio.wait_for(self.queues[port].get(), left)
        except asyncio.TimeoutError:
            return None

    async def use_flows(self, use):
        """Uses one flow after the other, each until it ends or for its number of requests."""
        while not self.fleet.over:
            self.port = 1024 + (self.port - 1023) % 60_000
            port, counts = self.port, self.fleet.findings.counts
            self.queues[port] = asyncio.Queue()
            try:
                first = await self.open(port)
                counts["opened" if first is not None else "not_opened"] += 1
                if first is not None:
                    await self.use_flow(port, first, use)
            finally:
                del self.queues[port]
            await asyncio.sleep(0.1)

    async def open(self, port):
        """Returns the back end's sequence number, or None."""
        began = time.monotonic()
        for copy, until in enumerate((0.2, 0.6, 1.4)):
            self.send(port, SYN, 100, copy)
            while (answer := await self.receive(port, began + until)) is not None:
                if answer[2] & RST:
                    return None
                if answer[2] == SYN | ACK:
                    self.send(port, ACK, 101, answer[3] + 1)
                    return answer[3]
        return None

    async def use_flow(self, port, first, use):
        sequence, acknowledged, answered = 101, first + 1, 0
        life = next(it for backend in self.backends for it in backend.lives if it.first == first)
        counts = self.fleet.findings.counts
        while not self.fleet.over:
            self.requests += 1
            downloads = acknowledged - first < use.bytes_without_rest
            body = f"{'sheet' if downloads else 'request'}-{self.requests}".encode()
            answer = await self.request(port, life, sequence, acknowledged, body)
            if answer is None:
                return
            if answer.split(b":", 1)[1].split(b".", 1)[0] != body:
                self.fleet.findings.note("MIXED", f"{body} got the answer {answer[:60]}")
            counts["answered"] += 1
            sequence, acknowledged = sequence + len(body), acknowledged + len(answer)
            answered += 1
            if answered == use.limit:
                self.send(port, FIN | ACK, sequence, acknowledged)
                return
            self.send(port, ACK, sequence, acknowledged)
            if acknowledged - first >= use.bytes_without_rest:
                await asyncio.sleep(self.chance.uniform(*use.rest))

    async def request(self, port, life, sequence, acknowledged, body):
        """The whole answer, or None."""
        end, wait, parts = time.monotonic() + REQUEST_SECONDS, 0.2, {}
        while time.monotonic() < end:
            balancer = self.send(port, ACK, sequence, acknowledged, body)
            until = min(time.monotonic() + wait, end)
            while (answer := await self.receive(port, until)) is not None:
                if answer[2] & RST:
                    self.note_reset(port, life, balancer)
                    return None
                parts[answer[3]] = answer[5]
                text = contiguous(parts, acknowledged)
                if text and (text.endswith(b"\n") or not body.startswith(b"sheet-")):
                    return text
            wait = min(2 * wait, 1.6)
        self.fleet.findings.counts["unanswered"] += 1
        return None

    def note_reset(self, port, life, balancer):
        self.fleet.findings.counts["reset"] += 1
        source = (self.fleet.at(CLIENT, "packets")[0], port)
        machine = 81 + (life.first // SEQUENCES_OF_A_LIFE - 1) // LIVES
        flow = life.flows.get(source)
        is_held = life.is_alive and flow is not None and flow["open"]
        if is_held and self.fleet.are_in_touch(machine, balancer):
            self.fleet.findings.note(
                "FLOW", f"a flow of {life.name} was reset through machine-{balancer}; "
                f"left={life.left_at is not None}")


def contiguous(parts, first):
    """The data from this sequence number on, as far as no part of it is missing."""
    text = b""
    while parts.get(first + len(text)):
        text += parts[first + len(text)]
    return text


async def kill_at_once(fleet, machines, pause, extra=0.0):
    """Kills processes at the same moment, and starts them again together."""
    await asyncio.gather(*(fleet.restart(it, signal.SIGKILL, pause) for it in machines))
    for machine in machines:
        fleet.disturb(machine, extra)


async def take_step(fleet, backends, chance, step, number):
    """One step of the schedule. Back ends without a life skip theirs."""
    pause = chance.uniform(0.05, 0.8)
    if step.endswith("_balancer"):
        how = signal.SIGTERM if step == "stop_balancer" else signal.SIGKILL
        await fleet.restart(fleet.balancers[number], how, pause)
        return
    if step == "kill_replicas":
        await kill_at_once(fleet, REPLICAS, pause)
        return
    if step == "kill_all":
        machines = (*REPLICAS, *fleet.balancers, *fleet.agents)
        await kill_at_once(fleet, machines, pause, CONTACT_SECONDS)
        return
    backend = backends[number]
    if step == "kill_replicas_and_agent":
        await kill_at_once(fleet, (*REPLICAS, backend.machine), pause)
        return
    if step.endswith("_agent"):
        how = signal.SIGTERM if step == "stop_agent" else signal.SIGKILL
        await fleet.restart(backend.machine, how, pause)
    elif step == "hold":
        backend.hold_until = time.monotonic() + chance.uniform(0.4, 1.4)
    elif step == "hold_end":
        backend.hold_until = 0.0
    elif step == "start":
        await backend.start()
    elif step == "end":
        backend.end()
    elif step == "crash":
        backend.end()
        await asyncio.sleep(0.05)
        await backend.start()
    elif backend.life is not None:
        await backend.leave(backend.life, step)


async def play(fleet, seed, seconds, steps):
    """Plays a schedule. Returns the findings."""
    chance = random.Random(seed + 1)
    fleet.runs = collections.Counter()
    for machine in (*REPLICAS, *fleet.balancers, *fleet.agents):
        fleet.start(machine, True)
    reports_start, keeps_name = chance.random() < 0.5, chance.random() < 0.5
    backends = [Backend(fleet, machine, chance, keeps_name and reports_start, reports_start)
                for machine in fleet.agents]
    for backend in backends:
        await backend.start()
    await fleet.configure()
    router = Router(fleet)
    tasks = [asyncio.create_task(router.probe(it)) for it in fleet.balancers]
    callers = Callers(fleet, router, backends, chance)
    began = time.monotonic()
    fleet.findings.began = began
    is_extended = seed >= FIRST_EXTENDED_SEED
    tasks += await callers.start(
        LONG_FLOWS_A_BACKEND * len(backends), SHORT_FLOWS_A_BACKEND * len(backends),
        RESTING_FLOWS_A_BACKEND * len(backends) * is_extended, DOWNLOADS * is_extended)
    running = []
    for at, step, number in steps:
        await asyncio.sleep(max(0.0, began + at - time.monotonic()))
        running.append(asyncio.create_task(take_step(fleet, backends, chance, step, number)))
    await asyncio.sleep(max(0.0, began + seconds - time.monotonic()))
    await asyncio.wait_for(asyncio.gather(*running), 20)
    for machine, process in fleet.processes.items():
        if process.poll() is not None:
            fleet.findings.note("ENDED", f"machine-{machine} ended by itself")
    fleet.over = True
    for task in tasks:
        task.cancel()
    return fleet.findings
