"""FLOW: an open flow of a living backend is reset after a restart of the daemon beside it.

A backend deregisters ("some never say draining: they send DELETE first, serve on as long, and
end") and keeps its open flows. The daemon beside it is killed and started again. Later a balancer
is stopped as planned, so that another one gets the packets of the open flows and asks the daemons
who has them. The restarted daemon, which has seen neither a heartbeat nor a packet, answers that
its backend has none, and the balancer resets the flows.
"""

import asyncio
import pathlib
import time

from stand_ins import (Backend, CannotRun, Clients, Fleet, Operator, Router,
                       configuration, main, wait_until)

# As in further/routakivi-tix.toml, with fewer machines.
BOUNDS = {"SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 4000, "AckMs": 5000, "SyncS": 4,
          "DrainMs": 3000, "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 3000,
          "DowngradeSlackMs": 250, "SkewMaxMs": 12000, "RecoveryS": 12, "ReorderMs": 2000,
          "FlowTtlS": 60}
COUNTS = {"core": 5, "front": 3, "side": 4}
ROUTE = ("198.18.0.1", 8080)
FLOWS, AT_ONCE = 60, 10
DEADLINE = 2.5


async def play(record, has_trouble, fleets):
    fleet = Fleet(record, COUNTS, BOUNDS, "lippu-core", 1200, 2)
    fleets.append(fleet)
    fleet.start_all()
    router = Router(fleet)
    tasks = [asyncio.create_task(router.run())]
    backends = {name: Backend(fleet, name, 5, 0.04) for name in fleet.of("side")}
    leaving = backends["side-1"]
    for backend in backends.values():
        await backend.start()
    await Operator(fleet).replace(configuration(7, fleet, ROUTE, "unsafe"))
    await wait_until(lambda: all(it < 2 for it in router.missed.values()), 20, "readiness")
    clients = Clients(fleet, router, ROUTE)
    await clients.start()
    await asyncio.sleep(4)

    # Long flows, each with a first request that is answered.
    flows = []
    while len(flows) < FLOWS:
        some = [clients.new_flow() for _ in range(AT_ONCE)]
        await asyncio.gather(*(open_and_ask(clients, flow) for flow in some))
        flows += some
    flows = [flow for flow in flows if flow.outcome == "200"]
    record.say(f"{len(flows)} flows are open and had their first answer")
    # These are judged: flows of the backend that leaves, through the balancer that stops.
    stopped = max(fleet.of("front"), key=lambda name: sum(
        flow.via == name and flow.by == leaving.id for flow in flows))
    judged = [flow for flow in flows if flow.by == leaving.id and flow.via == stopped]
    if len(judged) < 2:
        raise CannotRun("too few flows to judge")
    record.say(f"{len(judged)} of them are at {leaving.id} and came through {stopped}")
    await asyncio.sleep(1)

    await leaving.delete()
    deleted = time.monotonic()
    leaving.beats.cancel()
    await asyncio.sleep(0.2)
    if has_trouble:
        fleet.kill("side-1")
        await asyncio.sleep(0.5)
        fleet.start("side-1")
    # The daemon is in touch again ContactMs after its start; the flows rest meanwhile.
    await asyncio.sleep(BOUNDS["ContactMs"] / 1000 + 0.5)
    fleet.terminate(stopped)
    await wait_until(lambda: router.missed[stopped] >= 2, 5, f"{stopped} out")
    await asyncio.sleep(0.5)

    # The clients go on, each with the next request of its flow. The backend is alive, has the
    # flows, and ends only later.
    holds = [(flow.source, ROUTE) in leaving.flows for flow in judged]
    record.say(f"{leaving.id} is alive and holds {sum(holds)} of the {len(judged)} flows, "
               f"{time.monotonic() - deleted:.1f} s after its DELETE")
    await asyncio.gather(*(ask(clients, flow) for flow in judged))
    await asyncio.sleep(0.5)
    holds = [(flow.source, ROUTE) in leaving.flows for flow in judged]
    resets = [flow for flow in judged if flow.outcome == "reset by the system"
              and (flow.source, ROUTE) in leaving.flows]
    for flow in judged:
        record.note(f"flow {flow.port}: {flow.outcome}")
    record.say(f"{leaving.id} still holds {sum(holds)} of the flows")
    record.say(f"open flows that the system reset: {len(resets)} of {len(judged)}")
    others = [flow for flow in flows if flow not in judged]
    await asyncio.gather(*(ask(clients, flow) for flow in others))
    outcomes = {}
    for flow in others:
        where = "at the same backend" if flow.by == leaving.id else "at other backends"
        outcomes[where, flow.outcome] = outcomes.get((where, flow.outcome), 0) + 1
    record.say(f"the other flows, which are not judged: {outcomes}")
    leaving.end("ends")
    return bool(resets)


async def open_and_ask(clients, flow):
    if await flow.open():
        await ask(clients, flow)


async def ask(clients, flow):
    request = clients.next_id()
    clients.record.note(f"client sends {request} (POST) on {flow.port}")
    await flow.request(request, "POST", DEADLINE)
    clients.record.note(f"client: {request} ends: {flow.outcome}")


main(pathlib.Path(__file__).resolve().parent, play)
