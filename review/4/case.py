"""DRAIN: a machine goes on sending requests to an engine that has told it that it leaves."""
import asyncio
import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import consumer
from cloud import Cloud
from deployment import Deployment, main
from engine import Engine
from store import Store

SILENT_S = 1.0
BEHIND_S = 5.5
STALE_S = 11.0
DRAIN_TIMEOUT_S = 2.0
SERVED_AFTER_DRAINING_S = 3.0
MIN_WORK_S, MAX_WORK_S = 0.3, 0.9
BOOKING_PERIOD_S = 0.1
ENGINES = 4


def configuration():
    return {
        "version": 7,
        "routes": [{"name": "bookings", "host": "booking.example", "prefix": "/book/",
                    "kind": "non_idempotent", "timeoutMs": 2500, "targetLatencyMs": 150,
                    "priority": 2, "service": "desk", "maxAttempts": 1, "public": False}],
        "services": [{"name": "desk", "healthPath": "/healthz", "maxConnections": 100,
                      "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "tenant-1", "apiKeys": ["key-1"], "priority": 1, "ratePerS": 0,
                     "burst": 0}]}


class Watched(Engine):
    """Keeps when it was sent a request, and answers that it leaves once it does."""

    def __init__(self, *args, runs, **options):
        super().__init__(*args, **options)
        self.runs = runs

    async def serve(self, request, reader, writer):
        if not self.is_misdirected(request):
            self.runs.append((request.headers.get("x-attempt-id", ""), self.name))
        return await super().serve(request, reader, writer)


async def play(record, trouble):
    deployment = Deployment(record, node_count=3, engine_count=ENGINES)
    try:
        store, cloud = Store(record), Cloud(record)
        await store.start(deployment.store_address)
        await cloud.start(deployment.cloud_address)
        store.put_json("op", "config", configuration())
        runs, engines = [], []
        for i in range(ENGINES):
            engine = Watched(store, record, "i-desk-%d" % i, "desk", deployment.engine_address(i),
                             "zone-a" if i % 2 == 0 else "zone-b", runs=runs,
                             work_s=lambda request: random.uniform(MIN_WORK_S, MAX_WORK_S))
            engines.append(engine)
            await engine.start()
        await deployment.start_nodes()
        await asyncio.sleep(6.0)

        sent, told, results = {}, {}, {}
        ends = time.monotonic() + 9.0

        async def book(node, number):
            attempt = "attempt-%d" % number
            sent[attempt] = (time.monotonic(), node.name)
            result = await consumer.send(record, node, "booking.example", "/book/%d" % number,
                                         attempt, "key-1", 2500)
            results[attempt] = result
            if "server-leaving" in result.headers:
                told.setdefault((node.name, result.headers["x-upstream-signature"].split(".")[1]),
                                time.monotonic())

        async def consumers(node, first):
            tasks, number = [], first
            await asyncio.sleep(BOOKING_PERIOD_S * random.random())
            while time.monotonic() < ends:
                number += len(deployment.nodes)
                tasks.append(asyncio.create_task(book(node, number)))
                await asyncio.sleep(BOOKING_PERIOD_S)
            await asyncio.gather(*tasks)

        traffic = asyncio.gather(*[consumers(node, i) for i, node in enumerate(deployment.nodes)])
        await asyncio.sleep(0.5)
        if trouble:
            asyncio.create_task(store.compact(SILENT_S, BEHIND_S, STALE_S))
        await asyncio.sleep(0.3)
        await engines[0].leave(SERVED_AFTER_DRAINING_S)
        await traffic
        late = {}
        for attempt, engine in runs:
            at, node = sent[attempt]
            since = told.get((node, engine))
            if since is not None and at > since + DRAIN_TIMEOUT_S:
                late.setdefault((node, engine), []).append(at - since)
        lost = sorted(attempt for attempt, result in results.items() if result.status != 200)
        record.write("bookings_lost", attempts=lost)
        print("bookings that ran and got no answer of their engine: %d" % len(
            set(lost) & {attempt for attempt, _ in runs}))
        return ["%s sent %d requests to %s, up to %.1f s after it had passed on an answer with "
                "Server-Leaving" % (node, len(times), engine, max(times))
                for (node, engine), times in sorted(late.items())]
    finally:
        deployment.close(os.environ.get("KEEP_LOGS"))


main(play, pathlib.Path(__file__).resolve().parent)
