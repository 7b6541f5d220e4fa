"""Replay a trace: send each request at its moment, inject each fault at its.

Acts on the processes of a stand-in fleet that it started or is told of; collects the
records of callers and stand-ins for `_report`.
"""

import asyncio
import os
import signal
import time
from collections.abc import Awaitable, Callable

import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from leadford_cli.replay._caller import Caller, CallRecord
from leadford_cli.replay._report import Report, make_report
from leadford_cli.replay._trace import Trace, TraceFault
from leadford_server.web import NO_RESPONSE_STATUS, fetch
from leadford_standins.endpoints import ExecutionRecord
from leadford_standins.fleet import FleetFile

# Time after the last answer in which stand-ins write their records.
SETTLE_S = 0.5
# Maximum number of concurrent calls.
CLIENTS_MAX = 2000

_SIGNAL_BY_ACTION = {
    "kill": signal.SIGKILL,
    "freeze": signal.SIGSTOP,
    "thaw": signal.SIGCONT,
    "drain": signal.SIGTERM,
}

FaultHook = Callable[[TraceFault], Awaitable[bool]]


class _EndpointRecords(msgspec.Struct):
    records: list[ExecutionRecord]
    busy_ms: float
    prefill_tokens: int = 0
    cached_tokens: int = 0


class Replay:
    """Run one trace against one fleet.

    Only executions since the start of this replay count.
    """

    def __init__(
        self, *, trace: Trace, fleet: FleetFile, hook: FaultHook | None = None
    ) -> None:
        self.trace = trace
        self.fleet = fleet
        self.hook = hook
        self.http_: CurlAsyncHTTPClient | None = None
        self.records_: list[CallRecord] = []

    def run(self) -> Report:
        """Run the trace and return its report."""
        return asyncio.run(self.run_async())

    async def run_async(self) -> Report:
        """Run the trace on the current event loop and return its report."""
        self.http_ = CurlAsyncHTTPClient(force_instance=True, max_clients=CLIENTS_MAX)
        wall_start = time.time()
        retries_before = await self._retries()
        calls_before = await self._store_calls()
        caller = Caller(
            entries=self.fleet.entries,
            api_keys=self.fleet.api_keys,
            http=self.http_,
            started_at=time.monotonic(),
        )
        self.records_ = await self._send_requests(caller)
        await asyncio.sleep(SETTLE_S)
        tables = await self._tables()
        calls_after = await self._store_calls()
        return make_report(
            trace=self.trace,
            records=self.records_,
            executions=_executions_since(wall_start, tables),
            document=self.fleet.document,
            store_calls=_difference(calls_after, calls_before),
            retries=max(0, await self._retries() - retries_before),
            prefill_tokens=sum(table.prefill_tokens for table in tables),
            cached_tokens=sum(table.cached_tokens for table in tables),
        )

    async def _send_requests(self, caller: Caller) -> list[CallRecord]:
        """Send each request at its moment, beside the faults; return the records."""
        faults = asyncio.create_task(self._inject(caller.started_at))
        calls: list[asyncio.Task[CallRecord]] = []
        for request in self.trace.requests:
            delay_s = caller.started_at + request.at_s - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            calls.append(asyncio.create_task(caller.call(request)))
        records = list(await asyncio.gather(*calls))
        faults.cancel()
        return records

    async def _inject(self, started_at: float) -> None:
        for fault in sorted(self.trace.faults, key=lambda fault: fault.at_s):
            await asyncio.sleep(max(0.0, started_at + fault.at_s - time.monotonic()))
            if self.hook is not None and await self.hook(fault):
                continue
            await self._apply(fault)

    async def _apply(self, fault: TraceFault) -> None:
        if fault.action == "set":
            url = self.fleet.controls_by_endpoint[fault.target]
            body = msgspec.json.encode(fault.faults)
            request = HTTPRequest(f"{url}/_control", method="POST", body=body)
            await fetch(self.http_, request)
            return
        number = _SIGNAL_BY_ACTION[fault.action]
        os.kill(self.fleet.pids_by_name[fault.target], number)

    async def _tables(self) -> list[_EndpointRecords]:
        tables: list[_EndpointRecords] = []
        for name, url in self.fleet.controls_by_endpoint.items():
            if name == "store":
                continue
            response = await fetch(self.http_, f"{url}/_records")
            if response.code == NO_RESPONSE_STATUS:
                continue
            tables.append(msgspec.json.decode(response.body, type=_EndpointRecords))
        return tables

    async def _store_calls(self) -> dict:
        url = f"{self.fleet.store}/_stats"
        response = await fetch(self.http_, url)
        return msgspec.json.decode(response.body) if response.code == 200 else {}

    async def _retries(self) -> int:
        total = 0.0
        for url in self.fleet.entries:
            response = await fetch(self.http_, f"{url}/metrics")
            if response.code != 200:
                continue
            for line in response.body.decode().splitlines():
                if line.startswith("leadford_retries_total{"):
                    total += float(line.rpartition(" ")[2])
        return int(total)


def _executions_since(
    wall_start: float, tables: list[_EndpointRecords]
) -> list[ExecutionRecord]:
    """Return what stand-ins executed from a moment of Unix time on."""
    return [
        record
        for table in tables
        for record in table.records
        if record.at_s >= wall_start
    ]


def _difference(after: dict, before: dict) -> dict:
    numbers = {}
    for name, value in after.items():
        if isinstance(value, int) and name != "waiting":
            numbers[name] = value - before.get(name, 0)
    return numbers
