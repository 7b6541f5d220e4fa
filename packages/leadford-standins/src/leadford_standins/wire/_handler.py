"""Read a request as an endpoint of the platform does, and inject its fault.

Used by all endpoints of the stand-ins, which serve the requests that no fault has
ended. Records what arrived and what ran.
"""

import asyncio
from typing import TYPE_CHECKING

import msgspec
from tornado import iostream, web

from leadford_standins.wire._endless import ENDLESS_BY_MISBEHAVIOUR, EndlessBytes
from leadford_standins.wire._misbehaviours import UNFRAMED, Misbehaviour

if TYPE_CHECKING:
    from leadford_standins.wire._endpoints import PlainStandIn

# Longer than any caller waits.
HANG_S = 3_600.0


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


class EndpointHandler(web.RequestHandler):
    """Serve one request as its endpoint does, or inject the queued misbehaviour."""

    def initialize(self, endpoint: "PlainStandIn") -> None:
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
        if self._ends_unserved():
            return
        if endpoint.status_line:
            await self.send_status_line(endpoint.status_line)
            return
        if self.misbehaviour in ENDLESS_BY_MISBEHAVIOUR:
            await self.send_endlessly(ENDLESS_BY_MISBEHAVIOUR[self.misbehaviour])
            return
        if self.misbehaviour is Misbehaviour.HANG:
            self.record_run()
            await asyncio.sleep(HANG_S)
        if self.misbehaviour is Misbehaviour.OTHER_ANSWER:
            self.set_header("X-Attempt-Id", "somebody-else")
        if self.misbehaviour is Misbehaviour.UNSIGNED:
            self.clear_header("X-Server-Stamp")
        await endpoint.serve(self)

    def _ends_unserved(self) -> bool:
        """Return whether a fault ended the request before the endpoint serves it."""
        if self.misbehaviour is Misbehaviour.REFUSE:
            self.refuse(503)
            return True
        if self.misbehaviour is Misbehaviour.REPEAT_REFUSAL:
            # A refusal may bear no id.
            self.clear_header("X-Attempt-Id")
            self.refuse_twice(503)
            return True
        if self.misbehaviour is Misbehaviour.REPEAT_GONE:
            self.refuse_twice(409)
            return True
        if self.request.body in self.endpoint.crash_bodies_:
            self.record_run()
            self.suppress_answer()
            self.endpoint.crash()
            return True
        if self.misbehaviour is Misbehaviour.FAIL:
            self.record_run()
            self.set_status(500)
            self.finish(b"failed")
            return True
        if self.misbehaviour is Misbehaviour.LOSE_ANSWER:
            self.record_run()
            self.close_connection()
            return True
        return False

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

    async def send_status_line(self, status_line: bytes) -> None:
        """Send an answer with a status line that tornado would not write."""
        self.record_run()
        self.suppress_answer()
        stream = self.request.connection.detach()
        self.set_header("Content-Length", "2")
        fields = "".join(
            f"{name}: {value}\r\n" for name, value in self._headers.get_all()
        )
        try:
            await stream.write(status_line + f"\r\n{fields}\r\nno".encode())
            if not self.endpoint.closes_after_status:
                await stream.read_until_close()
        except iostream.StreamClosedError:
            return
        finally:
            stream.close()

    async def send_endlessly(self, endless: EndlessBytes) -> None:
        """Send bytes until the entry closes the connection."""
        if endless.is_refusal:
            self.clear_header("X-Server-Stamp")
            self.set_header("X-Not-Executed", "1")
        else:
            self.record_run()
        self.clear_header("Content-Length")
        self.suppress_answer()
        stream = self.request.connection.detach()
        fields = "".join(
            f"{name}: {value}\r\n" for name, value in self._headers.get_all()
        )
        try:
            await stream.write(endless.head(fields))
            while True:
                await stream.write(endless.piece)
                await asyncio.sleep(endless.pause_s)
        except iostream.StreamClosedError:
            self.endpoint.closed_endless_ += 1

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
