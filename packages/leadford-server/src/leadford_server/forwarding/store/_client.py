"""Call the platform's store, and log when it stops and starts to answer.

`ObjectsClient` is the only client of the store; the codec of the platform decodes the
responses. A call goes on for as long as bytes of its response keep arriving. Calls that
accept an earlier answer are repeated beside the earlier ones (`web`).
"""

import asyncio
from typing import TypeVar

from returns.result import Failure, Result, Success
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from leadford.events import Event
from leadford.forwarding.history import AnswerAge, StoreEpochs
from leadford.forwarding.membership import StoreRefusals
from leadford_server.forwarding._store_contract import (
    ObjectCodec,
    ObjectEvents,
    StoreAnswer,
    StoreFailure,
)
from leadford_server.logs import EventLog
from leadford_server.metrics import (
    STORE_BYTES_TOTAL,
    STORE_CALLS_TOTAL,
    UNREADABLE_RECORDS_TOTAL,
)
from leadford_server.web import (
    NO_RESPONSE_STATUS,
    FetchedResponse,
    FetchTimeouts,
    OpenCalls,
    fetch_while_arriving,
    is_success,
)

# Timeouts of a call until the first byte of the response, and of its connection.
FIRST_BYTE_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.6
# Timeout between two bytes of a response that has begun to arrive, and the limit for
# the whole response.
STALL_TIMEOUT_S = 1.0
ANSWER_MAX_S = 20.0
# An error message is cut to this length in a log line.
FAULT_LOGGED_MAX_CHARS = 300
# The source that the log names for data that comes from the store itself.
FROM_STORE = "store"

T = TypeVar("T")


