"""Loopback proxies that harm the links to a process.

A link passes everything on, or is in one of these modes:

- delay: each connection or datagram is held up for a while;
- reset: connections are reset after their first bytes, datagrams dropped by half;
- one_way: what is sent arrives, what is answered is lost;
- silence: nothing arrives, and nothing says so.
"""

import socket
import struct
import threading
import time

MODES = ("delay", "reset", "one_way", "silence")
DELAY_SECONDS = 0.3
POLL_SECONDS = 0.2
# Closing with this option set sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class TcpLink(threading.Thread):
    """Passes connections on to one address."""

    def __init__(self, target):
        super().__init__(daemon=True)
        self.target, self.mode = target, None
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()

    def run(self):
        while True:
            caller, _ = self.listener.accept()
            threading.Thread(target=self.carry, args=(caller,), daemon=True).start()

    def carry(self, caller):
        mode = self.mode
        if mode == "silence":
            time.sleep(2)
            caller.close()
            return
        if mode == "delay":
            time.sleep(DELAY_SECONDS)
        try:
            target = socket.create_connection(self.target, timeout=2)
        except OSError:
            self.reset(caller)
            return
        if mode == "reset":
            target.sendall(caller.recv(1 << 16))
            self.reset(caller)
            target.close()
            return
        back = threading.Thread(target=self.copy, args=(target, caller, mode == "one_way"),
                                daemon=True)
        back.start()
        self.copy(caller, target, False)

    @staticmethod
    def reset(connection):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.close()

    @staticmethod
    def copy(source, sink, lose):
        try:
            while data := source.recv(1 << 16):
                if not lose:
                    sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass


class UdpLink(threading.Thread):
    """Passes datagrams on to one address."""

    def __init__(self, target, chance):
        super().__init__(daemon=True)
        self.target, self.mode, self.chance = target, None, chance
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.address = self.socket.getsockname()

    def run(self):
        while True:
            packet, _ = self.socket.recvfrom(1 << 16)
            mode = self.mode
            lost = mode in ("silence", "one_way") or mode == "reset" and self.chance.random() < 0.5
            if lost:
                continue
            if mode == "delay":
                threading.Timer(DELAY_SECONDS, self.send, (packet,)).start()
            else:
                self.send(packet)

    def send(self, packet):
        try:
            self.socket.sendto(packet, self.target)
        except OSError:
            pass
