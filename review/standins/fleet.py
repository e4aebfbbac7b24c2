"""Stand-ins for callers, servers, operator and platform, for the scripts of
review/. Starts the project's own program as separate processes."""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BINARY = os.path.join(ROOT, "target/source/commands/marjoramsill")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, case):
        self.start = time.monotonic()
        self.file = open(os.path.join(case, "record.txt"), "w")
        self("trouble", "yes" if TROUBLE else "no")

    def __call__(self, *words):
        line = "%8.3f %s" % (time.monotonic() - self.start,
                             " ".join(str(word) for word in words))
        self.file.write(line + "\n")
        self.file.flush()


class CannotRun(Exception):
    pass


def free_network(ports):
    """The first three numbers of loopback addresses whose ports are free."""
    for _ in range(50):
        net = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
        try:
            for host in range(1, 16):
                for port in ports:
                    with socket.socket() as probe:
                        probe.bind(("%s.%d" % (net, host), port))
            return net
        except OSError:
            continue
    raise CannotRun("no free ports")


PEERS, PEERS_BIND, CONTROL, FRONT, READY, RELAY = (
    7340, 7341, 8229, 8227, 8220, 7342)
SERVER = 8120


class Node:
    """One machine of the system with one process. Other machines reach its
    peer address through a proxy of the stand-in."""

    def __init__(self, fleet, number, is_core, zone):
        self.fleet = fleet
        self.is_core = is_core
        self.zone = zone
        self.ip = "%s.%d" % (fleet.net, number)
        self.name = ("core-" if is_core else "edge-") + zone
        self.settings = os.path.join(fleet.folder, self.name + ".yaml")
        self.data = os.path.join(fleet.folder, self.name + ".data")
        self.process = None

    def write_settings(self, seeds, founds):
        lines = ["failure_domain: " + self.zone,
                 'peers: "%s:%d"' % (self.ip, PEERS),
                 'peers_bind: "%s:%d"' % (self.ip, PEERS_BIND)]
        if self.is_core:
            lines += ['control: "%s:%d"' % (self.ip, CONTROL),
                      'data_folder: "%s"' % self.data,
                      "founds_group: %s" % ("true" if founds else "false")]
        else:
            lines += ['callers: "%s:%d"' % (self.ip, FRONT),
                      'readiness: "%s:%d"' % (self.ip, READY),
                      'relay: "%s:%d"' % (self.ip, RELAY),
                      'endpoint_source: "%s"' % self.ip]
        lines += ["seeds: " + json.dumps(["%s:%d" % (seed.ip, CONTROL)
                                          for seed in seeds]),
                  "tolerated_losses: 1", "heartbeat_interval_ms: 1200",
                  "document_apply_ms: 2000", "grace_ms: 8000",
                  "link_mbps: %d" % (6 if self.is_core else 1000)]
        with open(self.settings, "w") as file:
            file.write("\n".join(lines) + "\n")

    def restart(self):
        """Starts again, as a machine of a system that has run before."""
        self.write_settings(self.fleet.cores, False)
        self.start()

    def start(self):
        role = "controller" if self.is_core else "entry"
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [BINARY, role, "--config", self.settings], cwd=self.fleet.folder,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is None:
            return
        try:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        except ProcessLookupError:
            pass
        self.process.wait()

    def has_ended(self):
        return self.process.poll() is not None

    def log_lines(self, word):
        with open(os.path.join(self.fleet.folder, self.name + ".log"),
                  errors="replace") as file:
            return [line.strip() for line in file if word in line]


class PeerProxy:
    """Carries the peer connections to a node. While a sender is cut off, its
    bytes and the bytes to it are dropped, and its connections stay open."""

    def __init__(self, fleet, node):
        self.fleet = fleet
        self.node = node
        self.cut_nodes = set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, self.node.ip,
                                                 PEERS)

    async def accept(self, reader, writer):
        try:
            there, here = await asyncio.open_connection(self.node.ip,
                                                        PEERS_BIND)
        except OSError:
            writer.transport.abort()
            return
        owner = self.owner(writer.get_extra_info("peername"))
        state = {"broken": False}
        await asyncio.gather(self.carry(reader, here, owner, state),
                             self.carry(there, writer, owner, state))

    def owner(self, peer):
        """The node whose process has the other end of the connection."""
        def text(ip, port):
            numbers = reversed([int(part) for part in ip.split(".")])
            return "%02X%02X%02X%02X:%04X" % (tuple(numbers) + (port,))

        wanted = [text(peer[0], peer[1]), text(self.node.ip, PEERS)]
        inode = None
        with open("/proc/net/tcp") as table:
            for line in table:
                words = line.split()
                if words[1:3] == wanted:
                    inode = "socket:[%s]" % words[9]
                    break
        for node in self.fleet.nodes:
            if node.process is None or node.process.poll() is not None:
                continue
            folder = "/proc/%d/fd" % node.process.pid
            try:
                names = os.listdir(folder)
            except OSError:
                continue
            for name in names:
                try:
                    if os.readlink(os.path.join(folder, name)) == inode:
                        return node
                except OSError:
                    continue
        return None

    async def carry(self, reader, writer, owner, state):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                # Bytes that are dropped never arrive, so the connection
                # stays silent after the cut.
                if owner in self.cut_nodes:
                    state["broken"] = True
                if state["broken"]:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.transport.abort()


