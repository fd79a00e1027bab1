"""A whole fleet: control replicas, balancers, agents and the stand-ins."""

import json
import secrets
import shutil
import subprocess
import time
import urllib.error
import urllib.request
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from .deployment import ROOT, Backend, Deployment, Node, write_settings
from .process import Process

PRODUCT = ROOT / "target" / "release" / "petrellatch"
LAB = ROOT / "target" / "release" / "petrellatch-lab"
WAIT_SECONDS = 40.0


class Fleet:
    """The processes of one deployment on loopback."""

    def __init__(self, deployment: Deployment, folder: Path):
        self.deployment = deployment
        self.folder = folder
        self.processes: dict[str, Process] = {}
        self.edges: dict[str, tuple[str, int]] = {}
        self.operators: list[str] = []
        self.balancers_file = folder / "balancers"
        self.machines_file = folder / "machines"
        self.leaving: set[str] = set()

    def start(self) -> None:
        """Starts everything and waits until the configuration is in force."""
        shutil.rmtree(self.folder, ignore_errors=True)
        for name in ("data", "logs"):
            (self.folder / name).mkdir(parents=True)
        self._start_platform()
        self._write_settings()
        self._start_backends()
        self._start_fabric()
        for node in self.deployment.controls:
            self.start_control(node, bootstrap=True)
        for node in self.deployment.agents:
            self.start_agent(node)
        for node in self.deployment.balancers:
            self.start_balancer(node)
        self._wait_all_ready()
        self.refresh_machines()
        self.refresh_balancers()
        self.apply(self.document_path)
        self.wait_in_force()
        self.wait_serving()

    @property
    def document_path(self) -> Path:
        return self.folder / "services.json"

    def stop(self) -> list[str]:
        """Stops everything; returns the names of what did not stop in order."""
        order = list(self.processes.values())
        daemons = [it for it in order if it.name.startswith(("machine", "balancer"))]
        controls = [it for it in order if it.name.startswith("control")]
        rest = [it for it in order if it not in daemons and it not in controls]
        failed = []
        for group in (daemons, controls, rest):
            with ThreadPoolExecutor(max(len(group), 1)) as pool:
                codes = list(pool.map(lambda it: it.stop(), group))
            failed += [it.name for it, code in zip(group, codes) if code != 0]
        self.processes.clear()
        return failed

    def start_control(self, node: Node, bootstrap: bool = False) -> Process:
        flags = ["--bootstrap"] if bootstrap else []
        return self._start_node("control", node, flags)

    def start_balancer(self, node: Node) -> Process:
        return self._start_node("balancer", node, [])

    def start_agent(self, node: Node) -> Process:
        fabric = self.processes["fabric"].ready["listen"]
        return self._start_node("agent", node, ["--fabric-address", fabric])

    def refresh_balancers(self) -> None:
        """Tells the fabric which balancers say that they are ready."""
        ready = []
        for process in list(self.processes.values()):
            is_balancer = process.arguments[1] == "balancer"
            if is_balancer and process.child.poll() is None and self.is_ready(process):
                ready.append(process.ready["data"])
        replace_lines(self.balancers_file, ready)

    def refresh_machines(self) -> None:
        """Tells the platform which machines live and which of them leave."""
        daemons = [it for it in list(self.processes.values()) if it.arguments[0] == str(PRODUCT)]
        living = [it.name for it in daemons if it.child.poll() is None]
        replace_lines(self.machines_file, [f"{it} leaving" if it in self.leaving else it for it in living])

    def is_ready(self, process: Process) -> bool:
        """Asks the health address."""
        url = f"http://{process.ready['admin']}/readyz"
        try:
            with urllib.request.urlopen(url, timeout=1.0) as response:
                return response.status == 200
        except (OSError, urllib.error.URLError):
            return False

    def ctl(self, *arguments: str) -> dict:
        """Runs an operator command; returns its JSON output."""
        servers = [word for operator in self.operators for word in ("--server", operator)]
        command = [str(PRODUCT), "ctl", *servers, "--output", "json", *arguments]
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        if done.returncode != 0:
            raise RuntimeError(f"ctl {' '.join(arguments)}: {done.stderr.strip()}")
        return json.loads(done.stdout) if done.stdout.strip() else {}

    def apply(self, path: Path) -> dict:
        return self.ctl("apply", "--rebase", str(path))

    def wait_in_force(self) -> dict:
        return self.ctl("wait", "--latest")

    def wait_serving(self) -> None:
        """Waits until every service answers through the edge."""
        deadline = time.monotonic() + WAIT_SECONDS
        for service, (host, port) in self.edges.items():
            while not self._answers(f"http://{host}:{port}/lookup?id=probe"):
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{service} does not answer")
                time.sleep(0.1)

    def _answers(self, url: str) -> bool:
        try:
            with urllib.request.urlopen(url, timeout=3.0) as response:
                return response.status == 200
        except (OSError, urllib.error.URLError):
            return False

    def _write_settings(self) -> None:
        key = self.folder / "cluster.key"
        key.write_text(secrets.token_hex(16) + "\n")
        settings = self.folder / "settings.toml"
        list_url = self.processes["platform"].ready["list_url"]
        self.operators = write_settings(self.deployment, settings, key, list_url)

    def _start_platform(self) -> None:
        self.machines_file.write_text("")
        arguments = [str(LAB), "platform", "--listen", "127.0.0.1:0"]
        arguments += ["--machines-file", str(self.machines_file)]
        self._start("platform", arguments).wait_ready()

    def _start_backends(self) -> None:
        for index, backend in enumerate(self.deployment.backends):
            self._start_backend(backend, seed=index + 1)
        servers = {
            backend.name: self.processes[backend.name].wait_ready()["listen"]
            for backend in self.deployment.backends
        }
        self.deployment.write_document(self.document_path, servers)

    def _start_backend(self, backend: Backend, seed: int) -> None:
        arguments = [str(LAB), "backend", "--listen", "127.0.0.1:0"]
        arguments += ["--name", backend.name, "--service", backend.service]
        arguments += ["--slots", str(backend.slots), "--queue", str(backend.slots)]
        arguments += ["--connections", str(backend.connections), "--seed", str(seed)]
        self._start(backend.name, arguments)

    def _start_fabric(self) -> None:
        self.balancers_file.write_text("")
        arguments = [str(LAB), "fabric", "--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0"]
        arguments += ["--balancers-file", str(self.balancers_file)]
        for address in self.deployment.services.values():
            arguments += ["--edge", f"127.0.0.1:0={address}"]
        ready = self._start("fabric", arguments).wait_ready()
        for name, address in self.deployment.services.items():
            host, port = ready["edges"][address].rsplit(":", 1)
            self.edges[name] = (host, int(port))

    def _start_node(self, role: str, node: Node, flags: list[str]) -> Process:
        arguments = [str(PRODUCT), role, "--settings", str(self.folder / "settings.toml")]
        arguments += ["--name", node.name, "--zone", node.zone]
        arguments += ["--data-folder", str(self.folder / "data" / node.name), *flags]
        return self._start(node.name, arguments)

    def _start(self, name: str, arguments: list[str]) -> Process:
        process = Process(name, arguments, self.folder / "logs")
        self.processes[name] = process
        return process

    def _wait_all_ready(self) -> None:
        for process in self.processes.values():
            if not process.ready:
                process.wait_ready()
        deadline = time.monotonic() + WAIT_SECONDS
        daemons = [it for it in self.processes.values() if it.arguments[1] == "balancer"]
        while not all(self.is_ready(it) for it in daemons):
            if time.monotonic() > deadline:
                raise RuntimeError("the balancers are not ready")
            time.sleep(0.1)


def replace_lines(path: Path, lines: list[str]) -> None:
    """Replaces a file at once, so that nobody reads half of it."""
    new = path.with_suffix(".new")
    new.write_text("".join(f"{line}\n" for line in lines))
    new.replace(path)
