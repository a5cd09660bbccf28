"""Stand-in for a model engine that streams its answers."""
import asyncio
import json

import http_server
from engine import Engine


class StreamEngine(Engine):
    """Answers with `events` events, `gap_s` apart, after reading the prompt for `read_s`. Each run
    is preempted for `preempted_s` after its event number `preempt_after`: its events stop, and go
    on where they stopped. A run ends when its channel closes."""

    def __init__(self, *args, events=20, gap_s=0.1, read_s=0.2, preempt_after=5, preempted_s=0.0,
                 slots=64):
        super().__init__(*args, slots=slots)
        self.events, self.gap_s, self.read_s = events, gap_s, read_s
        self.preempt_after, self.preempted_s = preempt_after, preempted_s
        self.running = 0

    async def serve(self, request, reader, writer):
        if self.is_misdirected(request):
            writer.write(http_server.head(421, [("X-Not-Executed", "1"), ("Content-Length", "0")]))
            await writer.drain()
            return True
        if request.target == "/v1/report":
            body = json.dumps({"stage": "unified", "busy": False, "sequence": 0, "queued": 0,
                               "running": self.running, "kvUsed": 0, "kvTotal": 484124,
                               "handles": 0, "state": "ready", "runs": [], "born": self.born,
                               "models": [{"name": "m", "version": 1, "adapters": []}]}).encode()
            writer.write(http_server.head(200, [("Content-Type", "application/json"),
                                                ("Content-Length", str(len(body)))]) + body)
            await writer.drain()
            return True
        closing = asyncio.create_task(reader.read(1))  # Ends when the channel closes.
        run = asyncio.create_task(self.run(request, writer))
        self.running += 1
        try:
            await asyncio.wait({run, closing}, return_when=asyncio.FIRST_COMPLETED)
            if not run.done():
                self.record.write("channel_closed", engine=self.name,
                                  attempt=request.headers.get("x-attempt-id", ""))
                run.cancel()
            try:
                await run
            except (asyncio.CancelledError, ConnectionError):
                pass
        finally:
            self.running -= 1
            closing.cancel()
            run.cancel()
            self.record.write("run_ends", engine=self.name,
                              attempt=request.headers.get("x-attempt-id", ""))
        return False

    async def run(self, request, writer):
        attempt = request.headers.get("x-attempt-id", "")
        first = int(request.headers.get("last-event-id", "") or 0) + 1
        await asyncio.sleep(self.read_s)
        self.record.write("run_begins", engine=self.name, attempt=attempt, target=request.target,
                          first_event=first)
        fields = self.answer_fields(request) + [
            ("Content-Type", "text/event-stream"), ("X-Weight-Versions", "1"),
            ("Connection", "close"), ("Transfer-Encoding", "chunked")]
        self.send(writer, http_server.head(200, fields))
        for number in range(first, self.events + 1):
            data = b"id: %d\ndata: token %d of %s\n\n" % (number, number, attempt.encode())
            self.send(writer, b"%x\r\n%s\r\n" % (len(data), data))
            if number == self.preempt_after and self.preempted_s:
                self.record.write("preempted", engine=self.name, attempt=attempt, event_id=number)
                await asyncio.sleep(self.preempted_s)
                self.record.write("resumed", engine=self.name, attempt=attempt)
            await asyncio.sleep(self.gap_s)
        self.send(writer, b"0\r\n\r\n")
        if not writer.is_closing():
            await writer.drain()

    def send(self, writer, data):
        if not writer.is_closing():
            writer.write(data)
