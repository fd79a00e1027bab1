"""Callers that press: bursts over all priorities, and flows of many requests."""

import collections
import socket
import threading
import time

from soak_lib.packets import ACK, FIN, RST, SYN, pack, unpack

# A caller sends again after this, the wait doubling, and gives up at its deadline.
FIRST_RESEND_SECONDS = 0.2
LONG_DEADLINE_SECONDS = 8.0
LONG_REQUESTS = 40
LONG_PAUSE_SECONDS = 0.3
BURST_DEADLINE_SECONDS = 1.4


class LongCaller(threading.Thread):
    """Opens a flow, sends many requests on it, and wants each answered by the
    back end that took the flow, or to be told by a reset."""

    def __init__(self, fleet, machine, route):
        super().__init__(daemon=True)
        self.fleet, self.machine, self.route, self.number = fleet, machine, route, 0
        self.socket = fleet.caller_socket(machine)
        self.source = None

    def run(self):
        while not self.fleet.over:
            self.fleet.findings.count(self.flow())
            time.sleep(LONG_PAUSE_SECONDS)

    def flow(self):
        self.number += 1
        self.source = (self.fleet.ip(self.machine), 1024 + self.number % 60000)
        answer = self.exchange(SYN, 100, 0, b"", 1.4)
        if answer is None or answer[2] & RST:
            return "long_refused"
        sequence, acknowledged, owner = 101, answer[3] + 1, None
        for request in range(LONG_REQUESTS):
            body = f"long-{self.machine}-{self.number}-{request}".encode()
            answer = self.exchange(ACK, sequence, acknowledged, body, LONG_DEADLINE_SECONDS)
            if self.fleet.over:
                return "long_ended"
            if answer is None:
                self.fleet.findings.note(f"{body} on {self.source} was told nothing for "
                                         f"{LONG_DEADLINE_SECONDS:.0f} s")
                return "long_untold"
            if answer[2] & RST:
                return "long_reset"
            name = answer[5].split(b":")[0]
            if not answer[5].endswith(b":" + body) or owner not in (None, name):
                self.fleet.findings.note(f"{body} of {owner} got the answer {answer[5]}")
            owner, sequence = name, sequence + len(body)
            acknowledged = answer[3] + len(answer[5])
            self.fleet.findings.count("long_requests")
            time.sleep(LONG_PAUSE_SECONDS)
        self.exchange(FIN | ACK, sequence, acknowledged, b"", 0.5)
        return "long_whole"

    def exchange(self, flags, sequence, acknowledged, body, seconds):
        end, wait, copy = time.monotonic() + seconds, FIRST_RESEND_SECONDS, 0
        while time.monotonic() < end and not self.fleet.over:
            number = copy if flags == SYN else acknowledged
            packet = pack(self.source, self.route, flags, sequence, number, body)
            self.socket.sendto(packet, self.fleet.any_balancer(self.number + copy))
            answer = self.receive(flags, body, min(wait, max(end - time.monotonic(), 0.01)))
            if answer is not None:
                return answer
            copy, wait = copy + 1, min(wait * 2, 1.6)
        return None

    def receive(self, flags, body, seconds):
        """The next packet that answers: a reset, a SYN+ACK to a SYN, data to data."""
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            self.socket.settimeout(left)
            try:
                packet = unpack(self.socket.recv(2000))
            except (TimeoutError, ConnectionError):
                return None
            is_own = packet[1] == self.source
            is_late = body and packet[5] and not packet[5].endswith(b":" + body)
            answers = packet[2] & RST or (packet[5] if body else packet[2] & flags)
            if is_own and answers and not is_late:
                return packet
        return None


class Burst:
    """Many short flows at once, in turn on each route; counts by route."""

    def __init__(self, fleet, machine, routes):
        self.fleet, self.machine, self.routes = fleet, machine, routes
        self.socket, self.number = fleet.caller_socket(machine), 0
        self.open = {}

    def play(self, rate, seconds):
        """Returns how many flows of each route were served, reset or silent."""
        outcomes = collections.defaultdict(collections.Counter)
        begin = time.monotonic()
        sent = 0
        while (now := time.monotonic()) < begin + seconds + BURST_DEADLINE_SECONDS:
            while now < begin + seconds and sent < (now - begin) * rate:
                self.call(self.routes[sent % len(self.routes)])
                sent += 1
            self.socket.settimeout(0.002)
            try:
                self.handle(unpack(self.socket.recv(2000)), outcomes)
            except (TimeoutError, ConnectionError):
                continue
        for route in self.open.values():
            outcomes[route]["silent"] += 1
        self.open.clear()
        return outcomes

    def call(self, route):
        self.number += 1
        source = (self.fleet.ip(self.machine), 1024 + self.number % 60000)
        self.open[source] = route
        self.send(source, route, SYN, 100, 0, b"")

    def send(self, source, route, flags, sequence, acknowledged, body):
        packet = pack(source, route, flags, sequence, acknowledged, body)
        self.socket.sendto(packet, self.fleet.any_balancer(source[1]))

    def handle(self, packet, outcomes):
        source, flags = packet[1], packet[2]
        route = self.open.get(source)
        if route is None:
            return
        if flags & RST or packet[5]:
            outcomes[route]["reset" if flags & RST else "served"] += 1
            del self.open[source]
            if packet[5]:
                self.send(source, route, FIN | ACK, 100, packet[3] + 1, b"")
        elif flags & SYN:
            body = f"burst-{self.machine}-{self.number}-{source[1]}".encode()
            self.send(source, route, ACK, 100, packet[3] + 1, body)
