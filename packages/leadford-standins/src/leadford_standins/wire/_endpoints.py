"""Stand in for plain endpoints and batched stages (engines: `_engines`).

The forwarding entry calls them over the platform's protocol. Each records what ran. A
test queues a `Misbehaviour` for each of the next requests.
"""

import asyncio
import itertools
import json
from collections import deque
from collections.abc import Callable
from enum import Enum

import msgspec
from tornado import httpserver, iostream, web

_ids = itertools.count(1)


class Misbehaviour(Enum):
    """Enumerate the faults that can be injected into one request."""

    NONE = "none"
    LOSE_ANSWER = "lose-answer"
    REFUSE = "refuse"
    FAIL = "fail"
    HANG = "hang"
    CUT = "cut"
    OTHER_ANSWER = "other-answer"
    GONE = "gone"
    STALL = "stall"
    UNSIGNED = "unsigned"
    REPEAT_ANSWER = "repeat-answer"
    REPEAT_REFUSAL = "repeat-refusal"
    REPEAT_GONE = "repeat-gone"
    UNFRAMED = "unframed"
    UNFRAMED_CUT = "unframed-cut"
    UNFRAMED_EMPTY = "unframed-empty"


# Answers that have no length and end with their connection.
UNFRAMED = frozenset(
    {Misbehaviour.UNFRAMED, Misbehaviour.UNFRAMED_CUT, Misbehaviour.UNFRAMED_EMPTY}
)


class Run(msgspec.Struct, frozen=True):
    """Describe one request that ran.

    Units: at_s is the time of the event loop in seconds.
    """

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at_s: float = 0.0


class Arrival(msgspec.Struct, frozen=True):
    """Describe one request that arrived, and whether it expected another endpoint.

    Units: at_s is the time of the event loop in seconds.
    """

    request_id: str
    at_s: float
    is_refused: bool


class PlainStandIn:
    """Answer each request after `work_s` seconds, and record what ran."""

    def __init__(self, *, service: str, hall: str, work_s: float = 0.005) -> None:
        self.service = service
        self.hall = hall
        self.work_s = work_s
        self.endpoint_id = f"i-{next(_ids)}"
        self.software = "v1"
        self.planned_misbehaviours_: deque[Misbehaviour] = deque()
        self.runs_: list[Run] = []
        self.arrivals_ = 0
        self.arrived_: list[Arrival] = []
        self.misbehaved_by_request_: dict[str, Misbehaviour] = {}
        self.left_early_ = 0
        # The endpoint crashes as soon as it runs a request with one of these bodies.
        self.crash_bodies_: set[bytes] = set()
        self.on_crash_: Callable[[], None] | None = None
        # Time of the crash, in seconds of the event loop's clock.
        self.crashed_at_: float | None = None
        # The most connections that were open at once.
        self.max_connections_ = 0
        # Additional headers of each answer.
        self.extra_headers_: dict[str, str] = {}
        # Refusals that come once more where the next answer of their connection is due.
        self.repeated_refusals_: dict[iostream.IOStream, bytes] = {}
        # Further figures of the load that a call of a stage reports.
        self.load_suffix_ = ""

    def start(self, port: int = 0) -> str:
        """Listen on loopback, at a free port by default; return the address."""
        application = web.Application(
            [(r".*", EndpointHandler, {"endpoint": self})],
            log_function=lambda handler: None,
        )
        self.server_ = httpserver.HTTPServer(application)
        self.server_.listen(port, address="127.0.0.1")
        sockets = self.server_._sockets.values()
        self.address_ = f"127.0.0.1:{next(iter(sockets)).getsockname()[1]}"
        return self.address_

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        self.server_.stop()
        await self.server_.close_all_connections()

    def make_replacement(self) -> "PlainStandIn":
        """Return the endpoint that replaces this one, with none of its state."""
        replacement = type(self)(
            service=self.service, hall=self.hall, work_s=self.work_s
        )
        replacement.crash_bodies_ = self.crash_bodies_
        return replacement

    def crash(self) -> None:
        """Simulate a crash of the process: close every connection at once."""
        if self.crashed_at_ is not None:
            return
        self.crashed_at_ = asyncio.get_running_loop().time()
        self.server_.stop()
        for connection in list(self.server_._connections):
            connection.stream.close()
        if self.on_crash_ is not None:
            self.on_crash_()

    def pop_misbehaviour(self) -> Misbehaviour:
        """Remove and return the queued misbehaviour for the next request."""
        return (
            self.planned_misbehaviours_.popleft()
            if self.planned_misbehaviours_
            else Misbehaviour.NONE
        )

    def spec(self, state: str = "ready") -> dict:
        """Return the spec under which the store lists the endpoint."""
        return {
            "service": self.service,
            "address": self.address_,
            "zone": self.hall,
            "version": self.software,
            "slots": 4,
            "state": state,
            "coldLeftMs": 0,
            "sequence": 1,
        }

    async def serve(self, handler: "EndpointHandler") -> None:
        """Run one request."""
        handler.record_run()
        await asyncio.sleep(self.work_s)
        body = f"{self.endpoint_id} {handler.request.path}".encode()
        body += b" " + handler.request.body
        if handler.is_unframed:
            stream = await handler.begin_unframed()
            await stream.write(body)
            stream.close()
            return
        handler.finish(body)


