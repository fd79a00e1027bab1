"""DRAIN: a late heartbeat undoes a DELETE that a restarted daemon has acknowledged.

The daemon beside a backend is killed and started again. The backend's next heartbeat is held up
on its way. Meanwhile the backend leaves: it sends DELETE, which the daemon acknowledges. Then the
heartbeat arrives. From then on the daemon sends new flows to the backend until it ends.
"""

import asyncio
import pathlib
import random
import time

from stand_ins import (Backend, CannotRun, Clients, Fleet, HeldUpLink,
                       Operator, Router, configuration, main, wait_until)

# As in newcomers/svil-plattform-grown.toml, with fewer machines.
BOUNDS = {"SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 5000, "AckMs": 6000, "SyncS": 6,
          "DrainMs": 4000, "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 4000,
          "DowngradeSlackMs": 250, "SkewMaxMs": 15000, "RecoveryS": 15, "ReorderMs": 2000,
          "FlowTtlS": 60}
COUNTS = {"core": 5, "front": 3, "side": 4}
ROUTE = ("198.18.0.1", 8080)
REQUESTS_PER_SECOND = 150
# The backend serves on for DrainMs after the acknowledgement and "many seconds" longer.
SERVES_ON_SECONDS = 16


async def play(record, has_trouble, fleets):
    fleet = Fleet(record, COUNTS, BOUNDS, "erklaerung-kern", 770, 2)
    fleets.append(fleet)
    fleet.start_all()
    router = Router(fleet)
    tasks = [asyncio.create_task(router.run())]
    backends = {name: Backend(fleet, name, 7, 0.04, says_born=True) for name in fleet.of("side")}
    leaving = backends["side-1"]
    link = HeldUpLink(fleet, leaving.control)
    await link.start()
    for backend in backends.values():
        await backend.start()
    await Operator(fleet).replace(configuration(7, fleet, ROUTE, "unsafe"))
    await wait_until(lambda: all(it < 2 for it in router.missed.values()), 20, "readiness")
    clients = Clients(fleet, router, ROUTE)
    await clients.start()
    # Everything has been in touch for ContactMs before anything is judged.
    await asyncio.sleep(5)
    outcomes = []
    traffic = asyncio.create_task(send_requests(clients, outcomes))
    tasks.append(traffic)
    await asyncio.sleep(2)

    direct = leaving.control
    if has_trouble:
        fleet.kill("side-1")
        await asyncio.sleep(0.5)
        fleet.start("side-1")
        # The next heartbeat is sent after the start and held up.
        link.holds, leaving.control = True, link.address
        record.say(f"one heartbeat of {leaving.id} is held up on its way")
        await wait_until(lambda: link.held, 3, "a held-up heartbeat")
    await asyncio.sleep(0.2)
    # From here on it says nothing but the DELETE, which goes straight to its daemon.
    leaving.beats.cancel()
    leaving.control = direct
    await asyncio.sleep(0.2)
    if not await leaving.delete():
        raise CannotRun("the DELETE was not acknowledged")
    acknowledged = time.monotonic()
    if has_trouble:
        await asyncio.sleep(1.5)
        await link.let_go()
        await asyncio.sleep(0.2)
    # Judged is what comes once the machine has been in touch again for ContactMs since its
    # start and since the late heartbeat, and DrainMs are over.
    calm_from = time.monotonic() + BOUNDS["ContactMs"] / 1000
    judged_from = max(acknowledged + BOUNDS["DrainMs"] / 1000, calm_from) + 0.1
    await asyncio.sleep(max(0, acknowledged + SERVES_ON_SECONDS - time.monotonic()))
    leaving.end("ends")
    ended = time.monotonic()
    await asyncio.sleep(4)
    traffic.cancel()

    late = [it for it in leaving.arrivals if judged_from < it[0] < ended]
    record.say(f"flows that reached {leaving.id} later than DrainMs after the acknowledgement of "
               f"its DELETE, with all machines in touch: {len(late)}")
    if late:
        record.say(f"the last of them came {late[-1][0] - acknowledged:.1f} s after it")
    ran = {request for at, _, request in leaving.runs if at > judged_from}
    lost = [request for request, outcome in outcomes if request in ran and outcome != "200"]
    record.say(f"requests among them that it began to run and whose client got no answer: "
               f"{len(lost)}")
    counts = {}
    for _, outcome in outcomes:
        counts[outcome] = counts.get(outcome, 0) + 1
    record.say(f"all requests: {counts}")
    return bool(late)


async def send_requests(clients, outcomes):
    async def one():
        method = random.choice(("POST", "GET"))
        outcomes.append(await clients.one_request(method, 3.0))

    running = set()
    while True:
        task = asyncio.create_task(one())
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)


main(pathlib.Path(__file__).resolve().parent, play)
