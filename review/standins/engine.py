"""Stand-ins for engines: a plain one, and one that streams events."""
import asyncio
import random
import time

import http_server

HEARTBEAT_S = 1.2


class Engine:
    """Registers in the store and answers each request after its work. `work_s(request)` gives the
    seconds of work of a plain request; an answer has `body_bytes` bytes if that is given."""

    def __init__(self, store, record, name, service, address, zone, slots=6, work_s=None,
                 body_bytes=0):
        self.store, self.record, self.name, self.service = store, record, name, service
        self.address, self.zone, self.slots = address, zone, slots
        self.work_s = work_s or (lambda request: 0.03)
        self.body_bytes = body_bytes
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.server = None
        self.heartbeat = None
        self.state = "ready"
        self.running = set()

    async def start(self):
        self.server = await http_server.Server.listen(self.address, self.serve, streams=True)
        self.register()
        self.store.rewriters.append(self.register)
        self.heartbeat = asyncio.create_task(self.beat())

    async def beat(self):
        await asyncio.sleep(random.uniform(0.0, HEARTBEAT_S))
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    def register(self):
        self.sequence += 1
        self.store.put_json("servers", self.name, {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "coldRemainingMs": 0,
            "sequence": self.sequence, "born": self.born})

    async def leave(self, serve_s):
        """A planned shutdown: reports `draining`, serves on for `serve_s`, and exits."""
        self.state = "draining"
        self.register()
        self.record.write("draining", engine=self.name)
        await asyncio.sleep(serve_s)
        self.heartbeat.cancel()
        self.record.write("exits", engine=self.name)
        await self.server.close()
        self.store.remove("servers", self.name)

    def is_misdirected(self, request):
        return request.headers.get("x-expect-instance", self.name) != self.name

    def answer_fields(self, request):
        leaving = [("Server-Leaving", "1")] if self.state == "draining" else []
        return leaving + [("X-Attempt-Id", request.headers.get("x-attempt-id", "")),
                ("X-Upstream-Signature", "sig.%s.%s" % (
                    self.name, request.headers.get("x-attempt-id", "")))]

    async def serve(self, request, reader, writer):
        if self.is_misdirected(request):
            writer.write(http_server.head(421, [("X-Not-Executed", "1"), ("Content-Length", "0")]))
            await writer.drain()
            return True
        attempt = request.headers.get("x-attempt-id", "")
        self.record.write("run_begins", engine=self.name, attempt=attempt, target=request.target,
                          tenant=request.headers.get("x-tenant", ""))
        await asyncio.sleep(self.work_s(request))
        body = ("answer to " + attempt).encode().ljust(self.body_bytes, b".")
        fields = self.answer_fields(request) + [("Content-Length", str(len(body)))]
        writer.write(http_server.head(200, fields) + body)
        await writer.drain()
        self.record.write("run_ends", engine=self.name, attempt=attempt)
        return True
