"""Unplanned failures in a running fleet, one after the other, under load."""

import shutil
import signal
import statistics
import threading
import time
import urllib.request

from .fleet import Fleet
from .operators import Operator
from .process import Process
from .traffic import Load, Results, start_downloads

HEALTH_INTERVAL = 0.5
RECOVERY_SECONDS = 12.0
FREEZE_SECONDS = 60.0
THREADS_PER_SERVICE = 4
PAUSE_SECONDS = 0.05
DOWNLOADS_PER_SERVICE = 4
DOWNLOAD_RATE = 30_000
DOWNLOAD_SECONDS = 12
CONTROL_BYTES = "petrellatch_control_bytes_total"


class HealthCheck(threading.Thread):
    """Tells the fabric again and again which balancers are ready, and the
    platform which machines live."""

    def __init__(self, fleet: Fleet):
        super().__init__()
        self.fleet = fleet
        self.stop_flag = threading.Event()

    def run(self) -> None:
        while not self.stop_flag.wait(HEALTH_INTERVAL):
            self.fleet.refresh_machines()
            self.fleet.refresh_balancers()

    def stop(self) -> None:
        self.stop_flag.set()
        self.join()


class Phase:
    """What happened while one failure was brought about."""

    def __init__(self, name: str, results: Results, times: list[float], bytes_per_second: float):
        self.name = name
        self.results = results
        self.times = times
        self.bytes_per_second = bytes_per_second

    def line(self) -> str:
        counts = self.results.counts
        median = statistics.median(self.times) if self.times else float("nan")
        longest = max(self.times, default=float("nan"))
        return (
            f"{self.name}: requests={sum(counts.values())} answered={counts['answered']}"
            f" refused_not_run={counts['refused_not_run']} broken={counts['broken']}"
            f" misrouted={counts['misrouted']} changes={len(self.times)}"
            f" in_force_p50={median:.2f}s in_force_max={longest:.2f}s"
            f" control_bytes_per_second_max={self.bytes_per_second:.0f}"
        )


class FaultRun:
    """Brings the failures about and keeps what each did."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.operator = Operator([])
        self.phases: list[Phase] = []

    def run(self) -> None:
        health = HealthCheck(self.fleet)
        health.start()
        self.operator.servers = list(self.fleet.operators)
        self.operator.start()
        try:
            for name, fault in self._faults():
                self._phase(name, fault)
        finally:
            self.operator.stop()
            health.stop()

    def _faults(self):
        balancer = self.fleet.deployment.balancers[1]
        agent = self.fleet.deployment.agents[2]
        return [
            ("nothing", lambda: time.sleep(RECOVERY_SECONDS)),
            ("leader killed", lambda: self._kill_control(self._leader())),
            ("follower killed", lambda: self._kill_control(self._follower())),
            ("follower lost its disk", lambda: self._lose_disk(self._follower())),
            ("leader lost its disk", lambda: self._lose_disk(self._leader())),
            ("balancer killed", lambda: self._kill(balancer, self.fleet.start_balancer)),
            ("agent killed", lambda: self._kill(agent, self.fleet.start_agent)),
            ("leader frozen", lambda: self._freeze(self._leader())),
            ("balancer frozen", lambda: self._freeze(balancer.name)),
            ("agent frozen", lambda: self._freeze(agent.name)),
        ]

    def _phase(self, name: str, fault) -> None:
        self.operator.take_times()
        results = Results()
        prefix = name.replace(" ", "-") + "-"
        load = Load(self.fleet.edges, results, THREADS_PER_SERVICE, PAUSE_SECONDS, prefix)
        downloads = start_downloads(
            self.fleet.edges, results, prefix, DOWNLOADS_PER_SERVICE, DOWNLOAD_SECONDS, DOWNLOAD_RATE
        )
        before = self._control_bytes()
        started = time.monotonic()
        load.start()
        try:
            fault()
        finally:
            load.stop()
            for download in downloads:
                download.join()
        rate = highest_rate(before, self._control_bytes(), time.monotonic() - started)
        phase = Phase(name, results, self.operator.take_times(), rate)
        self.phases.append(phase)
        print(f"{time.strftime('%H:%M:%S')} {phase.line()}", flush=True)
        for line in results.faults[:5]:
            print(f"    {line}", flush=True)

    def _kill(self, node, start) -> None:
        time.sleep(1.0)
        self.fleet.processes[node.name].kill()
        time.sleep(2.0)
        start(node).wait_ready()
        time.sleep(RECOVERY_SECONDS)

    def _kill_control(self, name: str) -> None:
        self._kill(self._control_node(name), self.fleet.start_control)

    def _lose_disk(self, name: str) -> None:
        """Deletes the data folder; the replica must become a voter again."""
        node = self._control_node(name)
        self.fleet.processes[name].kill()
        shutil.rmtree(self.fleet.folder / "data" / name)
        self.fleet.start_control(node).wait_ready()
        started = time.monotonic()
        while not self._is_voter(name):
            if time.monotonic() - started > FREEZE_SECONDS:
                raise RuntimeError(f"{name} did not become a voter again")
            time.sleep(0.1)
        print(f"    {name} voted again after {time.monotonic() - started:.1f} s")
        time.sleep(RECOVERY_SECONDS)

    def _freeze(self, name: str) -> None:
        process = self.fleet.processes[name]
        time.sleep(1.0)
        process.signal(signal.SIGSTOP)
        try:
            time.sleep(FREEZE_SECONDS)
        finally:
            process.signal(signal.SIGCONT)
        time.sleep(RECOVERY_SECONDS)

    def _control_node(self, name: str):
        return next(it for it in self.fleet.deployment.controls if it.name == name)

    def _leader(self) -> str:
        return self.fleet.ctl("status")["leader"]

    def _follower(self) -> str:
        leader = self._leader()
        names = [it.name for it in self.fleet.deployment.controls]
        return next(name for name in names if name != leader)

    def _is_voter(self, name: str) -> bool:
        """Whether it votes with its present folder, not with the lost one."""
        incarnation = self.fleet.processes[name].ready["incarnation"]
        replicas = self.fleet.ctl("status")["replicas"]
        return any(it["incarnation"] == incarnation and it["role"] == "voter" for it in replicas)

    def _control_bytes(self) -> dict[int, float]:
        """Bytes of control messages, in and out, of each balancer and agent."""
        totals = {}
        for process in list(self.fleet.processes.values()):
            if process.arguments[1] in ("balancer", "agent"):
                totals[process.pid] = read_control_bytes(process)
        return totals


def highest_rate(before: dict[int, float], after: dict[int, float], seconds: float) -> float:
    """The largest rate of a daemon that lived through the whole phase."""
    both = before.keys() & after.keys()
    return max(((after[pid] - before[pid]) / seconds for pid in both), default=0.0)


def read_control_bytes(process: Process) -> float:
    url = f"http://{process.ready['admin']}/metrics"
    try:
        with urllib.request.urlopen(url, timeout=1.0) as response:
            lines = response.read().decode().splitlines()
    except OSError:
        return 0.0
    return sum(float(line.split()[-1]) for line in lines if line.startswith(CONTROL_BYTES))
