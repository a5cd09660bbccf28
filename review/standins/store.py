"""Stand-in for the users' row store, as PROTOCOL.md and the paragraph "New on our pages" of the
users' fourth letter describe it."""
import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

import http_server

HISTORY_S = 20.0
ANSWER_S = 0.004


class Store:
    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part, key): (value, version)
        self.version = 0
        self.era = 1
        self.log = []  # (time, version, (table, part, key), value or None)
        self.changed = asyncio.Event()
        self.server = None
        self.address = None
        self.down = False
        self.silent = False
        self.dropped = 0  # The history up to this version is gone.
        self.behind_s = 0.0
        self.cut = asyncio.Event()
        self.rewriters = []  # The operator and the engines, who write again after a restore.

    async def start(self, address):
        self.address = address
        self.server = await http_server.Server.listen(address, self.handle)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def apply(self, puts, removals):
        self.version += 1
        now = time.monotonic()
        for key, value in puts:
            self.rows[key] = (value, self.version)
            self.log.append((now, self.version, key, value))
        for key in removals:
            if self.rows.pop(key, None) is not None:
                self.log.append((now, self.version, key, None))
        self.wake()
        return self.version

    def put_json(self, table, key, body):
        """A write by the operator or an engine. Returns whether the store took it."""
        if self.down:
            return False
        value = base64.b64encode(json.dumps(body).encode()).decode()
        self.apply([((table, "", key), value)], [])
        return True

    def remove(self, table, key):
        if not self.down:
            self.apply([], [(table, "", key)])

    async def restore(self, copy_time, away_s):
        """Away for `away_s`, then back with its state as of `copy_time`."""
        self.down = True
        self.record.write("store_away")
        await self.server.close()
        self.wake()
        await asyncio.sleep(away_s)
        self.log = [entry for entry in self.log if entry[0] <= copy_time]
        self.rows, self.version = self.state_at(copy_time)
        self.era += 1
        self.down = False
        self.server = await http_server.Server.listen(self.address, self.handle)
        self.record.write("store_back", era=self.era, version=self.version,
                          copy_age_s=round(time.monotonic() - copy_time, 2))
        for rewrite in self.rewriters:
            rewrite()

    async def compact(self, silent_s, behind_s, stale_s):
        """Feeds hear nothing for `silent_s`; then the history is dropped and the feeds are cut, and
        for `stale_s` reads are `behind_s` behind."""
        self.record.write("store_feeds_silent")
        self.silent = True
        await asyncio.sleep(silent_s)
        self.silent = False
        self.dropped = self.version
        self.behind_s = behind_s
        self.record.write("store_history_dropped", version=self.dropped)
        cut, self.cut = self.cut, asyncio.Event()
        cut.set()
        self.wake()
        await asyncio.sleep(stale_s)
        self.behind_s = 0.0
        self.record.write("store_reads_fresh")

    def state_at(self, at):
        rows, newest = {}, 0
        for when, version, key, value in self.log:
            if when > at:
                break
            newest = version
            if value is None:
                rows.pop(key, None)
            else:
                rows[key] = (value, version)
        return rows, newest

    def answer(self, status, body):
        body = dict(body, nowMs=int(time.monotonic() * 1000))
        body.setdefault("ver", self.version)
        return http_server.Answer(status, json.dumps(body).encode(),
                                  [("Content-Type", "application/json"),
                                   ("Store-Era", str(self.era))])

    async def handle(self, request):
        await asyncio.sleep(ANSWER_S)
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in
                 parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/v1/rows-get":
            return self.get(query)
        if url.path == "/v1/rows-feed":
            return await self.feed(query)
        if url.path == "/v1/rows-tx" and request.method == "POST":
            return self.transact(json.loads(request.body))
        return self.answer(404, {})

    @staticmethod
    def row_of(rows, key):
        value, version = rows.get(key, (None, 0))
        body = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
        return body if value is None else dict(body, value=value)

    def get(self, query):
        limit = min(500, int(query.get("limit", 500)))
        rows, version = self.rows, self.version
        if self.behind_s:
            rows, version = self.state_at(time.monotonic() - self.behind_s)
        keys = sorted(key for key in rows
                      if key[:2] == (query["table"], query.get("part", ""))
                      and key[2] >= query.get("from", "")
                      and ("to" not in query or key[2] < query["to"]))
        return self.answer(200, {"rows": [self.row_of(rows, key) for key in keys[:limit]],
                                 "morePages": len(keys) > limit, "ver": version})

    async def feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + min(30000, int(query.get("waitMs", 0))) / 1000
        cut = self.cut
        while not self.down and not cut.is_set():
            if self.silent:
                await asyncio.sleep(0.02)
                continue
            oldest = time.monotonic() - HISTORY_S
            dropped = max((entry[1] for entry in self.log if entry[0] < oldest), default=0)
            if after > self.version or after < max(dropped, self.dropped):
                return self.answer(410, {})
            latest = {}
            for _, version, key, value in self.log:
                if version > after and key[0] == query["table"]:
                    latest.pop(key, None)
                    latest[key] = (version, value)
            left = end - time.monotonic()
            if latest or left <= 0:
                rows = []
                for key, (version, value) in latest.items():
                    row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
                    row.update({"deleted": True} if value is None else {"value": value})
                    rows.append(row)
                return self.answer(200, {"rows": rows})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        return None

    def transact(self, body):
        def key_of(row):
            return (row["table"], row.get("part", ""), row["key"])

        puts = [(key_of(row), row["value"]) for row in body.get("put", [])]
        removals = [key_of(row) for row in body.get("remove", [])]
        if any(key[0] in ("op", "servers") for key in [put[0] for put in puts] + removals):
            return self.answer(403, {})
        expected = [(key_of(row), row["ver"]) for row in body.get("expect", [])]
        if any(self.rows.get(key, (None, 0))[1] != version for key, version in expected):
            return self.answer(412, {"rows": [self.row_of(self.rows, key) for key, _ in expected]})
        version = self.apply(puts, removals)
        for key, value in puts:
            self.record.write("store_write", table=key[0], key=key[2], ver=version,
                              value=base64.b64decode(value).decode(errors="replace"))
        return self.answer(200, {"ver": version})
