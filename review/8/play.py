"""An operator that keeps its connection sends an acknowledged configuration again, through a link
that loses packets."""

import json
import pathlib
import random
import socket
import threading
import time

from stand_ins import CannotRun, configuration, run_case

HERE = pathlib.Path(__file__).resolve().parent
ROUTES = 264
SEGMENT_BYTES = 1400
# The dose of `lossy` in kvc-assess.toml. TCP sends a lost segment again after 200 ms at the
# earliest.
LOSS, RESEND_S = 0.025, 0.2
PAUSE_S = 3.3
SECONDS = 100
# How long this operator waits for an answer: the pages say a second, longer for large bodies.
PATIENCE_S = 5.0


class Link(threading.Thread):
    """A TCP proxy that holds up the rest of a stream when a segment towards the target is lost."""

    def __init__(self, fleet, target, loss):
        super().__init__(daemon=True)
        self.fleet, self.target, self.loss, self.held = fleet, target, loss, 0.0
        self.listener = socket.socket()
        self.listener.bind((fleet.ip("client-2"), 0))
        self.listener.listen(16)
        self.address = self.listener.getsockname()

    def run(self):
        while not self.fleet.over:
            near, _ = self.listener.accept()
            try:
                far = socket.create_connection(self.target, 2)
                far.settimeout(None)
                far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError:
                near.close()
                continue
            threading.Thread(target=self.carry, args=(near, far, self.loss), daemon=True).start()
            threading.Thread(target=self.carry, args=(far, near, 0.0), daemon=True).start()

    def carry(self, source, target, loss):
        try:
            while data := source.recv(SEGMENT_BYTES):
                if random.random() < loss:
                    self.held += RESEND_S
                    time.sleep(RESEND_S)
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            target.close()


class Operator:
    """A sound HTTP/1.1 client: it keeps its connection between calls and follows a 307."""

    def __init__(self, fleet, links):
        self.fleet, self.links = fleet, links
        self.target, self.socket, self.file = next(iter(links)), None, None

    def connect(self):
        if self.socket:
            self.socket.close()
        self.socket = socket.create_connection(self.links[self.target].address, 2)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.settimeout(PATIENCE_S)
        self.file = self.socket.makefile("rb")

    def send(self, body):
        host = f"{self.target[0]}:{self.target[1]}"
        head = f"PUT /v1/config HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n" \
               f"Content-Length: {len(body)}\r\n\r\n"
        self.socket.sendall(head.encode() + body)
        status = self.file.readline()
        if not status:
            raise OSError("the connection is closed")
        headers = {}
        while (line := self.file.readline().strip()):
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        answer = self.file.read(int(headers.get("content-length", 0)))
        return int(status.split()[1]), headers, answer

    def order(self, body):
        """Status and body of the answer; None without a clear one. Sent again unchanged then."""
        for attempt in range(4):
            kept = self.socket is not None
            try:
                if not kept:
                    self.connect()
                status, headers, answer = self.send(body)
            except OSError as failure:
                self.fleet.record.note(f"operator gets no answer: {failure}")
                self.socket = None
                continue
            self.fleet.record.note(f"operator PUT /v1/config {'on a kept' if kept else 'on a new'} "
                                   f"connection -> {status} {answer[:80].decode()}")
            if headers.get("connection") == "close":
                self.socket.close()
                self.socket = None
            if status == 307:
                host, port = headers["location"].removeprefix("http://").split("/")[0].split(":")
                self.target, self.socket = (host, int(port)), None
                continue
            if status < 500:
                return status, answer
            self.socket = None
            self.target = random.choice(list(self.links))
        return None, b""


def play(fleet, trouble):
    for name in ("core-1", "core-2", "core-3"):
        fleet.start(name, True)
    time.sleep(2)
    links = {}
    for name in fleet.names("core"):
        target = fleet.address(name, "control")
        links[target] = Link(fleet, target, LOSS if trouble else 0.0)
        links[target].start()
    routes = {(f"127.198.{number // 64}.{number % 64 + 1}", 8080): "desk"
              for number in range(ROUTES)}
    body = json.dumps(configuration(7, routes)).encode()
    fleet.record.note(f"the configuration has version 7 and {len(body)} bytes")
    operator, end, acknowledged, sent = Operator(fleet, links), time.monotonic() + SECONDS, 0, 0
    breaks = []
    while time.monotonic() < end and not breaks:
        status, answer = operator.order(body)
        if status == 200:
            acknowledged += 1
        elif status is not None and acknowledged:
            breaks.append(f"CONFIG: a change that was acknowledged {acknowledged} times was sent "
                          f"again unchanged, with no other in between, and refused with {status}: "
                          f"{answer.decode()}")
        elif status is not None:
            raise CannotRun(f"the first order got {status}")
        sent += 1
        time.sleep(PAUSE_S)
    held = sum(link.held for link in links.values())
    fleet.record.note(f"{sent} orders, {acknowledged} acknowledged; lost packets held them up for "
                      f"{held:.1f} s together")
    return breaks


run_case(play, HERE)
