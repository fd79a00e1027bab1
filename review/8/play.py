"""The agent beside a back end that has just started is stopped and started; the back end leaves by
DELETE, and a heartbeat that it had sent before arrives late. Back ends tell when they started."""

import pathlib
import threading
import time

import stand_ins
from stand_ins import Backend, CannotRun, Client, Router, configuration, run_case, wait_for

HERE = pathlib.Path(__file__).resolve().parent
ROUTE = ("127.198.0.1", 8080)
FLOWS = 30
# What differs at svil-plattform-grown.
stand_ins.BOUNDS.update({"ContactMs": 5000, "AckMs": 6000, "SyncS": 6, "DrainMs": 4000,
                         "ConfigApplyMs": 4000, "SkewMaxMs": 15000, "RecoveryS": 15})
stand_ins.HEARTBEAT_MS = 770
CONTACT_S, DRAIN_S = 5.0, 4.0


class BornBackend(Backend):
    """A back end that gives the Unix millisecond of its start."""

    def __init__(self, *arguments):
        self.born = int(time.time() * 1000)
        super().__init__(*arguments)

    def document(self):
        return {**super().document(), "born": self.born}


def use(flow, number):
    if flow.open():
        flow.request(f"new-{number}")
        flow.close()


def play(fleet, trouble):
    for name in ("core-1", "core-2", "core-3", "front-1", "front-2", "side-1", "side-2"):
        fleet.start(name, True)
    router = Router(fleet)
    router.start()
    fleet.order_until_taken("PUT", "/v1/config", configuration(1, {ROUTE: "desk"}))
    backends = [BornBackend(fleet, f"side-{number}", f"i-{number}") for number in (1, 2)]
    for backend in backends:
        backend.start()
    wait_for(lambda: all(map(router.is_in, ("front-1", "front-2"))), 10, "ready balancers")
    client = Client(fleet, router)
    time.sleep(5)
    # An empty back end is added, with a machine of its own.
    fleet.start("side-3", False)
    time.sleep(0.3)
    leaving = BornBackend(fleet, "side-3", "i-3")
    leaving.start()
    wait_for(lambda: leaving.calls == 1 and not leaving.beating, 3, "the first heartbeat")
    # roll_term on side machines: its agent stops and starts.
    fleet.terminate("side-3")
    time.sleep(0.1)
    fleet.restart("side-3")
    leaving.beats = False
    wait_for(lambda: not leaving.beating, 3, "the end of a heartbeat")
    time.sleep(0.2)
    late = leaving.document()
    sent = time.monotonic()
    fleet.record.note(f"{leaving.identity} sends heartbeat call={late['CallSeq']}, which is late")
    if not leaving.withdraw():
        raise CannotRun("the DELETE was not acknowledged")
    # Until all are in touch again, the restarted agent too.
    time.sleep(CONTACT_S + 0.2)
    if trouble:
        fleet.record.note(f"the heartbeat arrives {time.monotonic() - sent:.1f} s late")
        leaving.send_beat(late)
    time.sleep(0.5)
    threads = [threading.Thread(target=use, args=(client.flow(ROUTE), number), daemon=True)
               for number in range(FLOWS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if fleet.ended():
        raise CannotRun(f"{fleet.ended()} ended")
    got = [at for at, _, _ in leaving.opened if at > leaving.left_at + DRAIN_S]
    leaving.end()
    if not got:
        return []
    return [f"DRAIN: {leaving.identity} got {len(got)} new flows, the first "
            f"{got[0] - leaving.left_at:.1f} s after its DELETE was acknowledged"]


run_case(play, HERE)
