"""All processes of the system are killed at once and come back, while a back end that has just
started keeps a flow open."""

import pathlib
import time

from stand_ins import Backend, CannotRun, Client, Router, configuration, run_case, wait_for

HERE = pathlib.Path(__file__).resolve().parent
ROUTE = ("127.198.0.1", 8080)
FLOWS = 24
# From the return of the processes to the next request of each flow. The rule wants ContactMs
# (4 s) in touch, twice that after a fault that took most of the core; the flow may be idle for
# IdleTimeoutMs (15 s).
REST_S = 11.0


def play(fleet, trouble):
    for name in ("core-1", "core-2", "core-3", "front-1", "front-2", "side-1", "side-2"):
        fleet.start(name, True)
    router = Router(fleet)
    router.start()
    fleet.order_until_taken("PUT", "/v1/config", configuration(1, {ROUTE: "desk"}))
    backends = [Backend(fleet, "side-1", "i-1"), Backend(fleet, "side-2", "i-2")]
    for backend in backends:
        backend.start()
    wait_for(lambda: all(map(router.is_in, ("front-1", "front-2"))), 10, "ready balancers")
    client = Client(fleet, router)
    time.sleep(6)
    # A release: the new back end starts with a machine of its own, before an old one leaves.
    fleet.start("side-3", False)
    time.sleep(0.5)
    backends.append(Backend(fleet, "side-3", "i-3"))
    backends[-1].start()
    young = backends[-1]
    time.sleep(0.4)
    flows = []
    for number in range(FLOWS):
        flow = client.flow(ROUTE)
        if flow.open() and flow.request(f"first-{number}"):
            flows.append(flow)
    owners = {flow: next(it for it in backends if (flow.source, ROUTE) in it.flows)
              for flow in flows}
    of_young = sum(owner is young for owner in owners.values())
    fleet.record.note(f"{len(flows)} flows are open, {of_young} of them at {young.identity}")
    if of_young == 0:
        raise CannotRun("no flow was placed on the new back end")
    time.sleep(max(0.0, young.started + 0.9 - time.monotonic()))
    if trouble:
        names = fleet.names()
        fleet.kill(names)
        time.sleep(0.3)
        for name in names:
            fleet.restart(name)
    time.sleep(REST_S)
    if fleet.ended():
        raise CannotRun(f"{fleet.ended()} ended")
    breaks = []
    for number, flow in enumerate(flows):
        flow.request(f"second-{number}")
    for flow in flows:
        owner = owners[flow]
        if flow.resets and (flow.source, ROUTE) in owner.flows:
            breaks.append(f"FLOW: the flow of port {flow.source[1]} got a reset that its back end "
                          f"{owner.identity}, which runs and holds it, did not send")
    return breaks


run_case(play, HERE)
