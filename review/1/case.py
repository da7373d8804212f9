"""A node is stopped as planned while a request runs at its upstream. The
request makes a call late in the grace. The node takes the call, passes it on,
and ends without an answer to it before the grace is over."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins"))
import harness  # noqa: E402

LAYOUT = [("kamloops", "catalogue"), ("surrey", "orders"),
          ("nanaimo", "warranty")]
ROUTES = {
    "catalogue.example": harness.idempotent_route("r-1", "/list/",
                                                  "catalogue"),
    "orders.example": harness.unsafe_route("r-2", "/order/", "orders"),
    "warranty.example": harness.idempotent_route("r-3", "/serial/",
                                                 "warranty"),
}
# Each order works, makes a call with 400 ms of work, and works 50 ms. It is
# sent 200 ms before the stop; its time limit is 6,000 ms.
WORK_BEFORE_CALL_MS = (4600, 4800, 5000, 5100)
CALL_WORK_MS = 400
# A request that is sent later than this after SIGTERM isn't excused by an
# upstream at work in the last sixth of the grace.
EXCUSED_UNTIL_S = 3.0


async def case(fleet):
    caller, orders = fleet.machines[0], fleet.machines[1]
    calls = []
    request = fleet.request

    async def watched(machine, request_id, *others, **options):
        result = await request(machine, request_id, *others, **options)
        if "." in request_id:
            calls.append(result)
        return result
    fleet.request = watched

    sent = [asyncio.create_task(request(
        caller, fleet.new_id(), "orders.example",
        f"/order/x?do=w{work},cwarranty.example/serial/x|do~w{CALL_WORK_MS}"
        ",w50", 6000, method="POST")) for work in WORK_BEFORE_CALL_MS]
    await asyncio.sleep(0.2)
    stopped_at = fleet.record.now()
    stopping = None
    if harness.TROUBLE:
        stopping = asyncio.create_task(orders.terminate())
    results = await asyncio.gather(*sent)
    if stopping:
        await stopping
    await asyncio.sleep(0.5)

    runs = {run_id for _, run_id in fleet.machines[2].upstream.runs}
    breaches = []
    for call in calls:
        after = call.sent_at - stopped_at
        if (call.end == "closed" and call.id in runs
                and after > EXCUSED_UNTIL_S):
            breaches.append(
                f"LOST: call {call.id}, sent {after:.2f} s after SIGTERM, was "
                "passed on to an upstream; its connection was closed "
                f"{call.ended_at - stopped_at:.2f} s after SIGTERM without an "
                "answer, before its time limit and before the grace of "
                f"{harness.GRACE_S} s was over")
    for result in results:
        fleet.record.add(f"order {result.id} ended with {result.end} "
                         f"{result.status or ''}")
    if not harness.TROUBLE:
        breaches += [f"order {r.id} ended with {r.end} {r.status}"
                     for r in results if r.status != 200]
    return breaches


harness.run_case(FOLDER, LAYOUT, ROUTES, case)
