"""A small site on loopback for the cases of this review.

It starts the project's own daemons with the command of the deploy file, one
for each machine, with settings filled into the deploy file's own template. The
platform's store, the instances and the clients are stand-ins that follow
PROTOCOL.md. All of them run in this process, on one event loop, so that the
record has one order of events.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {
    "contact_s": 4, "drain_s": 2.5, "grace_period_s": 6,
    "config_apply_s": 2.5, "retry_budget_ratio": 0.2,
    "budget_window_s": 10, "retry_budget_extra": 60, "hold_max_s": 10,
}


class CannotRun(Exception):
    """The case could not be set up; nothing is known about the rule."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# --- HTTP -------------------------------------------------------------------


class Head:
    def __init__(self, lines):
        self.first = lines[0].split(" ", 2)
        self.headers = []
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.headers.append((name.strip().lower(), value.strip()))

    def get(self, name, default=""):
        for key, value in self.headers:
            if key == name.lower():
                return value
        return default


async def read_head(reader):
    """Returns the next head, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Head(raw[:-4].decode("latin-1").split("\r\n"))


async def read_chunk(reader):
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader, head, is_answer=False):
    """Reads a whole body; raises IncompleteReadError if it is cut short."""
    if head.get("transfer-encoding").lower() == "chunked":
        parts = []
        while part := await read_chunk(reader):
            parts.append(part)
        return b"".join(parts)
    length = head.get("content-length")
    if length:
        return await reader.readexactly(int(length))
    return await reader.read() if is_answer else b""


def head_bytes(first, headers):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


# --- The platform's store ---------------------------------------------------


class Store:
    """Rows, conditional transactions and the change feed."""

    def __init__(self):
        self.rows = {}
        self.version = 1
        self.changed = asyncio.Event()
        self.address = ""

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def state(self):
        return {"ver": self.version, "now_s": time.monotonic()}

    def row(self, name):
        value, version, removed = self.rows[name]
        row = {"table": name[0], "part": name[1], "key": name[2],
               "value": value, "ver": version}
        if removed:
            row["removed"] = True
        return row

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put_operator_row(self, key, value):
        self.version += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[("op", "", key)] = (text, self.version, False)
        self.wake()

    def transact(self, call):
        def name_of(entry):
            return entry["table"], entry.get("part", ""), entry["key"]

        current = []
        holds = True
        for entry in call.get("expect", []):
            value, version, removed = self.rows.get(name_of(entry),
                                                    ("", 0, True))
            version = 0 if removed else version
            holds = holds and version == entry["ver"]
            if version:
                current.append(self.row(name_of(entry)))
        if not holds:
            return 412, self.state() | {"rows": current}
        self.version += 1
        for entry in call.get("writes", []):
            self.rows[name_of(entry)] = (entry["value"], self.version, False)
        for entry in call.get("delete", []):
            self.rows[name_of(entry)] = ("", self.version, True)
        self.wake()
        return 200, self.state()

    def get(self, query):
        names = sorted(name for name, row in self.rows.items()
                       if name[0] == query["table"]
                       and name[1] == query.get("part", "")
                       and name[2] >= query.get("from", "") and not row[2])
        return 200, self.state() | {"rows": [self.row(name) for name in names],
                                    "has_more": False}

    async def feed(self, query):
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        after = int(query["after"])
        while True:
            found = [self.row(name) for name, row in self.rows.items()
                     if name[0] == query["table"] and row[1] > after]
            left = end - time.monotonic()
            if found or left <= 0:
                found.sort(key=lambda row: row["ver"])
                return 200, self.state() | {"rows": found}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head)
                path, _, text = head.first[1].partition("?")
                query = dict(urllib.parse.parse_qsl(text,
                                                    keep_blank_values=True))
                await asyncio.sleep(0.004)
                if path == "/api/rows-tx":
                    status, answer = self.transact(json.loads(body))
                elif path == "/api/rows-get":
                    status, answer = self.get(query)
                elif path == "/api/rows-feed":
                    status, answer = await self.feed(query)
                else:
                    status, answer = 404, {}
                data = json.dumps(answer).encode()
                writer.write(head_bytes(f"HTTP/1.1 {status} -", [
                    ("Content-Type", "application/json"),
                    ("Content-Length", len(data))]) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def table(rows):
    """Encodes objects as columns and rows; null means omitted."""
    columns = list(dict.fromkeys(name for row in rows for name in row))
    return {"columns": columns,
            "rows": [[row.get(name) for name in columns] for row in rows]}


# --- Instances --------------------------------------------------------------


class Instance:
    """An application instance. Subclasses override `run`."""

    def __init__(self, record, machine, name, **options):
        self.record = record
        self.machine = machine
        self.id = name
        self.capacity = options.get("capacity", 9)
        self.heartbeat_s = options.get("heartbeat_s", 0.87)
        self.work_s = options.get("work_s", 0.05)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.phase = "ready"
        self.up = True
        self.server = None
        self.writers = set()
        self.runs = []
        self.acknowledged = None

    async def listen(self):
        host, port = self.machine.app_address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        asyncio.create_task(self.beat())

    async def crash(self):
        """Ends at once: nothing is sent, and all connections break."""
        self.up = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def call(self, name, body):
        """One call to the daemon on the same machine; returns the status."""
        host, port = self.machine.reports.split(":")
        data = json.dumps(body).encode()
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), 1)
            writer.write(head_bytes(
                f"POST /api/rpc?call=instances.{name}&of={self.id} HTTP/1.1",
                [("Host", "daemon"), ("Content-Type", "application/json"),
                 ("Content-Length", len(data))]) + data)
            head = await asyncio.wait_for(read_head(reader), 1)
            return int(head.first[1]) if head else 0
        except (OSError, asyncio.TimeoutError):
            return 0
        finally:
            if writer:
                writer.close()

    def heartbeat(self):
        self.sequence += 1
        return {"address": self.machine.app_address, "born": self.born,
                "holds": [], "released": [],
                "info": {"service": self.machine.service, "version": "v1",
                         "zone": self.machine.zone,
                         "capacity": self.capacity},
                "status": {"phase": self.phase, "sequence": self.sequence,
                           "cold_remaining_s": 0}}

    async def beat(self):
        while self.up:
            phase = self.phase
            status = await self.call("heartbeat", self.heartbeat())
            if status == 200 and phase == "draining" and not self.acknowledged:
                self.acknowledged = time.monotonic()
            await asyncio.sleep(self.heartbeat_s)

    async def deregister(self):
        """Calls until the departure is acknowledged."""
        while self.up and not self.acknowledged:
            if await self.call("deregister", {"born": self.born}) == 200:
                self.acknowledged = time.monotonic()
                self.record(f"instance {self.id}: deregister acknowledged")
            else:
                await asyncio.sleep(0.2)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                if not await self.handle(head, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, head, reader, writer):
        request = head.get("Request-Id")
        if head.get("Expected-Instance") not in ("", self.id):
            self.record(f"instance {self.id}: 421 to {request}")
            writer.write(head_bytes("HTTP/1.1 421 Misdirected Request", [
                ("Request-Id", request), ("Not-Executed", "1"),
                ("Instance-Id", self.id), ("Content-Length", "0")]))
            await writer.drain()
            # The rest of a long body is read later; the connection is kept.
            await read_body(reader, head)
            return True
        return await self.run(head, reader, writer)

    def begin(self, head):
        """Notes that work on a request begins."""
        request = head.get("Request-Id")
        self.runs.append((time.monotonic(), request))
        self.record(f"instance {self.id}: runs {request} {head.first[0]} "
                    f"{head.first[1]} from {head.get('Caller-Service')} "
                    f"deadline {head.get('Deadline-Ms')}")

    def answer(self, head, body, status="200 OK"):
        return head_bytes(f"HTTP/1.1 {status}", [
            ("Request-Id", head.get("Request-Id")),
            ("Server-Signature", f"{self.id}.{head.get('Request-Id')}"),
            ("Instance-Load", f"1,0,{self.capacity}"),
            ("Content-Length", len(body))]) + body

    async def run(self, head, reader, writer):
        self.begin(head)
        await read_body(reader, head)
        await asyncio.sleep(self.work_s)
        writer.write(self.answer(head, b"done"))
        await writer.drain()
        return True


# --- Machines with their daemons --------------------------------------------


def free_address(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


def lookup(fields, path):
    for part in path.split("."):
        fields = fields.get(part) if isinstance(fields, dict) else None
    return fields


class Machine:
    def __init__(self, site, name, host, zone, service):
        self.site = site
        self.name = name
        self.zone = zone
        self.service = service
        addresses = {free_address(host) for _ in range(40)}
        (self.outbound, self.inbound, self.readiness, self.reports,
         self.app_address) = sorted(addresses)[:5]
        self.process = None
        self.started = None

    def write_settings(self):
        site = self.site
        fields = {
            "node_name": self.name, "zone": self.zone,
            "region": site.zones[self.zone], "zones": site.zones,
            "listen": {"outbound": self.outbound, "inbound": self.inbound,
                       "readiness": self.readiness,
                       "control_plane": self.reports},
            "app_address": self.app_address, "service": self.service,
            "platform": {"address": site.store.address},
            "limits": {"max_fds": 4100, "link_mbps": 1000.0},
            "bootstrap": True, "bounds": site.bounds,
        }
        with open(os.path.join(ROOT, site.role["template"])) as file:
            text = file.read()
        text = re.sub(r"\{\{([a-z_.]+)\|json\}\}",
                      lambda m: json.dumps(lookup(fields, m[1])), text)
        path = os.path.join(site.folder, self.name + ".yaml")
        with open(path, "w") as file:
            file.write(text)
        return path

    def start(self):
        settings = self.write_settings()
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["EELGRASSBRIDGE_SETTINGS"] = settings
        log = open(os.path.join(self.site.folder, self.name + ".log"), "a")
        self.process = subprocess.Popen(
            self.site.role["run"].split(), cwd=ROOT, env=environment,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.started = time.monotonic()
        self.site.record(f"daemon {self.name}: started")

    def signal(self, number):
        self.site.record(f"daemon {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def wait_end(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
        self.site.record(f"daemon {self.name}: ended")

    async def ready(self):
        host, port = self.readiness.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head_bytes("GET /api/readyz HTTP/1.1",
                                    [("Host", "daemon")]))
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and head.first[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False


class Site:
    def __init__(self, folder, zones, seed):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.zones = zones
        self.bounds = dict(BOUNDS)
        self.store = Store()
        self.machines = []
        self.random = random.Random(seed)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["node"]
        program = os.path.join(ROOT, self.role["run"].split()[0])
        if not os.access(program, os.X_OK):
            raise CannotRun("the build of the deploy file is missing")
        own = random.Random(os.getpid())
        self.network = f"127.{own.randrange(20, 250)}.{own.randrange(1, 250)}"
        self.record(f"trouble: {'on' if TROUBLE else 'off'}, folder of logs: "
                    f"{os.path.basename(self.folder)}")

    def add(self, name, zone, service):
        machine = Machine(self, name,
                          f"{self.network}.{len(self.machines) + 1}", zone,
                          service)
        self.machines.append(machine)
        return machine

    def configure(self, version, routes, services):
        self.store.put_operator_row("config", {
            "version": version, "routes": table(routes),
            "services": table(services),
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_s": 3, "idle_timeout_s": 15}})

    async def until_ready(self, timeout_s=15):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if all([await machine.ready() for machine in self.machines]):
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the daemons did not become ready")

    def new_id(self):
        return f"{self.random.getrandbits(64):016x}"

    def stop(self):
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self, status, headers=None, body=b"", complete=True):
        self.status = status
        self.head = headers
        self.body = body
        self.complete = complete


async def request(site, machine, method, path, options=None, pieces=None):
    """One client attempt on a new connection. `pieces` is a chunked body: a
    list of bytes to send and of pauses in seconds. Status 0: no answer."""
    options = options or {}
    identity = options.get("id") or site.new_id()
    headers = [("Host", "site.example"), ("Request-Id", identity),
               ("Deadline-Ms", options.get("deadline_ms", 4000))]
    headers += options.get("headers", [])
    if pieces is not None:
        headers.append(("Transfer-Encoding", "chunked"))
    host, port = machine.outbound.split(":")
    site.record(f"client at {machine.name}: sends {identity} {method} {path}")
    limit = options.get("deadline_ms", 4000) / 1000 + 0.5
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), 1)
        writer.write(head_bytes(f"{method} {path} HTTP/1.1", headers))
        for piece in pieces or []:
            if isinstance(piece, float):
                await asyncio.sleep(piece)
            else:
                writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
                await writer.drain()
        if pieces is not None:
            writer.write(b"0\r\n\r\n")
        head = await asyncio.wait_for(read_head(reader), limit)
        if head is None:
            answer = Answer(0)
        else:
            body = await asyncio.wait_for(read_body(reader, head, True), limit)
            answer = Answer(int(head.first[1]), head, body)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        answer = Answer(0)
    finally:
        if writer:
            writer.close()
    signature = answer.head.get("Server-Signature") if answer.head else ""
    site.record(f"client at {machine.name}: {identity} answered "
                f"{answer.status} signature '{signature}'")
    answer.id = identity
    return answer


def main(folder, case):
    """Runs `case(folder)`, which returns whether the rule was broken."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sites = []

    async def limited():
        return await asyncio.wait_for(case(folder, sites), 110)

    try:
        broken = asyncio.run(limited())
    except Exception as error:  # Whatever it is, it shows no broken rule.
        print(f"could not run: {error!r}")
        return 2
    finally:
        for site in sites:
            site.stop()
        sys.stdout.flush()
    print("rule broken" if broken else "rule held")
    return 1 if broken else 0
