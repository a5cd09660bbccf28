"""CONFIG: after a restore of the store, machines go on with an older configuration."""
import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import consumer
from cloud import Cloud
from deployment import Deployment, main
from engine import Engine
from store import Store

CALM_S = 15.2
AWAY_S = 1.0
COPY_AGE_S = 3.0
CONFIG_APPLY_S = 2.0
MAX_STRETCH_S = 5.0  # The store is not stable yet when the configuration is confirmed.
WATCHED_S = 15.0
ENGINES = 8


def configuration(version, service, keys):
    return {
        "version": version,
        "routes": [{"name": "bookings", "host": "booking.example", "prefix": "/book/",
                    "kind": "non_idempotent", "timeoutMs": 2500, "targetLatencyMs": 150,
                    "priority": 2, "service": service, "maxAttempts": 1, "public": False}],
        "services": [{"name": name, "healthPath": "/healthz", "maxConnections": 100,
                      "protocol": "h1", "tls": False} for name in ("desk", "newdesk")],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "tenant-1", "apiKeys": keys, "priority": 1, "ratePerS": 0,
                     "burst": 0}]}


async def play(record, trouble):
    deployment = Deployment(record, node_count=4, engine_count=ENGINES)
    try:
        store, cloud = Store(record), Cloud(record)
        await store.start(deployment.store_address)
        await cloud.start(deployment.cloud_address)
        in_force = [configuration(7, "desk", ["key-1", "key-2"])]

        def write_config():
            store.put_json("op", "config", in_force[0])

        write_config()
        store.rewriters.append(write_config)
        for i in range(ENGINES):
            service = "desk" if i < ENGINES / 2 else "newdesk"
            await Engine(store, record, "i-%s-%d" % (service, i), service,
                         deployment.engine_address(i), "zone-a" if i % 2 == 0 else "zone-b").start()
        await deployment.start_nodes()
        await asyncio.sleep(CALM_S)
        # The operator's next configuration; it is written as soon as the store takes it.
        in_force[0] = configuration(9, "newdesk", ["key-1"])
        if trouble:
            await store.restore(time.monotonic() + AWAY_S - COPY_AGE_S, AWAY_S)
        else:
            await asyncio.sleep(AWAY_S)
            write_config()
        confirmed = time.monotonic()
        record.write("config_confirmed", version=9)
        breaches, number = {}, 0

        async def probe(node, key, attempt):
            sent = time.monotonic() - confirmed
            result = await consumer.send(record, node, "booking.example", "/book/1", attempt, key,
                                         2500)
            if sent <= CONFIG_APPLY_S + MAX_STRETCH_S or result.status != 200:
                return
            signature = result.headers.get("x-upstream-signature", "")
            what = []
            if "i-desk-" in signature:
                what.append("runs requests at the old service")
            if key == "key-2":
                what.append("runs requests with the key that was taken away")
            for each in what:
                breaches.setdefault((node.name, each), []).append(sent)

        while time.monotonic() < confirmed + WATCHED_S:
            for node in deployment.nodes:
                number += 1
                await probe(node, "key-1", "attempt-%d" % number)
                number += 1
                await probe(node, "key-2", "attempt-%d" % number)
            await asyncio.sleep(0.1)
        return ["%s %s: %d of them, sent %.1f to %.1f s after the confirmation of version 9" % (
            name, what, len(times), times[0], times[-1])
            for (name, what), times in sorted(breaches.items())]
    finally:
        deployment.close(os.environ.get("KEEP_LOGS"))


main(play, pathlib.Path(__file__).resolve().parent)
