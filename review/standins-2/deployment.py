"""A small deployment on loopback addresses for the cases of the second review.

Starts node programs with the command of the deploy file, each on an address of its own, and plays
the platform's store, the platform's cloud, the engines and the callers as far as the cases need
them. Standard library only.
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
import urllib.parse

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
MEMORY_MB = 260
HOST = "h.example"
KEY = "key-of-tenant-1"
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
          "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
LONGEST_RUN_S = 110
FRONT, READY, CONTROL, DIRECTORY, PEER, METRICS = 8221, 8224, 8229, 8220, 7600, 9464

CONFIG = {
    "version": 1,
    "routes": [
        {"name": "r-book", "host": HOST, "prefix": "/book/", "kind": "non_idempotent",
         "timeoutMs": 2500, "targetLatencyMs": 150, "priority": 2, "service": "desk",
         "maxAttempts": 2, "public": False},
        {"name": "r-read", "host": HOST, "prefix": "/read/", "kind": "idempotent",
         "timeoutMs": 2500, "targetLatencyMs": 150, "priority": 2, "service": "desk",
         "maxAttempts": 2, "public": False},
        {"name": "r-plan", "host": HOST, "prefix": "/plan/", "kind": "streaming",
         "timeoutMs": 12000, "targetLatencyMs": 1200, "targetGapMs": 500, "priority": 1,
         "service": "pool", "maxAttempts": 1, "public": False, "stickySessions": True,
         "streamResume": False},
    ],
    "services": [
        {"name": "desk", "healthPath": "/healthz", "maxConnections": 100},
        {"name": "pool", "healthPath": "/healthz", "maxConnections": 360,
         "engine": {"slots": 64, "kvCacheTokens": 484124, "tokenKvBytes": 18432,
                    "linkMbps": 88000.0, "stride": 3, "models": [{"name": "m"}]}},
    ],
    "limits": LIMITS,
    "tenants": [{"name": "tenant-1", "apiKeys": [KEY], "priority": 1, "unit": "token_count",
                 "plainTokens": 200, "ratePerS": 179841, "burst": 179841}],
}

BOOT = """nodeName = "{name}"
role = "node"
machineClass = "edge"
serves = ["edge", "registry"]
ip = "{ip}"
zone = "{zone}"
region = "region-1"
internalPorts = [{peer}, {last_peer}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "registry"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","leader","rollout","platform"]
[zones]
zone-a = "region-1"
zone-b = "region-1"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = {memory}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainTimeoutMs = 2000
gracePeriodS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
maxStretchMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
quotaWindowS = 8
quotaOverrun = 0.1
quotaSlack = 190000
requireFencing = false
leaseMs = 3000
thawSlackMs = 300
usageWindowS = 5
usageTolerance = 0.05
usageLateS = 10
canaryShare = 0.1
canarySlack = 50
rollbackMs = 5000
recoveryS = 12
passMs = 120
reuseWindowS = 10
ttl_max_s = 5
[platform]
address = "{platform}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 3.0
partitionWritesS = 300
rowBytes = 65536
across = true
historyS = 20
[cloud]
address = "{cloud}"
ratePerS = 50.0
duties = ["usage_report", "autoscale"]
dutiesPerS = 50.0
"""


class CannotRun(Exception):
    """The case could not be played; it says nothing of the system."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def new_attempt():
    return "%016x" % random.getrandbits(64)


async def read_request(reader):
    """The next request as (method, target, headers, body), or None at the end of the channel."""
    line = await reader.readline()
    parts = line.decode("latin1").split()
    if len(parts) < 3:
        return None
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b""):
            break
        name, _, value = line.decode("latin1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return parts[0], parts[1], headers, body


def response(status, body, headers=None):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    head = "HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(body))
    for name, value in (headers or {}).items():
        head += "%s: %s\r\n" % (name, value)
    return head.encode() + b"\r\n" + body


async def answer_requests(reader, writer, handle):
    """Calls `handle` for each request of a channel; it returns whether the channel is kept."""
    try:
        while True:
            request = await read_request(reader)
            if request is None or not await handle(writer, *request):
                break
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        writer.close()


class Store:
    """The platform's store: rows with versions, conditions and a feed."""

    def __init__(self):
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        self.version += 1
        self._set((table, "", key), value)
        self._notify()

    def _set(self, name, value):
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (value, self.version)
        self.history.append((self.version, name, value))

    def _notify(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    @staticmethod
    def _row(name, value, version):
        row = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def _body(self, **fields):
        return dict(fields, ver=self.version, nowMs=int(time.monotonic() * 1000))

    async def handle(self, writer, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in
                 urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        status, answer = await self.call(url.path, query, body)
        writer.write(response(status, answer, {"Content-Type": "application/json"}))
        return True

    async def call(self, path, query, body):
        await asyncio.sleep(0.003)
        if path == "/v1/rows-get":
            rows = [self._row(name, *entry) for name, entry in sorted(self.rows.items())
                    if name[0] == query["table"] and name[1] == query.get("part", "")
                    and name[2] >= query.get("from", "")]
            return 200, self._body(rows=rows, morePages=False)
        if path == "/v1/rows-feed":
            return await self._feed(query)
        if path == "/v1/rows-tx":
            return self._commit(json.loads(body))
        return 404, self._body()

    async def _feed(self, query):
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            newest = {}
            for version, name, value in reversed(self.history):
                if version <= int(query["after"]):
                    break
                if name[0] == query["table"]:
                    newest.setdefault(name, (value, version))
            left = end - time.monotonic()
            if newest or left <= 0:
                rows = sorted(newest.items(), key=lambda item: item[1][1])
                return 200, self._body(rows=[self._row(name, *entry) for name, entry in rows])
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _commit(self, call):
        name = lambda entry: (entry["table"], entry.get("part", ""), entry["key"])
        for entry in call.get("expect", []):
            if self.rows.get(name(entry), (None, 0))[1] != entry["ver"]:
                rows = [self._row(name(row), *self.rows[name(row)]) for row in call["expect"]
                        if name(row) in self.rows]
                return 412, self._body(rows=rows)
        changes = call.get("put", []) + call.get("remove", [])
        if any(entry["table"] in ("op", "servers") for entry in changes):
            return 403, self._body()
        self.version += 1
        for entry in call.get("put", []):
            self._set(name(entry), base64.b64decode(entry["value"]))
        for entry in call.get("remove", []):
            if name(entry) in self.rows:
                self._set(name(entry), None)
        self._notify()
        return 200, self._body()


class Engine:
    """A sound engine; cases override `answer`."""

    def __init__(self, name, service, address, work_s=0.02, events=0, gap_s=0.02):
        self.name, self.service, self.address = name, service, address
        self.work_s, self.events, self.gap_s = work_s, events, gap_s
        self.started_ms = int(time.time() * 1000)
        self.sequence = 0
        self.runs = 0
        self.attempts = set()
        # As the sheet of the site has them.
        self.slots, self.queue = (64, 134) if events else (6, 24)
        self.running, self.waiting = 0, []

    def registration(self, zone):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": self.address, "zone": zone, "version": "v1",
            "slots": self.slots, "state": "ready", "coldRemainingMs": 0,
            "sequence": self.sequence, "born": self.started_ms}).encode()

    def headers(self, request_headers):
        return {"X-Attempt-Id": request_headers.get("x-attempt-id", ""),
                "X-Upstream-Signature": "signature." + self.name}

    async def handle(self, writer, method, target, headers, body):
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(response(421, {}, self.headers(headers)))
            return True
        if self.running >= self.slots:
            if len(self.waiting) >= self.queue:
                writer.write(response(503, {}, dict(self.headers(headers), **{"X-Not-Executed": 1})))
                return True
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            await turn  # The place of the run that ended is this one's.
        else:
            self.running += 1
        self.runs += 1
        self.attempts.add(headers.get("x-attempt-id"))
        try:
            return await self.answer(writer, headers)
        finally:
            if self.waiting:
                self.waiting.pop(0).set_result(None)
            else:
                self.running -= 1

    async def answer(self, writer, headers):
        await asyncio.sleep(self.work_s)
        if not self.events:
            writer.write(response(200, b"answer of " + self.name.encode(), self.headers(headers)))
            return True
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        for name, value in self.headers(headers).items():
            head += "%s: %s\r\n" % (name, value)
        writer.write(head.encode() + b"\r\n")
        for number in range(1, self.events + 1):
            event = b"id: %d\ndata: token\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        return True


class Node:
    def __init__(self, name, ip, zone):
        self.name, self.ip, self.zone = name, ip, zone
        self.process = None
        self.peak_kb = 0
        self.killed_at_kb = None

    def resident_kb(self):
        try:
            with open("/proc/%d/status" % self.process.pid) as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1])
        except OSError:
            pass
        return 0

    def ended_by_itself(self):
        return self.process.poll() is not None and self.killed_at_kb is None


