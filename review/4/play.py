"""Balancers are stopped and started in turn while clients keep flows on which they have fetched
many sheets."""

import pathlib
import time

from stand_ins import Backend, CannotRun, Client, Router, configuration, run_case, wait_for

HERE = pathlib.Path(__file__).resolve().parent
ROUTE = ("127.198.0.1", 8080)
# The sheet of kvc-assess: a tax map sheet has 40,000 B on average. 110 of them are 4.4 MB.
SHEET_BYTES = 40000
MANY, FEW = 110, 20
FLOWS = 4


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
    time.sleep(2)
    began = time.monotonic()
    flows = []
    for number in range(FLOWS):
        flow = client.flow(ROUTE)
        if not flow.open():
            raise CannotRun("a flow did not open")
        flow.sheets = MANY if number % 2 else FEW
        flows.append(flow)
    for sheet in range(MANY):
        for number, flow in enumerate(flows):
            if sheet < flow.sheets or sheet % 10 == 0 and flow.sheets == FEW:
                size = SHEET_BYTES if sheet < flow.sheets else 0
                if not flow.request(f"sheet-{number}-{sheet}", size, deadline=5.0):
                    raise CannotRun(f"sheet {sheet} of flow {number} did not come")
        time.sleep(0.02)
    for flow in flows:
        fleet.record.note(f"flow {flow.source[1]} has received {flow.received} bytes")
    if trouble:
        # roll_term: one balancer at a time; the next one once this one is in again.
        for name in ("front-1", "front-2"):
            fleet.terminate(name)
            time.sleep(0.3)
            fleet.restart(name)
            wait_for(lambda name=name: router.is_in(name), 10, f"{name} in again")
            time.sleep(1.0)
            for number, flow in enumerate(flows):
                flow.request(f"after-{name}-{number}")
    for number, flow in enumerate(flows):
        flow.request(f"last-{number}")
    fleet.record.note(f"the flows are {time.monotonic() - began:.1f} s old")
    breaks = []
    for flow in flows:
        owner = next((it for it in backends if (flow.source, ROUTE) in it.flows), None)
        if flow.resets and owner:
            breaks.append(f"FLOW: the flow of port {flow.source[1]}, which had received "
                          f"{flow.received} bytes, got a reset that its back end "
                          f"{owner.identity}, which runs and holds it, did not send")
    return breaks


run_case(play, HERE)