class ObjectsClient:
    """Call the platform's store and log when it stops and starts to answer.

    `is_silent_` is True if the last finished call got no response at all;
    `unanswered_count_` counts all calls that got none in time.
    """

    def __init__(
        self,
        *,
        url: str,
        http: AsyncHTTPClient,
        codec: ObjectCodec,
        log: EventLog,
        epochs: StoreEpochs | None = None,
        refusals: StoreRefusals | None = None,
    ) -> None:
        self.url = url
        self.http = http
        self.codec = codec
        self.log = log
        self.epochs = epochs or StoreEpochs()
        self.refusals = refusals or StoreRefusals()
        self.is_available_ = True
        self.is_silent_ = False
        self.answered_at_: float | None = None
        self.open_calls_ = OpenCalls(http=http)
        self.call_count_ = 0
        self.unanswered_count_ = 0

    async def call(
        self,
        path: str,
        *,
        method: str = "GET",
        body: bytes | None = None,
        wait_s: float = 0.0,
        first_byte_timeout_s: float = FIRST_BYTE_TIMEOUT_S,
        opens_connection: bool = False,
        accepts_earlier: bool = False,
    ) -> Result[StoreAnswer, StoreFailure]:
        """Return a successful response, or the reason why there is none.

        With `opens_connection` the call opens a new connection. With `accepts_earlier`
        the answer to an earlier call that asked the same counts too, however late.
        """
        request = HTTPRequest(
            self.url + path,
            method=method,
            body=body,
            headers={"Content-Type": "application/json"} if body else None,
            allow_nonstandard_methods=True,
            decompress_response=False,
        )
        self.call_count_ += 1
        timeouts = FetchTimeouts(
            connect_timeout_s=CONNECT_TIMEOUT_S,
            first_byte_timeout_s=wait_s + first_byte_timeout_s,
            stall_timeout_s=STALL_TIMEOUT_S,
            total_timeout_s=wait_s + ANSWER_MAX_S,
        )
        kind = "watch" if wait_s else "read" if method == "GET" else "write"
        if not accepts_earlier:
            answer = await fetch_while_arriving(
                self.http, request, timeouts, opens_connection=opens_connection
            )
            return self._handle_response(path, kind, answer)
        repeated = await self.open_calls_.fetch(
            request, timeouts, opens_connection=opens_connection
        )
        return self._handle_response(
            path, kind, repeated.response, late_s=repeated.late_s
        )

    def _handle_response(
        self, path: str, kind: str, answer: FetchedResponse, *, late_s: float = 0.0
    ) -> Result[StoreAnswer, StoreFailure]:
        """Count a response and return it, or the failure that its status stands for."""
        status = answer.status
        if self._is_past_epoch(answer):
            STORE_CALLS_TOTAL.labels(kind=kind, end="past").inc()
            return Failure(StoreFailure.PAST_EPOCH)
        end = "ok" if is_success(status) else str(status)
        STORE_CALLS_TOTAL.labels(kind=kind, end=end).inc()
        STORE_BYTES_TOTAL.labels(end=end).inc(len(answer.body))
        if is_success(status):
            self._record_availability(True, status)
            return Success(StoreAnswer(answer.body, self.epochs.current_, late_s))
        if status == NO_RESPONSE_STATUS:
            self.unanswered_count_ += 1
            # The rate of calls bounds the number of these log lines.
            self.log.report(
                Event.STORE_ANSWER_LOST,
                path=path,
                waited_ms=round(answer.duration_s * 1_000.0),
                bytes=len(answer.body),
            )
            self._record_availability(False, status)
            return Failure(StoreFailure.NO_ANSWER)
        failure = self.codec.read_failure(status)
        self._record_availability(failure is not StoreFailure.UNAVAILABLE, status)
        if failure is StoreFailure.UNAVAILABLE:
            self.refusals.record_refused(asyncio.get_running_loop().time())
        return Failure(failure)

    def _is_past_epoch(self, answer: FetchedResponse) -> bool:
        """Record the epoch of a response; return whether it belongs to a past epoch."""
        before = self.epochs.current_
        epoch = self.codec.read_epoch(answer.headers)
        age = self.epochs.record_answer(epoch)
        if age is AnswerAge.RESTORED:
            self.log.report(
                Event.STORE_RESTORED, before=before, after=epoch, source=FROM_STORE
            )
        return age is AnswerAge.PAST

    def _record_availability(self, answered: bool, status: int) -> None:
        """Log when the store stops or starts to answer, and for how long it did not."""
        now = asyncio.get_running_loop().time()
        last_at = self.answered_at_
        self.is_silent_ = status == NO_RESPONSE_STATUS
        if answered:
            self.answered_at_ = now
        if answered == self.is_available_:
            return
        self.is_available_ = answered
        event = Event.STORE_BACK if answered else Event.STORE_UNAVAILABLE
        self.log.report(
            event,
            store=self.url,
            status=status,
            unanswered_ms=None if last_at is None else round((now - last_at) * 1_000.0),
        )


def decoded_or_none(read: Result[T, str], log: EventLog) -> T | None:
    """Return what a codec has decoded; log an object that cannot be decoded."""
    if isinstance(read, Failure):
        log.report(
            Event.CONFIG_UNREADABLE, error=str(read.failure())[:FAULT_LOGGED_MAX_CHARS]
        )
        return None
    return read.unwrap()


def decoded_changes_or_none(
    answer: StoreAnswer, codec: ObjectCodec, log: EventLog
) -> ObjectEvents | None:
    """Return the changes in the answer to a watch; log those that are unreadable."""
    events = decoded_or_none(codec.read_events(answer.body), log)
    if events is None:
        return None
    for fault in events.faults:
        report_unreadable(fault, log)
    return events.in_epoch(answer.epoch)


def decoded_record_or_none(read: Result[T, str], name: str, log: EventLog) -> T | None:
    """Return a record that a codec has decoded; log and count an unreadable one."""
    if isinstance(read, Failure):
        report_unreadable(read.failure(), log, name=name)
        return None
    return read.unwrap()


def report_unreadable(fault: str, log: EventLog, *, name: str = "") -> None:
    """Log and count a record that is skipped because it cannot be read."""
    UNREADABLE_RECORDS_TOTAL.inc()
    log.report(
        Event.RECORD_UNREADABLE, record=name, error=fault[:FAULT_LOGGED_MAX_CHARS]
    )