class Deployment:
    """Nodes, store, cloud and engines on addresses of one loopback network that is free."""

    def __init__(self, folder, nodes=2):
        self.record_path = os.path.join(folder, "record.txt")
        self.record_file = open(self.record_path, "w")
        self.began = time.monotonic()
        self.temporary = tempfile.mkdtemp(prefix="jujubetide-review-")
        self.network = self._free_network(nodes)
        self.store = Store()
        self.engines = []
        self.tasks = []
        self.servers = []
        self.children = []
        self.nodes = [Node("edge-%d" % number, self.ip(0, number),
                           "zone-a" if number % 2 else "zone-b")
                      for number in range(1, nodes + 1)]

    def ip(self, group, number):
        return "%s.%d" % (self.network, group * 32 + number)

    @staticmethod
    def _free_network(nodes):
        for _ in range(50):
            network = "127.%d.%d" % (random.randrange(64, 250), random.randrange(1, 250))
            try:
                for number in range(1, nodes + 1):
                    for port in (FRONT, READY, CONTROL, DIRECTORY, PEER, METRICS):
                        with socket.socket() as probe:
                            probe.bind(("%s.%d" % (network, number), port))
                return network
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def record(self, *words):
        line = "%8.3f s  %s" % (time.monotonic() - self.began, " ".join(str(word) for word in words))
        self.record_file.write(line + "\n")
        self.record_file.flush()

    def say(self, *words):
        self.record(*words)
        print(*words, flush=True)

    async def _serve(self, ip, port, handle):
        self.servers.append(await asyncio.start_server(
            lambda reader, writer: answer_requests(reader, writer, handle), ip, port,
            limit=1 << 20, backlog=1024))

    async def start(self, engines):
        with open(os.path.join(REPOSITORY, "deploy", "system.toml")) as deploy:
            command = re.search(r'^run = "(.*)"$', deploy.read(), re.M).group(1).split()
        if not os.path.exists(os.path.join(REPOSITORY, command[0])):
            raise CannotRun("the program of the deploy file is not built: " + command[0])
        platform, cloud = self.ip(1, 1), self.ip(1, 2)
        await self._serve(platform, 8225, self.store.handle)
        await self._serve(cloud, 8225, self._handle_cloud)
        self.store.put("op", "config", json.dumps(CONFIG).encode())
        for engine in engines:
            await self._serve(*engine.address.split(":"), engine.handle)
            self.engines.append(engine)
        self._register()
        for node in self.nodes:
            path = os.path.join(self.temporary, node.name + ".toml")
            with open(path, "w") as boot:
                boot.write(BOOT.format(
                    name=node.name, ip=node.ip, zone=node.zone, memory=MEMORY_MB, front=FRONT,
                    ready=READY, control=CONTROL, directory=DIRECTORY, peer=PEER,
                    last_peer=PEER + 15, platform=platform + ":8225", cloud=cloud + ":8225"))
            log = open(os.path.join(self.temporary, node.name + ".log"), "w")
            node.process = subprocess.Popen(
                command, cwd=REPOSITORY, stdout=log, stderr=log, start_new_session=True,
                env={"PATH": os.environ.get("PATH", ""), "JUJUBETIDE_BOOT": path})
        self.tasks.append(asyncio.ensure_future(self._beats()))
        self.tasks.append(asyncio.ensure_future(self._watch_memory()))
        await self._until_ready()

    async def _handle_cloud(self, writer, method, target, headers, body):
        writer.write(response(200, {}))
        return True

    def _register(self):
        for index, engine in enumerate(self.engines):
            self.store.put("servers", engine.name,
                           engine.registration("zone-a" if index % 2 else "zone-b"))

    async def _beats(self):
        while True:
            await asyncio.sleep(1.2)
            self._register()

    async def _watch_memory(self):
        """The platform kills a process that exceeds `memoryMb`."""
        while True:
            for node in self.nodes:
                if node.process.poll() is not None:
                    continue
                resident = node.resident_kb()
                node.peak_kb = max(node.peak_kb, resident)
                if resident > MEMORY_MB * 1024 and node.killed_at_kb is None:
                    node.killed_at_kb = resident
                    self.say("%s holds %d kB of %d kB; the platform kills it" %
                             (node.name, resident, MEMORY_MB * 1024))
                    node.process.kill()
            await asyncio.sleep(0.02)

    async def _until_ready(self):
        for _ in range(150):
            states = [await request(node.ip, "GET", "/v1/readyz", port=READY, timeout=1)
                      for node in self.nodes]
            if all(state["status"] == 200 for state in states):
                await asyncio.sleep(2)
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the nodes do not become ready")

    def start_client(self, script, *arguments):
        """Starts a client of its own; it ends when its input is closed."""
        child = subprocess.Popen([sys.executable, script, *map(str, arguments)],
                                 stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        self.children.append(child)
        return child

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for child in self.children:
            if child.poll() is None:
                child.kill()
            child.wait()
        for node in self.nodes:
            if node.process is not None:
                if node.process.poll() is None:
                    node.process.kill()
                node.process.wait()
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record_file.close()

    def verdict_of_lost(self, callers):
        """LOST: 1 if more than three requests from kept channels had been passed on to a sound
        engine and their channel was closed without an answer, else 0."""
        for node in self.nodes:
            ended = node.ended_by_itself()
            self.say("%s: at most %d kB of %d kB; %s" % (
                node.name, node.peak_kb, MEMORY_MB * 1024,
                "ended by itself with %s" % node.process.returncode if ended else
                "killed for its memory" if node.killed_at_kb else "alive"))
        run = set().union(*(engine.attempts for engine in self.engines))
        lost = [attempt for attempt in callers.closed if attempt in run]
        for attempt in lost:
            self.record("run by a sound engine, then closed without an answer:", attempt)
        self.say("callers on kept channels: answers %s, closed without an answer %d, of these run "
                 "by a sound engine %d" % (callers.answers, len(callers.closed), len(lost)))
        return 1 if len(lost) > 3 else 0


def plain_headers(deadline_ms=2500):
    return {"Host": HOST, "Authorization": "Token " + KEY, "X-Attempt-Id": new_attempt(),
            "X-Deadline-Ms": str(deadline_ms)}


def prompt_headers(parts, output_tokens=80, deadline_ms=12000):
    """Headers of a streamed request whose prompt has these parts, as (id, tokens)."""
    headers = plain_headers(deadline_ms)
    headers["X-Model"] = "m"
    headers["X-Token-Usage"] = "%d,%d" % (sum(tokens for _, tokens in parts), output_tokens)
    headers["X-Prompt-Prefix"] = ",".join("%s:%d" % part for part in parts)
    return headers


def request_bytes(method, target, headers, body=b""):
    head = "%s %s HTTP/1.1\r\n" % (method, target)
    for name, value in headers.items():
        head += "%s: %s\r\n" % (name, value)
    if method == "POST":
        head += "Content-Length: %d\r\n" % len(body)
    return head.encode() + b"\r\n" + body


async def request(ip, method, target, headers=None, body=b"", port=FRONT, timeout=15.0):
    """One request on a channel of its own: its status or how it failed, and the time it took."""
    began = time.monotonic()
    result = {"status": "no channel", "whole": False}
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, port, limit=1 << 20)
        result["status"] = "no answer"
        writer.write(request_bytes(method, target, headers or {"Host": HOST}, body))
        line = await reader.readline()
        if not line:
            result["status"] = "closed"
            return
        head = {}
        while True:
            field = await reader.readline()
            if field in (b"\r\n", b""):
                break
            name, _, value = field.decode("latin1").partition(":")
            head[name.strip().lower()] = value.strip()
        result["status"] = int(line.split()[1])
        if head.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readline()).strip() or b"x", 16)
                await reader.readexactly(size + 2)
                if size == 0:
                    break
        else:
            await reader.readexactly(int(head.get("content-length", "0")))
        result["whole"] = True

    try:
        await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError, ValueError, OSError):
        pass
    finally:
        if writer is not None:
            writer.close()
    result["seconds"] = time.monotonic() - began
    return result


