"""The commands of scripts/fleet."""

import json
import os
import signal
import subprocess
import sys
import time

from .deployment import ROOT, Deployment, Node
from .faults import FaultRun
from .fleet import Fleet
from .traffic import Load, Results, executions, start_downloads

RUN_FOLDER = ROOT / "run"
STATE_FILE = RUN_FOLDER / "up.json"
LONG_DOWNLOAD_SECONDS = 12
LONG_DOWNLOAD_RATE = 50_000
DOWNLOADS_PER_SERVICE = 4
THREADS_PER_SERVICE = 6
PAUSE_SECONDS = 0.02


def execute(options) -> int:
    if options.command in ("run", "up", "faults") and not options.no_build:
        build()
    if options.command == "run":
        return run(options)
    if options.command == "up":
        return up(options)
    if options.command == "faults":
        return faults(options)
    if options.command == "status":
        return status()
    return down()


def build() -> None:
    command = ["cargo", "build", "--locked", "--release", "-p", "petrellatch", "-p", "petrellatch-lab"]
    subprocess.run(command, cwd=ROOT, check=True)


def run(options) -> int:
    """Starts a fleet, sends requests while it changes, and judges them."""
    deployment = Deployment.read(options.deployment)
    fleet = Fleet(deployment, RUN_FOLDER / f"run-{options.deployment}")
    results = Results()
    stopped: list[str] = []
    try:
        fleet.start()
        say("the fleet serves")
        go_through_changes(fleet, results, options.seconds)
        servers = [fleet.processes[it.name].ready["listen"] for it in deployment.backends]
        counts, services = executions(servers)
    finally:
        stopped = fleet.stop()
    return judge(results, counts, services, stopped)


def faults(options) -> int:
    """Brings unplanned failures about, one after the other, under load."""
    deployment = Deployment.read(options.deployment)
    fleet = Fleet(deployment, RUN_FOLDER / f"faults-{options.deployment}")
    fault_run = FaultRun(fleet)
    try:
        fleet.start()
        say("the fleet serves")
        fault_run.run()
        servers = [fleet.processes[it.name].ready["listen"] for it in deployment.backends]
        counts, services = executions(servers)
    finally:
        stopped = fleet.stop()
    return judge_faults(fault_run, counts, services, stopped)


def judge_faults(fault_run: FaultRun, counts, services, stopped: list[str]) -> int:
    """Unplanned failures may break flows, but nothing else."""
    results = Results()
    for phase in fault_run.phases:
        results.merge(phase.results)
    operator = fault_run.operator.results
    for line in operator.lost[:20]:
        say(f"lost or reverted: {line}")
    print(
        f"accepted={operator.accepted} lost_or_reverted={len(operator.lost)}"
        f" versions_went_back={operator.went_back}"
    )
    judge(results, counts, services, stopped)
    false_refusals = [it for it in results.refused if counts[it] > 0]
    duplicated = [it for it in results.sent if counts[it] > 1]
    wrong = operator.lost or operator.went_back or false_refusals or duplicated
    return 1 if wrong or results.counts["misrouted"] or stopped else 0


def go_through_changes(fleet: Fleet, results: Results, seconds: float) -> None:
    load = Load(fleet.edges, results, THREADS_PER_SERVICE, PAUSE_SECONDS)
    downloads = start_downloads(
        fleet.edges, results, "", DOWNLOADS_PER_SERVICE, LONG_DOWNLOAD_SECONDS, LONG_DOWNLOAD_RATE
    )
    load.start()
    started = time.monotonic()
    try:
        for change in (drain_a_backend, evacuate_a_zone, change_policies, kill_a_balancer, join_a_balancer, replace_an_agent):
            change(fleet)
        remaining = seconds - (time.monotonic() - started)
        time.sleep(max(remaining, 0.0))
    finally:
        load.stop()
        for download in downloads:
            download.join()


def drain_a_backend(fleet: Fleet) -> None:
    backend = fleet.deployment.backends[0].name
    fleet.ctl("drain", "backend", backend)
    report_in_force(fleet, f"drained {backend}")
    time.sleep(2.0)
    fleet.ctl("undrain", "backend", backend)
    report_in_force(fleet, f"undrained {backend}")


def evacuate_a_zone(fleet: Fleet) -> None:
    zone = fleet.deployment.backends[0].zone
    fleet.ctl("evacuate", "zone", zone)
    report_in_force(fleet, f"evacuated {zone}")
    time.sleep(2.0)
    fleet.ctl("restore", "zone", zone)
    report_in_force(fleet, f"restored {zone}")


def change_policies(fleet: Fleet) -> None:
    for policy in fleet.deployment.document["policies"]:
        policy["weight"] = "backend.slots > 0.0 ? 1.0 : 0.5"
    fleet.document_path.write_text(json.dumps(fleet.deployment.document, indent=2))
    fleet.apply(fleet.document_path)
    report_in_force(fleet, "changed the policies")


