"""Stand-in of a runner of a plain service: answers each request once."""

import asyncio
import json
import time

import http_server


def registry_entry(name, service, address, **fields):
    """Return the row by which a runner registers itself."""
    return json.dumps(
        {
            "service": service,
            "address": address,
            "zone": "zone-1",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "sequence": 1,
            "coldRemainingMs": 0,
            "models": [],
            "born": int(time.time() * 1000),
            **fields,
        }
    ).encode()


class PlainRunner:
    """Runner that works for ``work_s`` and answers with ``answer_bytes`` bytes."""

    def __init__(self, name, service, record, *, work_s=0.02, answer_bytes=800):
        self.name = name
        self.service = service
        self._record = record
        self._work_s = work_s
        self._answer = b"%s:" % name.encode() + b"x" * answer_bytes
        self.run = []

    async def async_start(self, host="127.0.0.1"):
        """Listen on a free port and return the address."""
        self._server = await http_server.async_serve(self._async_handle, host)
        return http_server.address(self._server)

    def answer(self):
        """Return the body of each answer."""
        return self._answer

    async def _async_handle(self, request):
        attempt = request.headers.get("attempt-id", "")
        if request.headers.get("expect-instance", self.name) != self.name:
            headers = [("Attempt-Id", attempt), ("Instance-Id", self.name)]
            request.writer.write(http_server.response(421, headers))
            return
        self.run.append(attempt)
        self._record.note(f"runner {self.name} runs {attempt}")
        await asyncio.sleep(self._work_s)
        headers = [
            ("Attempt-Id", attempt),
            ("Server-Stamp", f"stamp-{self.name}"),
            ("Server-Load", "1,0,64"),
        ]
        request.writer.write(http_server.response(200, headers, self._answer))
        self._record.note(f"runner {self.name} has answered {attempt}")
