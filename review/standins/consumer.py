"""Stand-in for consumers: sends one request on a channel and reads its answer."""
import asyncio
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


async def read_answer(reader, result):
    block = await reader.readuntil(b"\r\n\r\n")
    lines = block.decode("latin-1").split("\r\n")
    result.status = int(lines[0].split(" ")[1])
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            result.headers.setdefault(name.strip().lower(), value.strip())
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
