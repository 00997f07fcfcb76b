"""Stand-in of the platform's metadata store: rows, conditions and a change feed."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

import http_server

CALL_S = 0.004


class Store:
    """Rows in memory; loses nothing that it has acknowledged."""

    def __init__(self):
        self.rows = {}
        self.changes = []
        self.version = 0
        self._changed = asyncio.Event()

    async def async_start(self):
        """Listen on a free port and return the address."""
        self._server = await http_server.async_serve(self._async_handle, "127.0.0.1")
        return http_server.address(self._server)

    def put(self, table, key, value):
        """Write a row as the operator or a runner does; ``None`` removes it."""
        self.version += 1
        self._write((table, "", key), value)
        self._wake()

    def _write(self, name, value):
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (value, self.version)
        self.changes.append((self.version, name, value))

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _row(self, name, value, version, is_removed=False):
        row = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
        if is_removed:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    async def _async_handle(self, request):
        await asyncio.sleep(CALL_S)
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/-/rows-get":
            status, document = 200, self._get(query)
        elif url.path == "/-/rows-feed":
            status, document = 200, await self._async_feed(query)
        elif url.path == "/-/rows-tx":
            status, document = self._transact(json.loads(request.body))
        else:
            status, document = 404, {}
        document["ver"] = self.version
        document["nowMs"] = int(time.monotonic() * 1000)
        headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
        body = json.dumps(document).encode()
        request.writer.write(http_server.response(status, headers, body))

    def _get(self, query):
        first, last = query.get("from", ""), query.get("to")
        part = query.get("part", "")
        names = sorted(
            name
            for name in self.rows
            if name[:2] == (query["table"], part)
            and name[2] >= first
            and (last is None or name[2] < last)
        )
        limit = int(query.get("limit", 500))
        rows = [self._row(name, *self.rows[name]) for name in names[:limit]]
        return {"rows": rows, "hasMore": len(names) > limit}

    async def _async_feed(self, query):
        table, after = query["table"], int(query["after"])
        ends_at_s = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            found = [c for c in self.changes if c[0] > after and c[1][0] == table]
            left_s = ends_at_s - time.monotonic()
            if found or left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass
        return {
            "rows": [
                self._row(name, value, version, value is None)
                for version, name, value in found
            ]
        }

    def _transact(self, document):
        expected = document.get("expectedRevision", [])
        for row in expected:
            name = (row["table"], row.get("part", ""), row["key"])
            if self.rows.get(name, (b"", 0))[1] != row["ver"]:
                known = [(r["table"], r.get("part", ""), r["key"]) for r in expected]
                rows = [self._row(n, *self.rows[n]) for n in known if n in self.rows]
                return 412, {"rows": rows}
        self.version += 1
        for row in document.get("put", []):
            name = (row["table"], row.get("part", ""), row["key"])
            self._write(name, base64.b64decode(row["value"]))
        for row in document.get("remove", []):
            self._write((row["table"], row.get("part", ""), row["key"]), None)
        self._wake()
        return 200, {}
