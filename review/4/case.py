"""TWICE: a stream goes on at a second engine while the first still works on it."""
import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import consumer
from cloud import Cloud
from deployment import Deployment, main
from store import Store
from stream_engine import StreamEngine

STREAMS = 3
EVENTS = 20
PREEMPTED_S = 2.4
OVERLAP_S = 0.4


def configuration():
    return {
        "version": 7,
        "routes": [{"name": "plans", "host": "assistant.example", "prefix": "/plan/",
                    "kind": "streaming", "timeoutMs": 12000, "targetLatencyMs": 1200,
                    "priority": 1, "service": "pool", "maxAttempts": 2, "public": False,
                    "stickySessions": True, "streamResume": True, "targetGapMs": 500}],
        "services": [{"name": "pool", "healthPath": "/healthz", "maxConnections": 360,
                      "protocol": "h1", "tls": False,
                      "engine": {"slots": 64, "kvCacheTokens": 484124, "tokenKvBytes": 18432,
                                 "linkMbps": 88000.0, "stride": 3, "models": [{"name": "m"}]}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "tenant-1", "apiKeys": ["key-1"], "priority": 1,
                     "unit": "token_count", "plainTokens": 200, "ratePerS": 0, "burst": 0}]}


class Watched(StreamEngine):
    """Keeps the time of each event that it has made for an attempt."""

    def __init__(self, *args, events_made, **options):
        super().__init__(*args, **options)
        self.events_made = events_made

    def made(self, attempt, number):
        self.events_made.append((time.monotonic(), attempt, self.name, number))
        self.record.write("event_made", engine=self.name, attempt=attempt, event_id=number)


async def play(record, trouble):
    deployment = Deployment(record, node_count=2, engine_count=2)
    try:
        store, cloud = Store(record), Cloud(record)
        await store.start(deployment.store_address)
        await cloud.start(deployment.cloud_address)
        store.put_json("op", "config", configuration())
        events_made = []
        preempted = set()

        def preempts(request):
            # Once for each attempt: at the engine that has begun it.
            attempt = request.headers["x-attempt-id"]
            return "last-event-id" not in request.headers and not (
                attempt in preempted or preempted.add(attempt))

        for i in range(2):
            await Watched(store, record, "i-pool-%d" % i, "pool", deployment.engine_address(i),
                          "zone-a" if i == 0 else "zone-b", events=EVENTS,
                          preempted_s=PREEMPTED_S if trouble else 0.0, is_preempted=preempts,
                          drops=False, events_made=events_made).start()
        await deployment.start_nodes()
        await asyncio.sleep(5.0)  # More than contactMs after the start of the machines.

        await asyncio.gather(*[consumer.send(
            record, deployment.nodes[number % 2], "assistant.example", "/plan/%d" % number,
            "attempt-%d" % number, "key-1", 12000,
            headers=[("X-Model", "m"), ("X-Token-Usage", "1460,60"),
                     ("X-Prompt-Prefix", "%x:1460" % (number + 1))]) for number in range(STREAMS)])
        await asyncio.sleep(PREEMPTED_S + 2.5)
        return check(events_made)
    finally:
        deployment.close(os.environ.get("KEEP_LOGS"))


def check(events_made):
    breaches = []
    for attempt in sorted({event[1] for event in events_made}):
        events = [event for event in events_made if event[1] == attempt]
        first_engine = events[0][2]
        moved = [event for event in events if event[2] != first_engine]
        late = [event for event in events if event[2] == first_engine and moved
                and event[0] > moved[0][0] + OVERLAP_S]
        if late:
            breaches.append(
                "%s goes on at %s from event %d, and %s still makes %d events of it, up to %.2f s "
                "later" % (attempt, moved[0][2], moved[0][3], first_engine, len(late),
                           late[-1][0] - moved[0][0]))
    return breaches


main(play, pathlib.Path(__file__).resolve().parent)
