"""A server crashes in the middle of streams and plain answers that end with
their connection. What it had sent so far reaches callers as a whole answer."""
import asyncio
import os
import signal
import subprocess
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "standins"))
import fleet as standins  # noqa: E402

EVENTS, INTERVAL_MS = 10, 100
DEADLINE_MS = 12000


class ServerProcess:
    def __init__(self, fleet, number, name, zone):
        self.name = name
        self.log = os.path.join(fleet.folder, name + ".out")
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, os.path.join(CASE, "../standins/server.py"),
                 "%s.%d" % (fleet.net, number), str(standins.SERVER), name,
                 "sill", zone, str(EVENTS), str(INTERVAL_MS)] +
                ["%s:%d" % (core.ip, standins.CONTROL)
                 for core in fleet.cores], stdout=log, stderr=log)
        fleet.servers.append(self)

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def said(self):
        with open(self.log) as file:
            return [line.strip() for line in file]

    def runs(self, request):
        return any(line.startswith("runs %s " % request)
                   for line in self.said())


async def run(fleet, record):
    await fleet.start(edges=1)
    edge = fleet.edges[0]
    servers = [ServerProcess(fleet, 11, "i-one", "perth"),
               ServerProcess(fleet, 12, "i-two", "bunbury")]
    routes = [
        standins.route("wear", "/wear/", "sill", "streaming", 2,
                       resumable=True, timeoutMs=12000, targetLatencyMs=250),
        standins.route("audit", "/audit/", "sill", "streaming", 1,
                       timeoutMs=12000, targetLatencyMs=1200),
        standins.route("book", "/book/", "sill", "non_idempotent", 1,
                       timeoutMs=12000)]
    if not await standins.put_config(
            fleet, standins.document(3, routes, ["sill"]), "version 3"):
        raise standins.CannotRun("no acknowledgement")
    client = standins.Client(fleet)

    async def send(path, delay=0.0):
        await asyncio.sleep(delay)
        return await client.send(edge, path, deadline_ms=DEADLINE_MS)

    for _ in range(100):
        if (await send("/wear/short")).status == 200:
            break
        await asyncio.sleep(0.1)
    await asyncio.sleep(6)

    # Usual work: short answers, some of them at the same time.
    await asyncio.gather(*[send("/wear/short", 0.03 * i) for i in range(6)])
    # Longer ones; one of the two servers crashes in the middle of them.
    paths = ["/wear/long", "/audit/long", "/book/long"]
    calls = [asyncio.ensure_future(send(path, 0.02 * i))
             for i, path in enumerate(paths)]
    await asyncio.sleep((EVENTS / 2 + 0.5) * INTERVAL_MS / 1000)
    if standins.TROUBLE:
        counts = [len([line for line in server.said()
                       if line.startswith("event 3 of %d " % EVENTS)])
                  for server in servers]
        crashed = servers[counts.index(max(counts))]
        record("disruption: server", crashed.name, "crashes")
        crashed.process.send_signal(signal.SIGKILL)
        crashed.process.wait()
    answers = await asyncio.gather(*calls)
    for server in servers:
        for line in server.said():
            record(server.name + ":", line)
    return judge(paths, answers, record)


def judge(paths, answers, record):
    result = standins.HELD
    for path, answer in zip(paths, answers):
        events = answer.body.count(b"data: ")
        has_last = b" last\n\n" in answer.body
        looks_whole = answer.status == 200 and answer.complete
        record(path, answer.request, answer.status,
               "ends as complete" if answer.complete else "broken off",
               "with", events, "of", EVENTS, "parts")
        if not looks_whole or has_last:
            continue
        rule = "MIXED" if path.startswith("/book") else "ORDER"
        record(rule, "broken:", answer.request, "ends as complete with",
               events, "of", EVENTS, "parts")
        result = standins.BROKEN
    return result


standins.main(CASE, run)
