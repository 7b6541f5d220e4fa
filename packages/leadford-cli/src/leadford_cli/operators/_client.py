"""Call the operators' pages of the entries.

Used by the commands of `leadford`. An answer that leaves open what happened is asked
for again at the next entry with the same command id.
"""

import json
import secrets
from typing import Any

import msgspec
from returns.result import Failure, Result, Success
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.ioloop import IOLoop

from leadford.common import decode_json
from leadford_server.web import NO_RESPONSE_STATUS, fetch

# Timeout of a call: longer than an entry waits until a change is in force.
TIMEOUT_S = 30.0
# Timeout for connecting to an entry.
CONNECT_TIMEOUT_S = 2.0
# Statuses after which the next entry is asked.
UNSETTLED_STATUSES = (502, 503, 504, NO_RESPONSE_STATUS)


class OperatorError(msgspec.Struct, frozen=True):
    """Say what a call was answered instead of a result.

    Units: column counts from 1, and is 0 where it does not apply.
    """

    message: str
    column: int = 0
    faults: tuple[str, ...] = ()


class OperatorClient:
    """Send statements to one of several entries.

    The same command id goes to the next entry when an answer is lost, so a command
    takes effect once.
    """

    def __init__(self, *, entries: list[str], token: str) -> None:
        self.entries = entries
        self.token = token

    def run(
        self, statement: str, *, wait: bool, if_version: int
    ) -> Result[dict[str, Any], OperatorError]:
        """Run a statement and return its answer."""
        call = {"statement": statement, "wait": wait, "if_version": if_version}
        return self._post("/v1/operator/statements", call)

    def apply(
        self, document: dict[str, Any], *, wait: bool, if_version: int
    ) -> Result[dict[str, Any], OperatorError]:
        """Put a whole configuration in force."""
        call = {"document": document, "wait": wait, "if_version": if_version}
        return self._post("/v1/operator/config", call)

    def _post(
        self, path: str, call: dict[str, Any]
    ) -> Result[dict[str, Any], OperatorError]:
        call["command_id"] = f"cli-{secrets.token_hex(8)}"
        return IOLoop.current().run_sync(lambda: self._try_entries(path, call))

    async def _try_entries(
        self, path: str, call: dict[str, Any]
    ) -> Result[dict[str, Any], OperatorError]:
        http = CurlAsyncHTTPClient()
        error = OperatorError("no entry was given")
        for entry in self.entries:
            request = HTTPRequest(
                entry.rstrip("/") + path,
                method="POST",
                body=json.dumps(call),
                headers={"Authorization": f"Bearer {self.token}"},
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=TIMEOUT_S,
            )
            response = await fetch(http, request)
            if response.code == 200:
                answer = decode_json(response.body, dict[str, Any])
                if isinstance(answer, Success):
                    return answer
                # Whether it was done is not known: the next entry knows it by its id.
                error = OperatorError(f"malformed answer: {answer.failure()}")
                continue
            error = _error_of(response.body or b"", str(response.error))
            if response.code not in UNSETTLED_STATUSES:
                break
        return Failure(error)


class _Problem(msgspec.Struct, frozen=True):
    """Hold what a refusal says."""

    detail: str
    column: int = 0
    faults: tuple[Any, ...] = ()


def _error_of(body: bytes, fallback: str) -> OperatorError:
    read = decode_json(body, _Problem)
    if isinstance(read, Failure):
        return OperatorError(fallback)
    problem = read.unwrap()
    return OperatorError(problem.detail, problem.column, problem.faults)
