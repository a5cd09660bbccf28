"""Stand-in for consumers: sends one request on a channel and reads its answer."""
import asyncio
import socket
import time

import http_server


class Result:
    def __init__(self):
        self.status = None  # None: the channel ended before an answer began.
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.events = []  # Ids of the whole events of a stream.
        self.seconds = 0.0


WINDOW_BYTES = 64 * 1024


class SlowReader:
    """Reads a channel at no more than `bytes_per_s`, as over a link of that rate: what the consumer
    has not taken yet waits at the sender, but for a small window."""

    def __init__(self, channel, bytes_per_s):
        self.channel, self.bytes_per_s = channel, bytes_per_s
        self.buffer, self.taken, self.began = b"", 0, time.monotonic()

    async def fill(self):
        due = self.began + self.taken / self.bytes_per_s
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        data = await asyncio.get_running_loop().sock_recv(self.channel, WINDOW_BYTES // 4)
        if not data:
            raise asyncio.IncompleteReadError(self.buffer, None)
        self.taken += len(data)
        self.buffer += data

    async def readuntil(self, end):
        while end not in self.buffer:
            await self.fill()
        head, _, self.buffer = self.buffer.partition(end)
        return head + end

    async def read_some(self):
        if not self.buffer:
            await self.fill()
        data, self.buffer = self.buffer, b""
        return data


async def get_slowly(record, node, host, path, attempt, key, deadline_ms, bytes_per_s):
    """Sends a GET request to `node` and reads the answer, which has a length, at `bytes_per_s`."""
    result, loop, began = Result(), asyncio.get_running_loop(), time.monotonic()
    record.write("request", attempt=attempt, node=node.name, path=path, bytes_per_s=bytes_per_s)
    ended_by = "end of the answer"
    with socket.socket() as channel:
        channel.setblocking(False)
        channel.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        try:
            await loop.sock_connect(channel, (node.ip, 8221))
            await loop.sock_sendall(channel, (
                "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n"
                "Authorization: Token %s\r\n\r\n" % (path, host, attempt, deadline_ms, key)).encode())
            await asyncio.wait_for(
                read_slow_answer(SlowReader(channel, bytes_per_s), result), deadline_ms / 1000)
        except asyncio.TimeoutError:
            ended_by = "time budget"
        except asyncio.IncompleteReadError:
            ended_by = "closed channel"
        except OSError as error:
            ended_by = repr(error)
    result.seconds = time.monotonic() - began
    record.write("answer", attempt=attempt, status=result.status, complete=result.is_complete,
                 bytes=len(result.body), ended_by=ended_by, ms=round(result.seconds * 1000))
    return result


async def read_slow_answer(reader, result):
    read_head(await reader.readuntil(b"\r\n\r\n"), result)
    while len(result.body) < int(result.headers.get("content-length", 0)):
        result.body += await reader.read_some()
    result.is_complete = True


async def send(record, node, host, path, attempt, key, deadline_ms, headers=(), body=b"",
               method="POST"):
    """Sends a request to `node` and returns what came back until the end of the answer."""
    result = Result()
    began = time.monotonic()
    record.write("request", attempt=attempt, node=node.name, path=path)
    try:
        reader, writer = await asyncio.open_connection(node.ip, 8221)
    except OSError:
        record.write("answer", attempt=attempt, status=None, complete=False)
        return result
    try:
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + host, "X-Attempt-Id: " + attempt,
                 "X-Deadline-Ms: %d" % deadline_ms, "Authorization: Token " + key,
                 "Content-Length: %d" % len(body)]
        lines += ["%s: %s" % field for field in headers]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await asyncio.wait_for(read_answer(reader, result), deadline_ms / 1000 + 2.0)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        pass
    finally:
        writer.close()
    result.seconds = time.monotonic() - began
    record.write("answer", attempt=attempt, status=result.status, complete=result.is_complete,
                 events=len(result.events), bytes=len(result.body),
                 ms=round(result.seconds * 1000))
    return result


def read_head(block, result):
    lines = block.decode("latin-1").split("\r\n")
    result.status = int(lines[0].split(" ")[1])
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            result.headers.setdefault(name.strip().lower(), value.strip())


async def read_answer(reader, result):
    read_head(await reader.readuntil(b"\r\n\r\n"), result)
    if result.headers.get("transfer-encoding", "") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = (await reader.readexactly(size + 2))[:size]
            if size == 0:
                break
            result.body += data
            result.events = event_ids(result.body)
    else:
        result.body = await reader.readexactly(int(result.headers.get("content-length", 0)))
    result.is_complete = True


def event_ids(body):
    ids = []
    for event in body.split(b"\n\n")[:-1]:
        for line in event.split(b"\n"):
            if line.startswith(b"id: "):
                ids.append(int(line[4:]))
    return ids
