"""Serve the object API over HTTP.

GET and PUT /objects/NAME with `Object-Version`, `If-Match` and `If-None-Match: *`;
`?watch=VERSION&timeout_s=N` waits for a newer version; GET /objects?prefix= lists.
"""

import time

import msgspec
from tornado import web

from leadford.common import TokenBucket
from leadford_standins.faults import ControlHandler, FaultState, FaultyHandler
from leadford_standins.store._objects import VALUE_BYTES_MAX, ObjectTable

# Calls a second that the stand-in takes before it refuses; choices of this stand-in.
WRITES_PER_S = 100.0
READS_PER_S = 2000.0
# Seconds for which a watch is held at most.
WATCH_MAX_S = 60.0


class _Limits:
    """Hold the call rates of the object API."""

    def __init__(self, writes_per_s: float, reads_per_s: float) -> None:
        self.writes = TokenBucket(rate_per_s=writes_per_s, burst=writes_per_s)
        self.reads = TokenBucket(rate_per_s=reads_per_s, burst=reads_per_s)


class _StoreHandler(FaultyHandler):
    """Share the table and the limits between handlers."""

    def initialize(
        self, state: FaultState, table: ObjectTable, limits: _Limits
    ) -> None:
        super().initialize(state)
        self.table = table
        self.limits = limits

    def take(self, bucket: TokenBucket) -> None:
        """Refuse a call over the rate."""
        if bucket.try_take(time.monotonic()):
            return
        self.table.calls_.refused += 1
        self.set_header("Retry-After", "1")
        raise web.HTTPError(429, reason="Too many calls")


class _ObjectHandler(_StoreHandler):
    """Read, write, watch and delete one object."""

    async def get(self, name: str) -> None:
        self.take(self.limits.reads)
        self.table.calls_.reads += 1
        watch = self.get_query_argument("watch", None)
        if watch is not None:
            self.table.calls_.watches += 1
            timeout_s = float(self.get_query_argument("timeout_s", "30"))
            timeout_s = min(timeout_s, WATCH_MAX_S)
            await self.table.wait_past(name, int(watch), timeout_s)
            if self.state.faults.down:
                self.drop()
                return
        stored = self.table.get(name)
        if stored is None:
            raise web.HTTPError(404)
        if watch is not None and stored.version <= int(watch):
            self.set_status(304)
            return
        self.set_header("Object-Version", str(stored.version))
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(stored.data)

    def put(self, name: str) -> None:
        self.take(self.limits.writes)
        self.table.calls_.writes += 1
        if len(self.request.body) > VALUE_BYTES_MAX:
            raise web.HTTPError(413)
        stored = self.table.put(name, self.request.body, self._expected())
        if self.state.take_lost_answer():
            self.drop()
            return
        if stored is None:
            raise web.HTTPError(412)
        self.set_header("Object-Version", str(stored.version))
        self.finish(b"")

    def _expected(self) -> int | None:
        if self.request.headers.get("If-None-Match") == "*":
            return 0
        match = self.request.headers.get("If-Match")
        return int(match.strip('"')) if match is not None else None

    def delete(self, name: str) -> None:
        self.take(self.limits.writes)
        self.table.calls_.writes += 1
        self.table.delete(name)
        self.set_status(204)


class _ListHandler(_StoreHandler):
    """List names and versions under a prefix."""

    def get(self) -> None:
        self.take(self.limits.reads)
        self.table.calls_.reads += 1
        prefix = self.get_query_argument("prefix", "")
        objects = self.table.objects_by_name_
        found = {n: o.version for n, o in objects.items() if n.startswith(prefix)}
        self.finish(msgspec.json.encode(found))


class _StatsHandler(web.RequestHandler):
    """Answer with the counted calls."""

    def initialize(self, table: ObjectTable) -> None:
        self.table = table

    def get(self) -> None:
        counts = msgspec.to_builtins(self.table.calls_)
        counts["writes_by_prefix"] = dict(self.table.writes_by_prefix_)
        self.finish(counts)


def make_store_app(
    *, writes_per_s: float = WRITES_PER_S, reads_per_s: float = READS_PER_S
) -> web.Application:
    """Return the application of one object store."""
    state = FaultState()
    table = ObjectTable()
    limits = _Limits(writes_per_s, reads_per_s)
    shared = {"state": state, "table": table, "limits": limits}
    return web.Application(
        [
            (r"/objects/(.+)", _ObjectHandler, shared),
            (r"/objects", _ListHandler, shared),
            (r"/_control", ControlHandler, {"state": state}),
            (r"/_stats", _StatsHandler, {"table": table}),
        ],
        log_function=lambda handler: None,
        leadford_state=state,
        leadford_table=table,
    )
