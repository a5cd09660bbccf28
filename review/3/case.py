"""ONE: after a restore of the store, a second machine sends a generation number that another
machine has sent for the same duty and subject."""
import asyncio
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from cloud import Cloud, subject
from deployment import CannotRun, Deployment, main, wait_for
from engine import Engine
from store import Store

AWAY_S = 1.0
MAX_COPY_AGE_S = 9.0


def configuration():
    return {
        "version": 7,
        "routes": [{"name": "bookings", "host": "booking.example", "prefix": "/book/",
                    "kind": "non_idempotent", "timeoutMs": 2500, "targetLatencyMs": 150,
                    "priority": 2, "service": "desk", "maxAttempts": 1, "public": False}],
        "services": [{"name": "desk", "healthPath": "/healthz", "maxConnections": 100,
                      "protocol": "h1", "tls": False,
                      "scaling": {"minReplicas": 1, "maxReplicas": 1, "bootTimeS": 4.0,
                                  "zonePrices": {"zone-a": 1.0, "zone-b": 1.0}}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "tenant-1", "apiKeys": ["key-1"], "priority": 1, "ratePerS": 0,
                     "burst": 0}]}


async def restart(node):
    """One step of the rolling restart: SIGTERM, and a new process once the old one has ended."""
    node.signal(signal.SIGTERM)
    await node.stopped()
    await asyncio.sleep(0.5)
    node.start()


async def play(record, trouble):
    deployment = Deployment(record, node_count=3, engine_count=2)
    try:
        store, cloud = Store(record), Cloud(record)
        await store.start(deployment.store_address)
        await cloud.start(deployment.cloud_address)

        def write_config():
            store.put_json("op", "config", configuration())

        write_config()
        store.rewriters.append(write_config)
        for i in range(2):
            await Engine(store, record, "i-desk-%d" % i, "desk", deployment.engine_address(i),
                         "zone-a" if i == 0 else "zone-b").start()
        await deployment.start_nodes()
        by_name = {node.name: node for node in deployment.nodes}

        await wait_for(lambda: cloud.calls, 25, "no machine took the duties")
        first = cloud.calls[-1]["holder"]
        copy_time = time.monotonic()
        steps = [asyncio.create_task(restart(by_name[first]))]
        await wait_for(lambda: cloud.calls[-1]["holder"] != first, 25,
                       "no machine took the duties over")
        second = cloud.calls[-1]["holder"]
        if trouble:
            if time.monotonic() + AWAY_S - copy_time > MAX_COPY_AGE_S:
                raise CannotRun("the hand-over took too long for a copy some seconds old")
            await store.restore(copy_time, AWAY_S)
        else:
            await asyncio.sleep(AWAY_S)
        await asyncio.gather(*steps)
        steps = [asyncio.create_task(restart(by_name[second]))]
        await wait_for(lambda: cloud.calls[-1]["holder"] != second, 30,
                       "no machine took the duties over again")
        await asyncio.gather(*steps)
        await asyncio.sleep(5.0)
        return check(cloud.calls)
    finally:
        deployment.close(os.environ.get("KEEP_LOGS"))


def check(calls):
    holders = {}
    for call in calls:
        holders.setdefault((subject(call), call["generation"]), set()).add(call["holder"])
    return ["generation number %d of '%s' was sent by %s" % (generation, what,
                                                             " and ".join(sorted(names)))
            for (what, generation), names in sorted(holders.items()) if len(names) > 1]


main(play, pathlib.Path(__file__).resolve().parent)
