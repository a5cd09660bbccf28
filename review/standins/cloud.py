"""Stand-in for the platform's calls that are the duty of one machine at a time."""
import json
import time

import http_server


class Cloud:
    def __init__(self, record):
        self.record = record
        self.calls = []
        self.server = None

    async def start(self, address):
        self.server = await http_server.Server.listen(address, self.handle)

    async def handle(self, request):
        body = json.loads(request.body or b"{}")
        call = {"at": time.monotonic(), "path": request.target,
                "holder": request.headers.get("x-duty-holder", ""),
                "generation": int(request.headers.get("x-fencing-token", -1)), "body": body}
        self.calls.append(call)
        self.record.write("cloud_call", path=call["path"], holder=call["holder"],
                          generation=call["generation"], body=body)
        return http_server.Answer(200, b"{}", [("Content-Type", "application/json")])


def subject(call):
    """The duty and subject of a call: all usage windows are one subject."""
    if call["path"] == "/usage":
        return "usage"
    return "scale %s %s" % (call["body"].get("service"), call["body"].get("zone"))
