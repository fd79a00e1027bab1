"""Packets as PROTOCOL.md gives them, with a keyed sum that only the two ends know."""

import socket
import struct
import zlib

BOUNCED, SYN, FIN, RST, ACK = 1, 4, 8, 16, 64
# sum, len, seq, ack, flags, echo, src, dport, dst, sport
HEAD = struct.Struct(">IHIIBI4sH4sH")
KEY = b"a key of the stand-ins"


def _sum(len_, seq, ack, flags, src, dport, dst, sport, data):
    body = struct.pack(">HIIB4sH4sH", len_, seq, ack, flags & ~BOUNCED, src, dport, dst, sport)
    return zlib.crc32(KEY + body + data) or 1


def pack(source, destination, flags, seq, ack, data=b""):
    src, dst = socket.inet_aton(source[0]), socket.inet_aton(destination[0])
    seq, ack = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF
    total = _sum(len(data), seq, ack, flags, src, destination[1], dst, source[1], data)
    return HEAD.pack(total, len(data), seq, ack, flags, 0, src, destination[1], dst,
                     source[1]) + data


class Packet:
    """A packet that was received."""

    def __init__(self, raw):
        (self.sum, length, self.seq, self.ack, self.flags, _, src, dport, dst,
         sport) = HEAD.unpack(raw[:HEAD.size])
        self.raw, self.data = raw, raw[HEAD.size:]
        self.source = (socket.inet_ntoa(src), sport)
        self.destination = (socket.inet_ntoa(dst), dport)
        expected = _sum(length, self.seq, self.ack, self.flags, src, dport, dst, sport, self.data)
        self.is_genuine = length == len(self.data) and self.sum == expected

    def bounced(self):
        raw = bytearray(self.raw)
        raw[14] |= BOUNCED
        return bytes(raw)