def is_held(handle: str, result_holders: "list[StageStandIn]") -> bool:
    """Return whether one of the holders has a result; True if there are none."""
    return not result_holders or any(
        handle in holder.results_ for holder in result_holders
    )


class StageStandIn(PlainStandIn):
    """Make pieces in batches, one call at a time, and hold at most `room` results.

    A call reads its inputs from their holders when it starts to run.
    """

    def __init__(
        self,
        *,
        call_s: float = 0.02,
        room: int = 1_000,
        result_holders: "list[StageStandIn] | None" = None,
        **fields,
    ) -> None:
        super().__init__(**fields)
        self.call_s = call_s
        self.room = room
        self.result_holders = result_holders if result_holders is not None else []
        self.gone_ = 0
        self.without_room_count_ = 0
        self.max_results_ = 0
        self.results_read_ = 0
        self.freed_in_call_ = 0
        self.waiting_ = 0
        self.call_lock_ = asyncio.Lock()
        self.results_: set[str] = set()
        self.items_: list[dict] = []
        self.batch_sizes_: list[int] = []
        # The endpoint crashes as soon as it makes a piece with one of these keys.
        self.crash_keys_: set[str] = set()
        # The request and the stage that each result was made for.
        self.stage_by_handle_: dict[str, tuple[str, int]] = {}
        # Answers that come once more where the next one of their connection is due.
        self.repeated_by_stream_: dict[iostream.IOStream, bytes] = {}

    async def serve(self, handler: "EndpointHandler") -> None:
        """Run one call for a batch of pieces, or release results."""
        body = json.loads(handler.request.body)
        if handler.request.path.endswith("stage-free"):
            released = self.results_ & set(body["kvHandles"])
            self.results_ -= released
            if any(holder.call_lock_.locked() for holder in self.result_holders):
                self.freed_in_call_ += len(released)
            handler.finish({})
            return
        stream = handler.request.connection.stream
        repeated = self.repeated_by_stream_.pop(stream, b"")
        if repeated:
            await stream.write(repeated)
        self.waiting_ += 1
        async with self.call_lock_:
            self.waiting_ -= 1
            keys = {item.get("privateKey", "") for item in body["items"]}
            if keys & self.crash_keys_:
                self.batch_sizes_.append(len(body["items"]))
                handler.suppress_answer()
                self.crash()
                return
            items = [
                self._make_piece(
                    item, is_gone=handler.misbehaviour is Misbehaviour.GONE
                )
                for item in body["items"]
            ]
            await asyncio.sleep(self.call_s)
        self.batch_sizes_.append(len(items))
        load = f"{int(self.call_lock_.locked())},{self.waiting_},1{self.load_suffix_}"
        handler.set_header("X-Server-Load", load)
        if handler.misbehaviour is Misbehaviour.REPEAT_ANSWER:
            self.repeated_by_stream_[stream] = _raw_answer({"items": items})
        handler.finish({"items": items})

    def _make_piece(self, item: dict, *, is_gone: bool) -> dict:
        """Read the inputs of a piece, reserve room for its result and make it."""
        inputs = item.get("inputs", [])
        if is_gone or not all(
            is_held(handle, self.result_holders) for handle in inputs
        ):
            self.gone_ += 1
            return {"reason": "gone"}
        self.results_read_ += len(inputs)
        if len(self.results_) >= self.room:
            self.without_room_count_ += 1
            return {"reason": "room"}
        self.items_.append(item)
        handle = f"{self.address_}/{next(_ids):x}"
        self.results_.add(handle)
        self.stage_by_handle_[handle] = (item["id"], item["stage"])
        self.max_results_ = max(self.max_results_, len(self.results_))
        return {"kvHandle": handle}

    def make_replacement(self) -> "StageStandIn":
        """Return the endpoint that replaces this one, with none of its state."""
        replacement = StageStandIn(
            call_s=self.call_s,
            room=self.room,
            result_holders=self.result_holders,
            service=self.service,
            hall=self.hall,
        )
        replacement.crash_keys_ = self.crash_keys_
        return replacement


