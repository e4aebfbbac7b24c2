"""A sound server as a process of its own. Its streams have neither a length nor
chunks and end with their connection. Usage: server.py IP PORT ID SERVICE ZONE
EVENTS INTERVAL_MS CORE..."""
import asyncio
import json
import random
import sys
import time

IP, PORT, ID, SERVICE, ZONE = (sys.argv[1], int(sys.argv[2]), sys.argv[3],
                               sys.argv[4], sys.argv[5])
EVENTS, INTERVAL = int(sys.argv[6]), int(sys.argv[7]) / 1000
CORES = sys.argv[8:]
BORN = int(time.time() * 1000)


def say(*words):
    print(" ".join(str(word) for word in words), flush=True)


async def beat(sequence):
    body = json.dumps({
        "service": SERVICE, "address": "%s:%d" % (IP, PORT), "zone": ZONE,
        "version": "v1", "slots": 64, "state": "ready", "coldRemainingMs": 0,
        "born": BORN, "sequence": sequence}).encode()
    for core in random.sample(CORES, len(CORES)):
        ip, port = core.split(":")
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(ip, int(port)), 1)
            writer.write(("PUT /instances/%s HTTP/1.1\r\nHost: control\r\n"
                          "Content-Type: application/json\r\n"
                          "Content-Length: %d\r\nConnection: close\r\n\r\n"
                          % (ID, len(body))).encode() + body)
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            if b" 200 " in line:
                return
        except (OSError, asyncio.TimeoutError):
            continue


async def beats():
    sequence = 0
    while True:
        sequence += 1
        await beat(sequence)
        await asyncio.sleep(1.2)


async def serve(reader, writer):
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            fields = {}
            for line in head.split("\r\n")[1:]:
                if line:
                    name, value = line.split(":", 1)
                    fields[name.strip().lower()] = value.strip()
            await reader.readexactly(int(fields.get("content-length", 0)))
            if not await answer(head.split(" ")[1], fields, writer):
                break
    except (asyncio.IncompleteReadError, OSError):
        pass
    writer.close()


async def answer(path, fields, writer):
    request = fields.get("attempt-id", "-")
    if fields.get("target-instance", ID) != ID:
        writer.write(("HTTP/1.1 421 X\r\nInstance-Id: %s\r\n"
                      "Content-Length: 0\r\n\r\n" % ID).encode())
        return True
    after = int(fields.get("last-event-id", 0))
    kind = "text/plain" if path.startswith("/book") else "text/event-stream"
    say("runs", request, "after", after)
    writer.write(("HTTP/1.1 200 OK\r\nContent-Type: %s\r\n"
                  "Attempt-Id: %s\r\nServer-Signature: %s\r\n"
                  "Connection: close\r\n\r\n" % (kind, request, ID)).encode())
    events = 2 if "/short" in path else EVENTS
    for number in range(after + 1, events + 1):
        await asyncio.sleep(INTERVAL)
        last = " last" if number == events else ""
        writer.write(("id: %d\ndata: %s of %d%s\n\n" %
                      (number, number, events, last)).encode())
        await writer.drain()
        say("event", number, "of", events, "of", request)
    return False


async def main():
    server = await asyncio.start_server(serve, IP, PORT)
    asyncio.ensure_future(beats())
    async with server:
        await server.serve_forever()


asyncio.run(main())
