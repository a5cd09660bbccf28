"""A small HTTP/1.1 server on asyncio, for the stand-ins."""
import asyncio

REASONS = {200: "OK", 403: "Forbidden", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 503: "Service Unavailable"}


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body


class Answer:
    def __init__(self, status, body=b"", headers=()):
        self.status, self.body, self.headers = status, body, list(headers)


def head(status, headers):
    lines = ["HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status"))]
    lines += ["%s: %s" % field for field in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_message(reader):
    """Reads a head and a body with a length; returns the first line, the headers and the body."""
    block = await reader.readuntil(b"\r\n\r\n")
    lines = block.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers.setdefault(name.strip().lower(), value.strip())
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


class Server:
    """`handler(request)` returns an Answer, or None to close the connection without one. With
    `streams`, `handler(request, reader, writer)` writes its answer itself and returns whether the
    connection is kept."""

    @classmethod
    async def listen(cls, address, handler, streams=False):
        self = cls()
        self.handler, self.streams, self.tasks = handler, streams, set()
        host, port = address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port), reuse_address=True)
        return self

    async def close(self):
        self.server.close()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                request = Request(method, target, headers, body)
                if self.streams:
                    if not await self.handler(request, reader, writer):
                        break
                    continue
                answer = await self.handler(request)
                if answer is None:
                    break
                fields = answer.headers + [("Content-Length", str(len(answer.body)))]
                writer.write(head(answer.status, fields) + answer.body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()