def kill_a_balancer(fleet: Fleet) -> None:
    victim = fleet.processes.pop(fleet.deployment.balancers[0].name)
    victim.kill()
    fleet.refresh_machines()
    fleet.refresh_balancers()
    say(f"killed {victim.name}")
    time.sleep(2.0)


def join_a_balancer(fleet: Fleet) -> None:
    node = Node("balancer-new", fleet.deployment.balancers[0].zone)
    process = fleet.start_balancer(node)
    process.wait_ready()
    while not fleet.is_ready(process):
        time.sleep(0.05)
    fleet.refresh_machines()
    fleet.refresh_balancers()
    say(f"{node.name} joined")
    time.sleep(1.0)


def replace_an_agent(fleet: Fleet) -> None:
    """A planned stop of an agent, and a new process in its place."""
    node = fleet.deployment.agents[1]
    old = fleet.processes[node.name]
    fleet.leaving.add(node.name)
    fleet.refresh_machines()
    code = old.stop()
    fleet.leaving.discard(node.name)
    fleet.start_agent(node).wait_ready()
    fleet.refresh_machines()
    say(f"replaced {node.name}; the old process ended with {code}")
    time.sleep(2.0)


def report_in_force(fleet: Fleet, what: str) -> None:
    started = time.monotonic()
    fleet.wait_in_force()
    say(f"{what}; in force everywhere after {time.monotonic() - started:.2f} s")


def judge(results: Results, counts, services, stopped: list[str]) -> int:
    """Prints the last line; returns the exit code."""
    duplicated = sum(1 for it in results.sent if counts[it] > 1)
    false_refusals = [it for it in results.refused if counts[it] > 0]
    misrouted = results.counts["misrouted"]
    misrouted += sum(1 for it, service in results.sent.items() if services.get(it, {service}) != {service})
    broken = results.counts["broken"] + len(false_refusals)
    for fault in results.faults[:20]:
        say(fault)
    for request_id in false_refusals[:20]:
        say(f"refused as not run, but it ran: {request_id}")
    if stopped:
        say(f"did not stop in order: {', '.join(stopped)}")
    print(
        f"requests={len(results.sent)} answered={results.counts['answered']}"
        f" refused_not_run={results.counts['refused_not_run']} broken={broken}"
        f" duplicated={duplicated} misrouted={misrouted}"
    )
    return 0 if broken == duplicated == misrouted == 0 and not stopped else 1


def up(options) -> int:
    """Starts a fleet and leaves it running."""
    if STATE_FILE.exists():
        print("a fleet is up already; see scripts/fleet status", file=sys.stderr)
        return 1
    fleet = Fleet(Deployment.read(options.deployment), RUN_FOLDER / "up")
    try:
        fleet.start()
    except BaseException:
        fleet.stop()
        raise
    STATE_FILE.write_text(json.dumps(describe(fleet), indent=2))
    return status()


def describe(fleet: Fleet) -> dict:
    return {
        "deployment": fleet.deployment.name,
        "operators": fleet.operators,
        "edges": {name: f"http://{host}:{port}" for name, (host, port) in fleet.edges.items()},
        "processes": {
            it.name: {"pid": it.pid, "admin": it.ready.get("admin"), "program": it.arguments[:2]}
            for it in fleet.processes.values()
        },
    }


def status() -> int:
    if not STATE_FILE.exists():
        print("no fleet is up")
        return 1
    state = json.loads(STATE_FILE.read_text())
    print(f"deployment {state['deployment']}")
    for name, url in state["edges"].items():
        print(f"service {name}: curl {url}/lookup?id=1")
    servers = " ".join(f"--server {it}" for it in state["operators"])
    print(f"operators: target/release/petrellatch ctl {servers} status")
    for name, process in state["processes"].items():
        state_text = "running" if is_ours(process) else "gone"
        print(f"{name}: pid {process['pid']}, {state_text}, admin {process['admin']}")
    return 0


def down() -> int:
    if not STATE_FILE.exists():
        print("no fleet is up")
        return 1
    state = json.loads(STATE_FILE.read_text())
    processes = [it for it in state["processes"].values() if is_ours(it)]
    for process in processes:
        os.kill(process["pid"], signal.SIGTERM)
    deadline = time.monotonic() + 20.0
    while any(is_ours(it) for it in processes) and time.monotonic() < deadline:
        time.sleep(0.1)
    for process in filter(is_ours, processes):
        os.kill(process["pid"], signal.SIGKILL)
    STATE_FILE.unlink()
    return 0


def is_ours(process: dict) -> bool:
    """Whether the process still runs the program that was started."""
    try:
        with open(f"/proc/{process['pid']}/cmdline", "rb") as file:
            words = file.read().decode().split("\0")
    except OSError:
        return False
    return words[:2] == process["program"]


def say(text: str) -> None:
    print(f"{time.strftime('%H:%M:%S')} {text}", flush=True)
