"""Fetch responses that may be large over slow links, for as long as bytes arrive.

A timeout of the whole call abandons a response that is still arriving, and the next
call starts it again; on a link that needs longer than the timeout, this never succeeds.
So one timeout applies to the first byte, and another to each pause after it. Relies on
tornado's curl client, whose progress function can end a transfer.
"""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from functools import partial

import msgspec
import pycurl
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from leadford_server.web._fetch import NO_RESPONSE_STATUS, fetch

# Time without data after which curl itself ends a transfer; no transfer reaches it.
_LOW_SPEED_TIMEOUT_S = 3_600
# Values that curl's progress function returns to continue and to abort the transfer.
_CONTINUE = 0
_ABORT = 1


def is_success(status: int) -> bool:
    """Return whether a status tells of success."""
    return 200 <= status < 300


class FetchTimeouts(msgspec.Struct, frozen=True):
    """Hold the timeouts of a call.

    Units: seconds; until the connection is open, until the first byte, between two
    parts after it, and in total. A short `connect_timeout_s` also frees the
    handle of a call that was abandoned before its connection was open.
    """

    connect_timeout_s: float
    first_byte_timeout_s: float
    stall_timeout_s: float
    total_timeout_s: float


class FetchedResponse(msgspec.Struct, frozen=True):
    """Hold a response; if it is incomplete, `status` is 599 and `body` is what arrived.

    Units: duration_s in seconds.
    """

    status: int
    body: bytes
    duration_s: float
    headers: Mapping[str, str] = {}


class _Transfer:
    """Collect one response; end its transfer once it is abandoned."""

    def __init__(self, *, now: Callable[[], float]) -> None:
        self.now = now
        self.chunks_: list[bytes] = []
        self.last_chunk_at_: float | None = None
        self.is_abandoned_ = False

    def add_chunk(self, chunk: bytes) -> None:
        """Add a chunk of the body, and record when it arrived."""
        self.chunks_.append(chunk)
        self.last_chunk_at_ = self.now()

    def attach(self, curl: pycurl.Curl, *, opens_connection: bool) -> None:
        """Configure a curl handle to check whether the transfer was abandoned.

        Curl checks once a second. A handle keeps its settings for the next call.
        """
        curl.setopt(pycurl.FRESH_CONNECT, int(opens_connection))
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._on_progress)
        # Curl checks an idle transfer only while a speed limit is set.
        curl.setopt(pycurl.LOW_SPEED_LIMIT, 1)
        curl.setopt(pycurl.LOW_SPEED_TIME, _LOW_SPEED_TIMEOUT_S)

    def _on_progress(self, *counts: int) -> int:
        return _ABORT if self.is_abandoned_ else _CONTINUE


class OpenFetch:
    """Hold a call that has begun; it goes on until it ends or is abandoned."""

    def __init__(
        self, *, call: asyncio.Future, transfer: _Transfer, began_at: float
    ) -> None:
        self.call = call
        self.transfer = transfer
        self.began_at = began_at

    def abandon(self) -> None:
        """End the transfer; whoever waits for it gets no response."""
        self.transfer.is_abandoned_ = True

    @property
    def has_succeeded(self) -> bool:
        """Return whether a whole response has arrived that tells of success."""
        return self.call.done() and is_success(self.call.result().code)

    def deadline(self, timeouts: FetchTimeouts) -> float:
        """Return until when this call is waited for."""
        last_chunk_at = self.transfer.last_chunk_at_
        if last_chunk_at is None:
            return self.began_at + timeouts.first_byte_timeout_s
        first_byte_until = self.began_at + timeouts.first_byte_timeout_s
        return max(first_byte_until, last_chunk_at + timeouts.stall_timeout_s)

    def response(self) -> FetchedResponse:
        """Return the response, or what arrived of it."""
        duration_s = self.transfer.now() - self.began_at
        body = b"".join(self.transfer.chunks_)
        if not self.call.done():
            return FetchedResponse(NO_RESPONSE_STATUS, body, duration_s)
        found = self.call.result()
        return FetchedResponse(found.code, body, duration_s, found.headers)


def open_fetch(
    http: AsyncHTTPClient,
    request: HTTPRequest,
    timeouts: FetchTimeouts,
    *,
    opens_connection: bool = False,
) -> OpenFetch:
    """Begin a call, and set the timeouts of its request.

    With `opens_connection` it opens a new connection, as the pooled ones may all have
    stopped responding at once.
    """
    loop = asyncio.get_running_loop()
    transfer = _Transfer(now=loop.time)
    request.connect_timeout = timeouts.connect_timeout_s
    request.request_timeout = timeouts.total_timeout_s
    request.streaming_callback = transfer.add_chunk
    request.prepare_curl_callback = partial(
        transfer.attach, opens_connection=opens_connection
    )
    call = asyncio.ensure_future(fetch(http, request))
    return OpenFetch(call=call, transfer=transfer, began_at=loop.time())


async def fetch_while_arriving(
    http: AsyncHTTPClient,
    request: HTTPRequest,
    timeouts: FetchTimeouts,
    *,
    opens_connection: bool = False,
) -> FetchedResponse:
    """Return the response, waiting for as long as parts of it arrive."""
    opened = open_fetch(http, request, timeouts, opens_connection=opens_connection)
    try:
        await wait_while_arriving([opened], timeouts)
    finally:
        # Also ends the transfer when this call is cancelled.
        opened.abandon()
    return opened.response()


async def wait_while_arriving(
    fetches: Sequence[OpenFetch], timeouts: FetchTimeouts
) -> None:
    """Wait until the last of some calls has ended or stalled, or any has succeeded.

    A stalled call is waited for as long as parts of another one arrive.
    """
    now = asyncio.get_running_loop().time
    last = fetches[-1]
    while not last.call.done() and not any(each.has_succeeded for each in fetches):
        remaining_s = max(each.deadline(timeouts) for each in fetches) - now()
        if remaining_s <= 0.0:
            return
        pending = {each.call for each in fetches if not each.call.done()}
        await asyncio.wait(
            pending, timeout=remaining_s, return_when=asyncio.FIRST_COMPLETED
        )