def _raw_answer(fields: dict) -> bytes:
    """Return the bytes of a whole answer with a JSON body."""
    body = json.dumps(fields).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class EndpointHandler(web.RequestHandler):
    """Serve one request as its endpoint does, or inject the queued misbehaviour."""

    def initialize(self, endpoint: PlainStandIn) -> None:
        self.endpoint = endpoint
        self.misbehaviour = Misbehaviour.NONE

    def check_xsrf_cookie(self) -> None:
        """Accept every call."""

    async def _handle(self) -> None:
        endpoint = self.endpoint
        stream = self.request.connection.stream
        repeated = endpoint.repeated_refusals_.pop(stream, b"")
        if repeated:
            await stream.write(repeated)
        endpoint.arrivals_ += 1
        open_count = len(endpoint.server_._connections)
        endpoint.max_connections_ = max(endpoint.max_connections_, open_count)
        request_id = self.request.headers.get("X-Attempt-Id", "")
        self.set_header("X-Attempt-Id", request_id)
        self.set_header("X-Server-Load", "1,0,4")
        for name, value in endpoint.extra_headers_.items():
            self.set_header(name, value)
        expected = self.request.headers.get("X-Expect-Instance")
        if expected not in (None, endpoint.endpoint_id):
            self._record_arrival(request_id, is_refused=True)
            self.refuse(421)
            return
        self._record_arrival(request_id, is_refused=False)
        self.misbehaviour = endpoint.pop_misbehaviour()
        if self.misbehaviour is not Misbehaviour.NONE:
            endpoint.misbehaved_by_request_[request_id] = self.misbehaviour
        self.set_header("X-Server-Stamp", f"stamp.{endpoint.endpoint_id}")
        if self.misbehaviour is Misbehaviour.REFUSE:
            self.refuse(503)
            return
        if self.misbehaviour is Misbehaviour.REPEAT_REFUSAL:
            # A refusal may bear no id.
            self.clear_header("X-Attempt-Id")
            self.refuse_twice(503)
            return
        if self.misbehaviour is Misbehaviour.REPEAT_GONE:
            self.refuse_twice(409)
            return
        if self.request.body in endpoint.crash_bodies_:
            self.record_run()
            self.suppress_answer()
            endpoint.crash()
            return
        if self.misbehaviour is Misbehaviour.FAIL:
            self.record_run()
            self.set_status(500)
            self.finish(b"failed")
            return
        if self.misbehaviour is Misbehaviour.LOSE_ANSWER:
            self.record_run()
            self.close_connection()
            return
        if self.misbehaviour is Misbehaviour.HANG:
            self.record_run()
            await asyncio.sleep(3_600)
        if self.misbehaviour is Misbehaviour.OTHER_ANSWER:
            self.set_header("X-Attempt-Id", "somebody-else")
        if self.misbehaviour is Misbehaviour.UNSIGNED:
            self.clear_header("X-Server-Stamp")
        await endpoint.serve(self)

    get = post = put = delete = _handle

    def _record_arrival(self, request_id: str, *, is_refused: bool) -> None:
        now = asyncio.get_running_loop().time()
        self.endpoint.arrived_.append(Arrival(request_id, now, is_refused))

    def record_run(self) -> None:
        """Record that the request ran."""
        request = self.request
        headers = dict(request.headers.get_all())
        run = Run(
            request.headers.get("X-Attempt-Id", ""),
            request.method,
            request.uri,
            headers,
            request.body,
            asyncio.get_running_loop().time(),
        )
        self.endpoint.runs_.append(run)

    @property
    def is_unframed(self) -> bool:
        """Return whether the answer has no length and ends with its connection."""
        return self.misbehaviour in UNFRAMED

    async def begin_unframed(self) -> iostream.IOStream:
        """Write the head of an answer that ends with its connection; return the rest.

        Nothing but the stream that is returned may be used for the answer from here on.
        """
        self.suppress_answer()
        stream = self.request.connection.detach()
        fields = "".join(
            f"{name}: {value}\r\n" for name, value in self._headers.get_all()
        )
        await stream.write(f"HTTP/1.1 200 OK\r\n{fields}\r\n".encode())
        return stream

    def refuse(self, status: int) -> None:
        """Answer that the request did not run."""
        self.clear_header("X-Server-Stamp")
        self.set_header("X-Not-Executed", "1")
        self.set_status(status)
        self.finish()

    def refuse_twice(self, status: int) -> None:
        """Answer that the request did not run, once more at the next request."""
        request_id = self._headers.get("X-Attempt-Id")
        head = f"HTTP/1.1 {status} Refused\r\nContent-Length: 0\r\nX-Not-Executed: 1"
        if request_id is not None:
            head += f"\r\nX-Attempt-Id: {request_id}"
        stream = self.request.connection.stream
        self.endpoint.repeated_refusals_[stream] = f"{head}\r\n\r\n".encode()
        self.refuse(status)

    def suppress_answer(self) -> None:
        """Keep tornado from writing an answer when the handler returns."""
        self._finished = True

    def close_connection(self) -> None:
        """Close the connection without an answer."""
        self.suppress_answer()
        self.request.connection.stream.close()

    def on_connection_close(self) -> None:
        """Count connections that closed before the answer."""
        self.endpoint.left_early_ += 1
