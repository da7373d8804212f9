"""A node is stopped as planned while a request of a kept connection is at
work and the next one has been read. The second request is dropped without an
answer."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins"))
import harness  # noqa: E402

LAYOUT = [("kamloops", "catalogue"), ("surrey", "orders"),
          ("nanaimo", "catalogue")]
ROUTES = {
    "catalogue.example": harness.idempotent_route("r-1", "/list/",
                                                  "catalogue"),
    "orders.example": harness.unsafe_route("r-2", "/order/", "orders"),
}


async def case(fleet):
    node = fleet.machines[0]
    record = fleet.record
    first_id, second_id = fleet.new_id(), fleet.new_id()
    reader, writer = await asyncio.open_connection(*node.outbound)
    writer.write(harness.format_message(
        "GET /list/x?do=w1200 HTTP/1.1",
        {"Host": "catalogue.example", "Request-Id": first_id,
         "Deadline-Ms": 5000}, length=False))
    writer.write(harness.format_message(
        "POST /order/x?do=w50 HTTP/1.1",
        {"Host": "orders.example", "Request-Id": second_id,
         "Deadline-Ms": 5000}, b"one order"))
    await writer.drain()
    sent_at = record.now()
    record.add(f"client m1: sends {first_id} (GET) and {second_id} (POST) on "
               "one connection")
    await asyncio.sleep(0.3)
    stopping = None
    if harness.TROUBLE:
        stopping = asyncio.create_task(node.terminate())
    answers = []
    try:
        while len(answers) < 2:
            answers.append(await asyncio.wait_for(
                harness.read_message(reader), 6))
            record.add(f"client m1: gets {answers[-1].status} for "
                       f"{answers[-1].fields.get('request-id')}, Connection "
                       f"{answers[-1].fields.get('connection')}")
    except (OSError, EOFError, asyncio.TimeoutError) as error:
        record.add(f"client m1: the connection ends: {error!r}")
    ended_at = record.now()
    writer.close()
    if stopping:
        await stopping
    runs = {run_id for m in fleet.machines for _, run_id in m.upstream.runs}
    record.add(f"{second_id} ran: {second_id in runs}")
    if len(answers) == 2:
        return []
    late_ms = (ended_at - sent_at) * 1000
    if late_ms <= harness.LOSS_SLACK_MS:
        return []
    return [f"LOST: the connection ended without an answer to {second_id}, "
            f"{late_ms:.0f} ms after its last byte was sent"]


harness.run_case(FOLDER, LAYOUT, ROUTES, case)
