"""A check-in of another writer arrives whose id cannot be read: it is not
valid UTF-8. The node registers it and ends when it writes its host entry. The
requests that it has passed on are never answered."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins"))
import harness  # noqa: E402

LAYOUT = [("kamloops", "catalogue"), ("surrey", "catalogue"),
          ("nanaimo", "orders")]
ROUTES = {
    "catalogue.example": harness.idempotent_route("r-1", "/list/",
                                                  "catalogue"),
    "orders.example": harness.unsafe_route("r-2", "/order/", "orders"),
}
# The rule: processes of a tenth of the machines, two at least, end by
# themselves three times.
MACHINES, TIMES = 2, 3
# Orders that are at work on kept connections of each of these machines when
# the check-in arrives. More than three may not be lost.
ORDERS, MAY_BE_LOST = 5, 3


async def send_unreadable(machine):
    """A whole check-in, but for its id."""
    host, port = machine.control
    body = json.dumps(machine.upstream.heartbeat()).encode()
    try:
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"PUT /pollenhall/instances/i-\xff\xfe HTTP/1.1\r\n"
                     + f"Host: {host}:{port}\r\n"
                       "Content-Type: application/json\r\n"
                       f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        answer = await asyncio.wait_for(harness.read_message(reader), 1)
        seen = answer.first_line
        writer.close()
    except (OSError, EOFError, asyncio.TimeoutError) as error:
        seen = repr(error)
    machine.fleet.record.add(
        f"another writer: sends a check-in with an unreadable id to "
        f"{machine.name}; sees {seen}")


async def order_on_kept_connection(machine):
    """Two orders on one connection; returns how the second one ended."""
    record = machine.fleet.record
    reader, writer = await asyncio.open_connection(*machine.outbound)
    end = "answer"
    try:
        for work in (10, 600):
            order = machine.fleet.new_id()
            writer.write(harness.format_message(
                f"POST /order/x?do=w{work} HTTP/1.1",
                {"Host": "orders.example", "Request-Id": order,
                 "Deadline-Ms": 5000}, b"one order"))
            await asyncio.wait_for(harness.read_message(reader), 6)
    except (OSError, EOFError):
        ran = [i for _, i in machine.fleet.machines[2].upstream.runs]
        end = "lost" if order in ran else "not passed on"
    writer.close()
    record.add(f"client {machine.name}: {order}: {end}")
    return end


async def case(fleet):
    lost = {m.name: 0 for m in fleet.machines[:MACHINES]}
    for _ in range(TIMES):
        # The processes have run for touch_ms and more.
        await asyncio.sleep(4)
        for machine in fleet.machines[:MACHINES]:
            orders = [asyncio.create_task(order_on_kept_connection(machine))
                      for _ in range(ORDERS)]
            await asyncio.sleep(0.3)
            if harness.TROUBLE:
                await send_unreadable(machine)
            lost[machine.name] += (await asyncio.gather(*orders)).count(
                "lost")
    await asyncio.sleep(2)
    breaches = [f"LOST: {name} closed kept connections without an answer to "
                f"{count} orders that it had passed on"
                for name, count in lost.items() if count > MAY_BE_LOST]
    ends = {m.name: len(m.own_ends) for m in fleet.machines}
    fleet.record.add(f"processes that ended by themselves: {ends}")
    if sum(count >= TIMES for count in ends.values()) >= MACHINES:
        breaches.append("Fault: processes ended by themselves, by machine: "
                        f"{ends}")
    return breaches


harness.run_case(FOLDER, LAYOUT, ROUTES, case)