class Fleet:
    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = free_network([PEERS, PEERS_BIND, CONTROL, FRONT, READY,
                                 RELAY, SERVER])
        self.nodes = []
        self.proxies = {}
        self.servers = []

    def add(self, is_core, zone):
        node = Node(self, len(self.nodes) + 1, is_core, zone)
        self.nodes.append(node)
        return node

    @property
    def cores(self):
        return [node for node in self.nodes if node.is_core]

    @property
    def edges(self):
        return [node for node in self.nodes if not node.is_core]

    async def start(self, zones=("perth", "bunbury", "kalgoorlie"), edges=2):
        if not os.access(BINARY, os.X_OK):
            raise CannotRun("the program is not built: " + BINARY)
        for zone in zones:
            self.add(True, zone)
        for number in range(edges):
            self.add(False, zones[number % len(zones)])
        for node in self.nodes:
            proxy = PeerProxy(self, node)
            await proxy.start()
            self.proxies[node] = proxy
        for node in self.nodes:
            node.write_settings(self.cores, True)
            node.start()

    def cut_from_core(self, node, is_cut):
        for core in self.cores:
            cut = self.proxies[core].cut_nodes
            (cut.add if is_cut else cut.discard)(node)

    async def stop(self):
        for server in self.servers:
            server.stop()
        for node in self.nodes:
            node.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self, status, fields, body, complete):
        self.status = status
        self.fields = fields
        self.body = body
        self.complete = complete


async def read_answer(reader):
    """One HTTP/1.1 response; status 0 if none came."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return Answer(0, {}, b"", False)
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        elif fields.get("transfer-encoding", "") == "chunked":
            while True:
                size = int(await reader.readline(), 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        elif status not in (204, 304):
            body = await reader.read()
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return Answer(status, fields, body, False)
    return Answer(status, fields, body, True)


async def call(ip, port, method, path, fields=(), body=b"", timeout=3.0):
    """Sends one request on a new connection."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(ip, port), min(timeout, 1.0))
        text = "%s %s HTTP/1.1\r\n" % (method, path)
        given = dict(fields)
        given.setdefault("Host", "rinks.example")
        if body or method in ("POST", "PUT"):
            given["Content-Length"] = str(len(body))
        for name, value in given.items():
            text += "%s: %s\r\n" % (name, value)
        writer.write(text.encode() + b"\r\n" + body)
        return await asyncio.wait_for(read_answer(reader), timeout)
    except (OSError, asyncio.TimeoutError):
        return Answer(0, {}, b"", False)
    finally:
        if writer is not None:
            writer.close()


