"""Behave as a caller does: send, read, come back after a broken connection.

It records what the caller was told, and judges nothing (`_check`). It comes back with
the request's id, or with the same key, at another entry.
"""

import asyncio
import time

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from leadford_cli.replay._trace import TraceRequest
from leadford_server.web import NO_RESPONSE_STATUS, fetch

# Maximum number of connections that a caller opens for a request.
TRIES_MAX = 4
# Timeout for connecting to an entry, and pause before another connection.
CONNECT_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.02
# Time after its deadline for which a caller still reads.
OVERTIME_S = 10.0


class CallRecord(msgspec.Struct, kw_only=True):
    """Hold how one request went for its caller.

    Units: seconds from the start of the trace.
    """

    request: TraceRequest
    started_s: float
    ended_s: float = 0.0
    first_token_s: float = 0.0
    outcome: str = "unanswered"
    reason: str = ""
    status: int = 0
    request_ids: list[str] = []
    text: str = ""
    result: str = ""
    tries: int = 0
    token_gaps_ms: list[float] = []

    @property
    def elapsed_ms(self) -> float:
        """Return how long the caller waited."""
        return (self.ended_s - self.started_s) * 1000.0

    @property
    def in_time(self) -> bool:
        """Tell whether the whole answer came within the deadline."""
        if self.outcome != "complete":
            return False
        return self.elapsed_ms <= self.request.deadline_ms


class _StreamState:
    """Gather server-sent events over one or more connections."""

    def __init__(self) -> None:
        self.rest_ = b""
        self.last_event_id_ = ""
        self.texts_: list[str] = []
        self.end_: dict | None = None
        self.first_at_ = 0.0
        self.last_at_ = 0.0
        self.gaps_ms_: list[float] = []

    def reset_connection(self) -> None:
        """Drop a partial event of a broken connection."""
        self.rest_ = b""

    def feed(self, chunk: bytes) -> None:
        """Handle bytes as they come."""
        *events, self.rest_ = (self.rest_ + chunk).split(b"\n\n")
        for event in events:
            self._take(event)

    def _take(self, event: bytes) -> None:
        fields = dict(
            line.split(": ", 1) for line in event.decode().split("\n") if ": " in line
        )
        if "data" not in fields or "event" not in fields:
            return
        data = msgspec.json.decode(fields["data"])
        if fields["event"] != "token":
            self.end_ = data
            return
        now = time.monotonic()
        if not self.first_at_:
            self.first_at_ = now
        else:
            self.gaps_ms_.append((now - self.last_at_) * 1000.0)
        self.last_at_ = now
        self.last_event_id_ = fields["id"]
        self.texts_.append(data["text"])


class Caller:
    """Send the requests of a trace to the entries in turn."""

    def __init__(
        self,
        *,
        entries: list[str],
        api_keys: dict[str, str],
        http: AsyncHTTPClient,
        started_at: float,
    ) -> None:
        self.entries = entries
        self.api_keys = api_keys
        self.http = http
        self.started_at = started_at
        self.turn_ = 0

    def _now_s(self) -> float:
        return time.monotonic() - self.started_at

    def _next_entry(self) -> str:
        self.turn_ += 1
        return self.entries[self.turn_ % len(self.entries)]

    async def call(self, request: TraceRequest) -> CallRecord:
        """Make one request and return its record."""
        record = CallRecord(request=request, started_s=self._now_s())
        record.request_ids = []
        stream = _StreamState() if request.stream else None
        body = request.body()
        limit_s = record.started_s + request.deadline_ms / 1000.0 + OVERTIME_S
        while record.tries < TRIES_MAX and self._now_s() < limit_s:
            record.tries += 1
            response = await self._send(request, record, body, stream)
            if response is not None and response.code != NO_RESPONSE_STATUS:
                self._record_answer(record, response, stream)
                if record.outcome != "unanswered":
                    break
            if not self._may_come_back(record, stream, response):
                record.outcome = "unknown"
                record.reason = "connection lost"
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        record.ended_s = self._now_s()
        if stream is not None:
            record.text = "".join(stream.texts_)
            record.token_gaps_ms = stream.gaps_ms_
            if stream.first_at_:
                record.first_token_s = stream.first_at_ - self.started_at
        return record

    async def _send(
        self,
        request: TraceRequest,
        record: CallRecord,
        body: bytes,
        stream: _StreamState | None,
    ) -> HTTPResponse:
        elapsed_ms = (self._now_s() - record.started_s) * 1000.0
        headers = {
            "Authorization": f"Bearer {self.api_keys[request.workspace]}",
            "Content-Type": "application/json",
            "Leadford-Deadline-Ms": f"{max(1.0, request.deadline_ms - elapsed_ms):.0f}",
        }
        if request.key:
            headers["Idempotency-Key"] = request.key
        if stream is not None:
            headers["Accept"] = "text/event-stream"
        entry = self._next_entry()
        call = HTTPRequest(
            f"{entry}/v1/pipelines/{request.pipeline}/requests",
            method="POST",
            body=body,
            headers=headers,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=request.deadline_ms / 1000.0 + OVERTIME_S,
        )
        if stream is not None and stream.last_event_id_ and record.request_ids:
            headers["Last-Event-ID"] = stream.last_event_id_
            url = f"{entry}/v1/requests/{record.request_ids[-1]}"
            call = HTTPRequest(
                url,
                headers=headers,
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=OVERTIME_S,
            )
        if stream is not None:
            stream.reset_connection()
            call.streaming_callback = stream.feed
            call.header_callback = lambda line: _record_id(line, record)
        return await fetch(self.http, call)

    def _may_come_back(
        self,
        record: CallRecord,
        stream: _StreamState | None,
        response: HTTPResponse,
    ) -> bool:
        request = record.request
        if request.repeatable or request.key:
            return True
        # Without a key, a call that may have arrived must not be made again.
        return "connect" in str(response.error).lower()

    def _record_answer(
        self, record: CallRecord, response: HTTPResponse, stream: _StreamState | None
    ) -> None:
        record.status = response.code
        request_id = response.headers.get("Leadford-Request-Id")
        if request_id and request_id not in record.request_ids:
            record.request_ids.append(request_id)
        if stream is not None and response.code == 200:
            if stream.end_ is None:
                return
            record.outcome = stream.end_["outcome"]
            record.reason = stream.end_.get("type", "").rpartition(":")[2]
            return
        record.outcome = response.headers.get("Leadford-Outcome", "missing")
        if response.code == 200:
            answer = msgspec.json.decode(response.body)
            record.text = answer.get("text", "")
            if isinstance(answer["result"], str):
                record.result = answer["result"]
            return
        text = response.body or (stream.rest_ if stream is not None else b"")
        try:
            record.reason = msgspec.json.decode(text)["type"].rpartition(":")[2]
        except (msgspec.MsgspecError, LookupError, TypeError):
            record.reason = f"status {response.code}"


def _record_id(line: str, record: CallRecord) -> None:
    name, _, value = line.partition(":")
    if name.lower() != "leadford-request-id":
        return
    request_id = value.strip()
    if request_id not in record.request_ids:
        record.request_ids.append(request_id)
