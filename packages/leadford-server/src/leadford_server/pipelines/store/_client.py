"""Call the platform's object API and classify its responses.

This is the client of leadford's own interface. Each call returns a value or a
`StoreError` with its kind. A write without a response may have taken effect
(`IN_DOUBT`): the caller has to read the object to find out.
"""

import asyncio
from enum import Enum
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from leadford.events import Event
from leadford_server.logs import EventLog
from leadford_server.metrics import STORE_CALLS_TOTAL
from leadford_server.web import FetchedResponse, FetchTimeouts, OpenCalls, fetch

# Timeout of a call, except for the time that a watch waits in the store.
CALL_TIMEOUT_S = 2.0
# Time for which a read goes on that nobody else can answer. It is repeated beside the
# open calls, each time after twice as long.
PATIENCE_S = 20.0
# Time that a watch waits in the store for a change. A watch that is never answered ends
# after this time and the timeout of a call, and the store is read after one more pause:
# in all sooner than a change must be in force everywhere.
WATCH_WAIT_S = 7.0


class StoreErrorKind(Enum):
    """State what is known after a failed call.

    IN_DOUBT: a write may have taken effect or may still do so.
    """

    NOT_FOUND = "not-found"
    CONFLICT = "conflict"
    UNCHANGED = "unchanged"
    REFUSED = "refused"
    UNAVAILABLE = "unavailable"
    IN_DOUBT = "in-doubt"


class StoreError(msgspec.Struct, frozen=True):
    """Describe a failed call."""

    kind: StoreErrorKind
    detail: str = ""


class StoredValue(msgspec.Struct, frozen=True):
    """Hold an object and its version."""

    version: int
    data: bytes


_KIND_BY_STATUS = {
    304: StoreErrorKind.UNCHANGED,
    404: StoreErrorKind.NOT_FOUND,
    412: StoreErrorKind.CONFLICT,
    413: StoreErrorKind.REFUSED,
    429: StoreErrorKind.REFUSED,
}


class StoreClient:
    """Read, write and watch objects over HTTP."""

    def __init__(self, *, url: str, http: AsyncHTTPClient, log: EventLog) -> None:
        self.url = url
        self.http = http
        self.log = log
        self.open_calls_ = OpenCalls(http=http)
        self.available_ = True

    async def get(self, name: str) -> Result[StoredValue, StoreError]:
        """Read an object."""
        request = HTTPRequest(self._address(name), request_timeout=CALL_TIMEOUT_S)
        return self._value(await self._call("read", request))

    async def get_patiently(self, name: str) -> Result[StoredValue, StoreError]:
        """Read an object, also from a store that takes long for each call.

        The answer to an earlier call that asked the same counts too, however late.
        """
        now = asyncio.get_running_loop().time
        until = now() + PATIENCE_S
        timeout_s = CALL_TIMEOUT_S
        while True:
            timeouts = FetchTimeouts(
                connect_timeout_s=CALL_TIMEOUT_S,
                first_byte_timeout_s=timeout_s,
                stall_timeout_s=CALL_TIMEOUT_S,
                total_timeout_s=PATIENCE_S,
            )
            request = HTTPRequest(self._address(name))
            began_at = now()
            repeated = await self.open_calls_.fetch(request, timeouts)
            read = self._value(self._judge("read", repeated.response))
            is_early = now() < began_at + timeout_s
            if not isinstance(read, Failure) or is_early or now() >= until:
                return read
            timeout_s *= 2.0

    async def watch(
        self, name: str, version: int, wait_s: float = WATCH_WAIT_S
    ) -> Result[StoredValue, StoreError]:
        """Wait until the store has a newer version of an object, and return it.

        Units: wait_s in seconds.
        Errors: UNCHANGED when there is none after `wait_s`.
        """
        url = f"{self._address(name)}?watch={version}&timeout_s={wait_s}"
        request = HTTPRequest(url, request_timeout=wait_s + CALL_TIMEOUT_S)
        return self._value(await self._call("watch", request))

    async def put(
        self, name: str, data: bytes, expected: int | None
    ) -> Result[int, StoreError]:
        """Write an object if its version is the expected one.

        An expected version of 0 means that the object must not exist; with None, the
        write has no condition.

        Errors: CONFLICT when the version differs; IN_DOUBT when no response arrived.
        """
        headers: dict[str, str] = {}
        if expected == 0:
            headers["If-None-Match"] = "*"
        elif expected is not None:
            headers["If-Match"] = f'"{expected}"'
        request = HTTPRequest(
            self._address(name),
            method="PUT",
            body=data,
            headers=headers,
            request_timeout=CALL_TIMEOUT_S,
        )
        response = await self._call("write", request)
        if isinstance(response, Failure):
            error = response.failure()
            if error.kind is StoreErrorKind.UNAVAILABLE:
                return Failure(StoreError(StoreErrorKind.IN_DOUBT, error.detail))
            return response
        return Success(int(response.unwrap().headers["Object-Version"]))

    async def delete(self, name: str) -> Result[None, StoreError]:
        """Remove an object."""
        request = HTTPRequest(
            self._address(name), method="DELETE", request_timeout=CALL_TIMEOUT_S
        )
        response = await self._call("write", request)
        return response.map(lambda _: None)

    def _address(self, name: str) -> str:
        return f"{self.url}/objects/{quote(name)}"

    async def _call(
        self, kind: str, request: HTTPRequest
    ) -> Result[FetchedResponse, StoreError]:
        response = await fetch(self.http, request)
        fetched = FetchedResponse(
            response.code, response.body, response.request_time or 0.0, response.headers
        )
        return self._judge(kind, fetched, error=response.error)

    def _judge(
        self, kind: str, response: FetchedResponse, *, error: Exception | None = None
    ) -> Result[FetchedResponse, StoreError]:
        """Count a response and return it, or the error that its status stands for."""
        status = response.status
        if status in (200, 204):
            self._record_available(True)
            STORE_CALLS_TOTAL.labels(kind=kind, end="ok").inc()
            return Success(response)
        self._record_available(status in _KIND_BY_STATUS)
        error_kind = _KIND_BY_STATUS.get(status, StoreErrorKind.UNAVAILABLE)
        STORE_CALLS_TOTAL.labels(kind=kind, end=error_kind.value).inc()
        return Failure(StoreError(error_kind, str(error or status)))

    def _record_available(self, available: bool) -> None:
        """Log when the store becomes unavailable and when it is available again."""
        if available == self.available_:
            return
        self.available_ = available
        event = Event.STORE_BACK if available else Event.STORE_UNAVAILABLE
        self.log.report(event, store=self.url)

    def _value(
        self, result: Result[FetchedResponse, StoreError]
    ) -> Result[StoredValue, StoreError]:
        if isinstance(result, Failure):
            return result
        response = result.unwrap()
        version = int(response.headers["Object-Version"])
        return Success(StoredValue(version, response.body))