class Client:
    """Sends requests to the callers' address of one edge machine."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.number = 0
        # Request, node and time of each request.
        self.sent = []

    async def send(self, node, path, method="POST", deadline_ms=3000,
                   fields=()):
        self.number += 1
        request = "%s%08x" % (node.name[-2:], self.number)
        given = {"Attempt-Id": request, "Deadline-Ms": str(deadline_ms)}
        given.update(dict(fields))
        self.fleet.record("sent", request, "to", node.name, method, path)
        sent = time.monotonic()
        self.sent.append((request, node, sent))
        answer = await call(node.ip, FRONT, method, path, given, b"body",
                            deadline_ms / 1000 + 0.5)
        self.fleet.record("answered", request, answer.status,
                          "whole" if answer.complete else "not whole",
                          answer.fields.get("server-signature", "-"))
        answer.request = request
        answer.sent_at = sent
        return answer


class Server:
    """A sound server: announces itself, runs requests that name it."""

    def __init__(self, fleet, number, service, zone, name=None):
        self.fleet = fleet
        self.ip = "%s.%d" % (fleet.net, number)
        self.service = service
        self.zone = zone
        self.id = name or "i-%s-%d" % (service, number)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.senders = {}
        self.retry_after = None
        # Machines that it turns away; none: all.
        self.turned_away = None
        self.leaving = False
        # False: its heartbeats don't arrive.
        self.beats = True
        fleet.servers.append(self)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, SERVER)
        self.beating = asyncio.ensure_future(self.beat_always())

    def stop(self):
        self.beating.cancel()
        self.server.close()

    async def beat_always(self):
        while True:
            if self.beats:
                await self.beat()
            await asyncio.sleep(1.2)

    async def beat(self):
        self.sequence += 1
        body = json.dumps({
            "service": self.service, "address": "%s:%d" % (self.ip, SERVER),
            "zone": self.zone, "version": "v1", "slots": 6,
            "state": self.state, "coldRemainingMs": 0, "born": self.born,
            "sequence": self.sequence}).encode()
        cores = list(self.fleet.cores)
        random.shuffle(cores)
        for core in cores:
            answer = await call(core.ip, CONTROL, "PUT",
                                "/instances/" + self.id,
                                {"Content-Type": "application/json"}, body,
                                1.0)
            if 200 <= answer.status < 300:
                return True
        return False

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                fields = {}
                for line in lines[1:]:
                    if line:
                        name, value = line.split(":", 1)
                        fields[name.strip().lower()] = value.strip()
                body = await reader.readexactly(
                    int(fields.get("content-length", 0)))
                await self.answer(lines[0], fields, body, writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        writer.close()

    async def answer(self, line, fields, body, writer):
        request = fields.get("attempt-id", "-")
        if "target-instance" in fields and fields["target-instance"] != self.id:
            self.reply(writer, 421, {"Instance-Id": self.id}, b"")
            return
        sender = writer.get_extra_info("peername")[0]
        told = {"Attempt-Id": request}
        if self.leaving:
            told["Server-Leaving"] = "1"
        is_unwanted = self.turned_away is None or sender in self.turned_away
        if self.retry_after is not None and is_unwanted:
            self.fleet.record(self.id, "turns away", request, "Retry-After",
                              self.retry_after)
            told.update({"Not-Executed": "1", "Retry-After": self.retry_after})
            self.reply(writer, 503, told, b"")
            return
        self.runs.append((time.monotonic(), request))
        self.senders[request] = sender
        self.fleet.record(self.id, "runs", request, "from", sender)
        await asyncio.sleep(0.02)
        told["Server-Signature"] = self.id
        self.reply(writer, 200, told, b"done")

    @staticmethod
    def reply(writer, status, fields, body):
        text = "HTTP/1.1 %d X\r\n" % status
        for name, value in fields.items():
            text += "%s: %s\r\n" % (name, value)
        text += "Content-Length: %d\r\n\r\n" % len(body)
        writer.write(text.encode() + body)


def document(version, routes, services):
    return json.dumps({
        "version": version, "routes": routes,
        "services": [{"name": name, "healthPath": "/healthz", "maxConns": 96,
                      "protocol": "h1", "tls": False} for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}).encode()


def route(name, prefix, service, kind="idempotent", attempts=2, **more):
    made = {"name": name, "host": "rinks.example", "pathPrefix": prefix,
            "routeType": kind, "timeoutMs": 3000, "targetLatencyMs": 300,
            "priority": 1, "service": service, "maxAttempts": attempts,
            "public": True, "sticky": False, "resumable": False,
            "gapAimMs": 250}
    made.update(more)
    return made


async def put_config(fleet, body, label, cores=None, patience=12.0):
    """As the operator: to any machine that serves control, until it is
    acknowledged."""
    end = time.monotonic() + patience
    while time.monotonic() < end:
        for core in cores or fleet.cores:
            answer = await call(core.ip, CONTROL, "PUT", "/config",
                                {"Content-Type": "application/json"}, body, 1.0)
            if answer.status == 200:
                fleet.record("operator: acknowledged", label, "by", core.name)
                return True
        await asyncio.sleep(0.1)
    fleet.record("operator: not acknowledged", label)
    return False


async def get_config(fleet, cores=None, patience=3.0):
    """The version read back; None if it doesn't come."""
    end = time.monotonic() + patience
    while time.monotonic() < end:
        for core in cores or fleet.cores:
            answer = await call(core.ip, CONTROL, "GET", "/config", (), b"",
                                1.0)
            if answer.status == 200:
                version = json.loads(answer.body)["version"]
                fleet.record("operator: read", version, "from", core.name)
                return version
        await asyncio.sleep(0.2)
    fleet.record("operator: no read")
    return None


def main(case, run):
    """Runs the case and exits with its result."""
    record = Record(case)
    result = NOT_RUN

    async def whole():
        fleet = Fleet(record)
        try:
            return await asyncio.wait_for(run(fleet, record), 115)
        finally:
            await fleet.stop()

    try:
        result = asyncio.run(whole())
    except CannotRun as reason:
        record("could not run:", reason)
    except asyncio.TimeoutError:
        record("could not run: out of time")
    record("result", {HELD: "held", BROKEN: "broken"}.get(result, "not run"))
    # Without the messages of connections that are still open.
    os._exit(result)
