"""A small deployment on loopback addresses: node processes with the command of the deploy file."""
import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

import http_server

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, DIRECTORY, INTERNAL, METRICS = 8221, 8224, 8229, 8220, 7600, 9464
STORE_PORT = CLOUD_PORT = 8225
ENGINE_PORT = 8308


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """What was sent, answered and run, one line each with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, event, **fields):
        text = " ".join("%s=%s" % (name, json.dumps(value)) for name, value in fields.items())
        self.file.write("%8.3f %s %s\n" % (time.monotonic() - self.began, event, text))
        self.file.flush()


def free_network(hosts):
    """The first three numbers of loopback addresses on which all ports are free."""
    for _ in range(50):
        network = "127.%d.%d" % (random.randint(2, 250), random.randint(2, 250))
        try:
            for host in hosts:
                for port in (FRONT, READY, CONTROL, DIRECTORY, INTERNAL, METRICS, STORE_PORT,
                             ENGINE_PORT):
                    with socket.socket() as probe:
                        probe.bind(("%s.%d" % (network, host), port))
            return network
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


SETTINGS = """nodeName = "{name}"
role = "node"
machineClass = "edge"
serves = ["edge","registry"]
ip = "{ip}"
zone = "{zone}"
region = "region-1"
internalPorts = [7600,7615]
seeds = [{seeds}]
bootstrap = true
countMachineLoss = false
discovery = "platform"
entry = "registry"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","leader","rollout","platform"]
[zones]
zone-a = "region-1"
zone-b = "region-1"
[listen]
front = "{ip}:8221"
ready = "{ip}:8224"
control = "{ip}:8229"
directory = "{ip}:8220"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
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
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 3.0
partitionWritesS = 300
rowBytes = 65536
across = true
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
[cloud]
address = "{cloud}"
ratePerS = 50.0
duties = ["usage_report","autoscale"]
dutiesPerS = 50.0
"""


class Node:
    def __init__(self, name, ip, zone, folder, record, addresses):
        self.name, self.ip, self.folder, self.record = name, ip, folder, record
        self.process = None
        self.settings = folder / (name + ".toml")
        self.settings.write_text(SETTINGS.format(name=name, ip=ip, zone=zone, **addresses))

    def start(self):
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        command = re.search(r'^run = "(.*)"$', deploy, re.MULTILINE).group(1).split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "JAVA_HOME", "LANG")
                       if name in os.environ}
        environment["JUJUBETIDE_BOOT"] = str(self.settings)
        if not (ROOT / command[0]).exists():
            raise CannotRun("%s is not built" % command[0])
        with open(self.folder / (self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen([str(ROOT / command[0])] + command[1:], cwd=ROOT,
                                            env=environment, stdout=log, stderr=log)
        self.record.write("node_started", node=self.name, pid=self.process.pid)

    def signal(self, number):
        self.record.write("signal", node=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def stopped(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
        self.record.write("node_ended", node=self.name, code=self.process.returncode)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, READY)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            first, _, _ = await asyncio.wait_for(http_server.read_message(reader), 1.0)
            writer.close()
            return " 200 " in first
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False


class Deployment:
    def __init__(self, record, node_count, engine_count):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        hosts = [2, 3] + [11 + i for i in range(node_count)] + [31 + i for i in range(engine_count)]
        self.network = free_network(hosts)
        self.store_address = "%s.2:%d" % (self.network, STORE_PORT)
        self.cloud_address = "%s.3:%d" % (self.network, CLOUD_PORT)
        ips = ["%s.%d" % (self.network, 11 + i) for i in range(node_count)]
        addresses = {"store": self.store_address, "cloud": self.cloud_address,
                     "seeds": ",".join('"%s:%d"' % (ip, CONTROL) for ip in ips[:3])}
        self.nodes = [Node("edge-%d" % (i + 1), ip, "zone-a" if i % 2 == 0 else "zone-b",
                           self.folder, record, addresses) for i, ip in enumerate(ips)]

    def engine_address(self, index):
        return "%s.%d:%d" % (self.network, 31 + index, ENGINE_PORT)

    async def start_nodes(self):
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await wait_for(node.is_ready, 15, "a node did not get ready")

    def close(self, keep_logs_in=None):
        for node in self.nodes:
            node.kill()
        if keep_logs_in is not None:
            for node in self.nodes:
                log = self.folder / (node.name + ".log")
                if log.exists():
                    shutil.copy(log, keep_logs_in)
        shutil.rmtree(self.folder, ignore_errors=True)


async def wait_for(condition, seconds, what):
    """Waits until `condition`, which may be a coroutine function, returns something true."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return result
        await asyncio.sleep(0.02)
    raise CannotRun(what)


def main(case, folder, limit_s=110):
    """Plays `case(record, trouble)`, which returns the list of breaches of the rule, and exits with
    1 if there are any, 0 if there are none and 2 if the case could not be played."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("case", trouble=trouble)

    async def play():
        return await asyncio.wait_for(case(record, trouble), limit_s)

    def stop(number, _):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stop)
    try:
        breaches = asyncio.run(play())
    except CannotRun as error:
        record.write("cannot_run", why=str(error))
        print("cannot run: %s" % error)
        raise SystemExit(2) from None
    except Exception as error:  # An error of the script itself must not read as a broken rule.
        record.write("cannot_run", why=repr(error))
        print("cannot run: %r" % error)
        raise SystemExit(2) from None
    for breach in breaches:
        record.write("breach", what=breach)
        print(breach)
    print("rule %s" % ("broken" if breaches else "held"))
    raise SystemExit(1 if breaches else 0)
