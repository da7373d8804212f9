"""The two nodes of a zone that watch the store are cut off from it, silently.
The other nodes of the zone ask only them for changes, although they reach the
store themselves, and go on with the old configuration."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins"))
import harness  # noqa: E402

LAYOUT = [("kamloops", "catalogue")] * 4 + [("surrey", "orders")] * 2
ROUTES = {
    "catalogue.example": harness.idempotent_route("r-1", "/list/",
                                                  "catalogue"),
    "orders.example": harness.unsafe_route("r-2", "/order/", "orders"),
}
CONFIG_APPLY_S = 2.0
CUT_S = 4.0
# The cut begins when the watches of both nodes have this long to run.
WATCH_LEFT_S = 2.7


async def send_regularly(fleet, machine, host, target, method):
    while True:
        await fleet.request(machine, fleet.new_id(), host, target, 2000,
                            method=method)
        await asyncio.sleep(0.1)


def watching(fleet):
    """Machines of kamloops whose watch waits at the store, with the time that
    it has to run."""
    now = time.monotonic()
    return {m: end - now for m, end in fleet.store.watch_ends.items()
            if m.zone == "kamloops" and end > now}


async def case(fleet):
    record = fleet.record
    # Until the nodes have settled on the ones that watch the store.
    await asyncio.sleep(8)
    end = time.monotonic() + 60
    while True:
        watches = watching(fleet)
        if len(watches) == 2 and min(watches.values()) >= WATCH_LEFT_S:
            break
        if time.monotonic() > end:
            raise harness.CannotRun("the zone has no two watching nodes")
        await asyncio.sleep(0.02)
    relays = list(watches)
    others = [m for m in fleet.machines[:4] if m not in relays]
    record.add("nodes that watch the store: "
               + ", ".join(m.name for m in relays))
    clients = [asyncio.create_task(send_regularly(
        fleet, m, "catalogue.example", "/list/x?do=w10", "GET"))
        for m in others]
    clients += [asyncio.create_task(send_regularly(
        fleet, m, "orders.example", "/order/x?do=w10", "POST"))
        for m in fleet.machines[4:]]
    if harness.TROUBLE:
        for machine in relays:
            fleet.store.cut.add(machine)
            record.add(f"store: {machine.name} is cut off")
    changed = fleet.configuration(8)
    changed["virtual_hosts"][0]["paths"][0]["service"] = "orders"
    fleet.store.put("op/config", json.dumps(changed).encode())
    acknowledged = record.now()
    record.add("operator: writes version 8, which moves /list/ to orders; the "
               "store acknowledges it")
    await asyncio.sleep(CUT_S)
    fleet.store.cut.clear()
    record.add("store: the cut ends")
    await asyncio.sleep(2)
    for client in clients:
        client.cancel()
    # Requests taken from clients and run beside machines in touch.
    stale = [(when, m.name, run) for m in others for when, run in
             m.upstream.runs if run in fleet.lists
             and fleet.lists[run] > acknowledged + CONFIG_APPLY_S]
    if not stale:
        return []
    last = max(when for when, _, _ in stale) - acknowledged
    return [f"CONFIG: {len(stale)} requests for /list/ that were sent later "
            f"than {CONFIG_APPLY_S} s after the ack of version 8 were run by "
            f"the old service, the last one {last:.2f} s after it"]


class watched_fleet(harness.Fleet):
    """Notes when each lookup was sent."""

    async def request(self, machine, request_id, host, *others, **options):
        if not hasattr(self, "lists"):
            self.lists = {}
        if host == "catalogue.example":
            self.lists[request_id] = self.record.now()
        return await super().request(machine, request_id, host, *others,
                                     **options)


harness.Fleet = watched_fleet
harness.run_case(FOLDER, LAYOUT, ROUTES, case)
