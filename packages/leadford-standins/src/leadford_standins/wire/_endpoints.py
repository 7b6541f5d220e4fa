"""Stand in for plain endpoints (stages: `_stages`, engines: `_engines`).

The forwarding entry calls them over the platform's protocol. Each records what ran. A
test queues a `Misbehaviour` for each of the next requests.
"""

import asyncio
import itertools
from collections import deque
from collections.abc import Callable

from tornado import httpserver, iostream, web

from leadford_standins.wire._handler import Arrival, EndpointHandler, Run
from leadford_standins.wire._misbehaviours import Misbehaviour

_ids = itertools.count(1)


def next_id() -> int:
    """Return a number that no endpoint and no result of this process has."""
    return next(_ids)


class PlainStandIn:
    """Answer each request after `work_s` seconds, and record what ran."""

    def __init__(self, *, service: str, hall: str, work_s: float = 0.005) -> None:
        self.service = service
        self.hall = hall
        self.work_s = work_s
        self.endpoint_id = f"i-{next_id()}"
        self.software = "v1"
        self.planned_misbehaviours_: deque[Misbehaviour] = deque()
        # What happens to requests for which nothing is queued.
        self.usual_misbehaviour = Misbehaviour.NONE
        # Answers without end whose connection the entry closed.
        self.closed_endless_ = 0
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
        # Status line of each answer instead of a sound one, and whether the endpoint
        # closes the connection after that answer.
        self.status_line = b""
        self.closes_after_status = False
        # Refusals that come once more where the next answer of their connection is due.
        self.repeated_refusals_: dict[iostream.IOStream, bytes] = {}
        # Set while the endpoint sends what it has to say.
        self.speaks_ = asyncio.Event()
        self.speaks_.set()
        self.silence_count_ = 0
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

    def fall_silent(self, duration_s: float) -> None:
        """Send nothing for a time, then go on with everything.

        Units: duration_s in seconds.
        """
        self.speaks_.clear()
        self.silence_count_ += 1
        asyncio.get_running_loop().call_later(duration_s, self._go_on)

    def _go_on(self) -> None:
        """End one silence; another one may have begun meanwhile."""
        self.silence_count_ -= 1
        if self.silence_count_ == 0:
            self.speaks_.set()

    def pop_misbehaviour(self) -> Misbehaviour:
        """Remove and return the queued misbehaviour for the next request."""
        return (
            self.planned_misbehaviours_.popleft()
            if self.planned_misbehaviours_
            else self.usual_misbehaviour
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

    async def serve(self, handler: EndpointHandler) -> None:
        """Run one request."""
        handler.record_run()
        await asyncio.sleep(self.work_s)
        await self.speaks_.wait()
        body = f"{self.endpoint_id} {handler.request.path}".encode()
        body += b" " + handler.request.body
        if handler.is_unframed:
            stream = await handler.begin_unframed()
            await stream.write(body)
            stream.close()
            return
        handler.finish(body)
