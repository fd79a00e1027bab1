"""Packets as callers and back ends write them."""

import socket
import struct

SYN, FIN, RST, ACK, BOUNCED = 4, 8, 16, 64, 1
HEAD = struct.Struct(">4xHIIB4x4sH4sH")


def pack(source, destination, flags, sequence, acknowledged, data=b""):
    return HEAD.pack(len(data), sequence, acknowledged, flags, socket.inet_aton(source[0]),
                     destination[1], socket.inet_aton(destination[0]), source[1]) + data


def unpack(packet):
    _, sequence, acknowledged, flags, ip, dport, dip, sport = HEAD.unpack(packet[:HEAD.size])
    source = (socket.inet_ntoa(ip), sport)
    destination = (socket.inet_ntoa(dip), dport)
    return source, destination, flags, sequence, acknowledged, packet[HEAD.size:]