class KeptCallers:
    """Ordinary callers, each on one channel that it keeps, with one booking after the other."""

    def __init__(self, node, count=12):
        self.node = node
        self.answers = {}
        self.closed = []
        self.tasks = [asyncio.ensure_future(self._book()) for _ in range(count)]

    async def _book(self):
        await asyncio.sleep(random.uniform(0, 0.6))  # Callers don't keep step.
        try:
            reader, writer = await asyncio.open_connection(self.node.ip, FRONT)
        except OSError:
            return
        is_kept = False
        try:
            while True:
                headers = plain_headers()
                writer.write(request_bytes("POST", "/book/2f", headers, b"booking"))
                try:
                    head = await reader.readuntil(b"\r\n\r\n")
                    length = re.search(rb"\r\ncontent-length: *(\d+)", head, re.I).group(1)
                    await reader.readexactly(int(length))
                except (OSError, asyncio.IncompleteReadError):
                    if is_kept:
                        self.closed.append(headers["X-Attempt-Id"])
                    return
                status = head.split()[1].decode()
                self.answers[status] = self.answers.get(status, 0) + 1
                if re.search(rb"\r\nconnection: *close", head, re.I):
                    return
                is_kept = True
                await asyncio.sleep(0.02)
        finally:
            writer.close()

    async def stop(self):
        await asyncio.sleep(0.3)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def play(case, folder, nodes=2):
    """Runs `case(deployment)` and exits with its verdict: 0 held, 1 broken, 2 cannot run."""
    async def run():
        deployment = Deployment(folder, nodes)
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: deployment.record("stand-in:", context.get("exception")))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            deployment.record("disruption:", "yes" if trouble() else "no (TROUBLE=0)")
            verdict = await asyncio.wait_for(case(deployment), LONGEST_RUN_S)
            deployment.say("verdict:", {0: "held", 1: "broken"}[verdict])
            return verdict
        except (Exception, asyncio.CancelledError) as why:  # A fault of the case itself.
            deployment.say("cannot run:", type(why).__name__, why)
            return 2
        finally:
            deployment.stop()

    try:
        verdict = asyncio.run(run())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as why:
        print("cannot run:", type(why).__name__, why)
        verdict = 2
    sys.exit(verdict)
