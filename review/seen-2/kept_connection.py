"""Not a case: shows that a configuration which was acknowledged is refused with 400 if it comes
again on a connection that was idle for 3 s and its body arrives 1.1 s after its head. The pages
name no disruption that does this to the operator. Exits with 1 if it is refused."""

import json
import pathlib
import socket
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "4"))
from stand_ins import configuration, run_case  # noqa: E402


def put(connection, body, pause):
    head = f"PUT /v1/config HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    connection.sendall(head.encode())
    time.sleep(pause)
    connection.sendall(body)
    return connection.recv(4096)


def play(fleet, trouble):
    for name in ("core-1", "core-2", "core-3"):
        fleet.start(name, True)
    document = configuration(7, {("127.198.0.1", 8080): "desk"})
    fleet.order_until_taken("PUT", "/v1/config", document)
    connection = socket.create_connection(fleet.address("core-1", "control"), 2)
    connection.settimeout(3)
    body = json.dumps(document).encode()
    answers = [put(connection, body, 0.0)]
    time.sleep(3.2)
    answers.append(put(connection, body, 1.1 if trouble else 0.0))
    for answer in answers:
        fleet.record.note(answer.decode().replace("\r\n", " "))
    if b" 200 " in answers[0][:20] and b" 200 " not in answers[1][:20]:
        return [answers[1].decode().splitlines()[0]]
    return []


run_case(play, HERE)
