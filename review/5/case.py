"""After a restart of the core's processes a heartbeat that comes late brings a
server back into use that had signed off."""
import asyncio
import json
import os
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "standins"))
import fleet as standins  # noqa: E402

DRAIN_S = 2.0
CONTACT_S = 3.0


async def call_core(core, method, path, body):
    answer = await standins.call(core.ip, standins.CONTROL, method, path,
                                 {"Content-Type": "application/json"}, body,
                                 1.0)
    return answer.status


async def run(fleet, record):
    await fleet.start()
    leaver = standins.Server(fleet, 11, "desk", "perth")
    stayer = standins.Server(fleet, 12, "desk", "bunbury")
    for server in (leaver, stayer):
        await server.start()
    if not await standins.put_config(fleet, standins.document(
            3, [standins.route("book", "/book/", "desk", "non_idempotent", 1)],
            ["desk"]), "version 3"):
        raise standins.CannotRun("no acknowledgement")
    client = standins.Client(fleet)
    for each in fleet.edges:
        for _ in range(100):
            if (await client.send(each, "/book/try")).status == 200:
                break
            await asyncio.sleep(0.1)
    await asyncio.sleep(6)

    # A last heartbeat is on its way for 3.3 s.
    leaver.beats = False
    leaver.sequence += 1
    late = json.dumps({
        "service": "desk", "address": "%s:%d" % (leaver.ip, standins.SERVER),
        "zone": "perth", "version": "v1", "slots": 6, "state": "ready",
        "coldRemainingMs": 0, "born": leaver.born,
        "sequence": leaver.sequence}).encode()
    record(leaver.id, "sends heartbeat", leaver.sequence, "(ready)")
    await asyncio.sleep(0.3)
    core = fleet.cores[0]
    if await call_core(core, "DELETE", "/instances/" + leaver.id, b"") != 200:
        raise standins.CannotRun("the end is not acknowledged")
    gone_at = time.monotonic()
    record(leaver.id, "signs off: DELETE, acknowledged by", core.name)

    await asyncio.sleep(0.5)
    edge = fleet.edges[0]
    killed = fleet.cores + [edge]
    if standins.TROUBLE:
        record("disruption: the processes of the core and of", edge.name,
               "are killed")
        for node in killed:
            node.kill()
        await asyncio.sleep(0.7)
        for node in killed:
            node.restart()
    back_at = time.monotonic()
    await asyncio.sleep(gone_at + 3.0 - time.monotonic())
    status = await call_core(fleet.cores[1], "PUT",
                             "/instances/" + leaver.id, late)
    record("heartbeat", leaver.sequence, "of", leaver.id, "arrives:", status)
    # All machines have been in touch for a while.
    await asyncio.sleep(back_at + CONTACT_S + 1.5 - time.monotonic())
    for number in range(10):
        for each in fleet.edges:
            await client.send(each, "/book/later%d" % number)
    leaver.stop()
    record(leaver.id, "exits")

    result = standins.HELD
    for request, node, sent_at in client.sent:
        if sent_at > gone_at + DRAIN_S and request in leaver.senders:
            record("DRAIN broken:", request, "was sent",
                   "%.3f s after the acknowledged end" % (sent_at - gone_at),
                   "and has reached", leaver.id, "from", node.name)
            result = standins.BROKEN
    return result


standins.main(CASE, run)
