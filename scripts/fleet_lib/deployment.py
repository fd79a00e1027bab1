"""Reads deploy/NAME and rewrites its addresses for loopback."""

import json
import socket
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


@dataclass
class Node:
    """A process of the system: its name and zone."""

    name: str
    zone: str


@dataclass
class Backend:
    """A back end stand-in beside the agent of one machine."""

    name: str
    service: str
    agent: str
    zone: str
    slots: int
    connections: int
    record: dict


@dataclass
class Deployment:
    """One user's deployment."""

    name: str
    controls: list[Node]
    balancers: list[Node]
    agents: list[Node]
    backends: list[Backend]
    document: dict
    services: dict[str, str] = field(default_factory=dict)

    @staticmethod
    def read(name: str) -> "Deployment":
        folder = ROOT / "deploy" / name
        fleet = tomllib.loads((folder / "fleet.toml").read_text())
        document = tomllib.loads((folder / "services.toml").read_text())
        backends = [
            Backend(
                name=record["name"],
                service=record["service"],
                agent=record["agent"],
                zone=record["zone"],
                slots=record["slots"],
                connections=record["connections"],
                record=record,
            )
            for record in document["backends"]
        ]
        agents = {backend.agent: Node(backend.agent, backend.zone) for backend in backends}
        return Deployment(
            name=name,
            controls=[Node(**entry) for entry in fleet["controls"]],
            balancers=[Node(**entry) for entry in fleet["balancers"]],
            agents=list(agents.values()),
            backends=backends,
            document=document,
            services={entry["name"]: entry["address"] for entry in document["services"]},
        )

    def write_document(self, path: Path, servers: dict[str, str]) -> None:
        """Writes the operator document with the addresses of the stand-ins."""
        for backend in self.backends:
            backend.record["server"] = servers[backend.name]
        path.write_text(json.dumps(self.document, indent=2))


def free_addresses(kind: int, count: int) -> list[str]:
    """Returns loopback addresses that were free a moment ago."""
    sockets = []
    for _ in range(count):
        sock = socket.socket(socket.AF_INET, kind)
        sock.bind(("127.0.0.1", 0))
        sockets.append(sock)
    addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


def write_settings(deployment: Deployment, path: Path, key_file: Path, list_url: str) -> list[str]:
    """Writes the settings file for loopback; returns the operator addresses."""
    names = [node.name for node in deployment.controls]
    controls = free_addresses(socket.SOCK_DGRAM, len(names))
    operators = free_addresses(socket.SOCK_STREAM, len(names))
    source = (ROOT / "deploy" / deployment.name / "settings.toml").read_text()
    settings = tomllib.loads(source)
    lines = ["[cluster]", f"key_file = {json.dumps(str(key_file))}"]
    for name, control, operator in zip(names, controls, operators):
        lines += [
            "[[cluster.replicas]]",
            f"name = {json.dumps(name)}",
            f"control = {json.dumps(control)}",
            f"operator = {json.dumps(operator)}",
        ]
    settings["platform"]["list_url"] = list_url
    for table in ("timing", "platform", "backends", "log"):
        lines.append(f"[{table}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in settings[table].items()]
    path.write_text("\n".join(lines) + "\n")
    return operators
