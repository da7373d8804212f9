"""A node that is cut off from the store acknowledges that its upstream has
left, and its process is killed during the cut. The new process learns nothing
of that. When a check-in from before the leave arrives late, the upstream gets
requests again."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins"))
import harness  # noqa: E402

LAYOUT = [("kamloops", "catalogue"), ("surrey", "orders"),
          ("nanaimo", "orders"), ("kamloops", "warranty")]
ROUTES = {
    "catalogue.example": harness.idempotent_route("r-1", "/list/",
                                                  "catalogue"),
    "orders.example": harness.unsafe_route("r-2", "/order/", "orders"),
    "warranty.example": harness.idempotent_route("r-3", "/serial/",
                                                 "warranty"),
}
CUT_S = 0.8
LATE_S = 4.5


async def send_regularly(fleet, machine):
    while True:
        await fleet.request(machine, fleet.new_id(), "orders.example",
                            "/order/x?do=w20", 2000, method="POST")
        await asyncio.sleep(0.05)


async def case(fleet):
    caller, leaver = fleet.machines[0], fleet.machines[1]
    upstream = leaver.upstream
    clients = [asyncio.create_task(send_regularly(fleet, caller))
               for _ in range(3)]
    await asyncio.sleep(2)
    if harness.TROUBLE:
        fleet.record.add(f"store: {leaver.name} is cut off")
        fleet.store.cut.add(leaver)
        await asyncio.sleep(0.3)
    late = upstream.heartbeat()
    fleet.record.add("upstream m2: sends a check-in that will be late, state "
                     f"{late['state']}, sequence {late['sequence']}")
    if not await upstream.leave():
        raise harness.CannotRun("the leave was not acknowledged")
    left_at = fleet.record.now()
    if harness.TROUBLE:
        leaver.send_signal(signal.SIGKILL)
        await asyncio.sleep(CUT_S)
        fleet.store.cut.discard(leaver)
        fleet.record.add(f"store: the cut of {leaver.name} heals")
    await asyncio.sleep(left_at + LATE_S - fleet.record.now())
    acknowledged = await upstream.send_heartbeat(late)
    fleet.record.add(f"upstream m2: the late check-in arrives; acknowledged: "
                     f"{acknowledged}")
    await asyncio.sleep(2)
    for client in clients:
        client.cancel()
    after = [time - left_at for time, _ in upstream.runs
             if time > left_at + harness.DRAIN_MS / 1000]
    if not after:
        return []
    return [f"DRAIN: {len(after)} requests reached the upstream that had left "
            f"later than {harness.DRAIN_MS} ms after the ack, the first after "
            f"{after[0]:.2f} s"]


harness.run_case(FOLDER, LAYOUT, ROUTES, case)
