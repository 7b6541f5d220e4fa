"""Call endpoints that take and return JSON.

An answer that names another attempt is not used.
"""

import json

import msgspec
from returns.result import Failure
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from leadford.common import decode_json
from leadford.protocol import DoneStatus, Submit
from leadford_server.pipelines.agent.adapters._base import (
    CONNECT_TIMEOUT_S,
    AdapterOutcome,
    TokenSink,
    attempt_key,
    endpoint_adapters,
)
from leadford_server.web import NO_RESPONSE_STATUS, fetch, is_closed_by_peer

# Maximum size of a response of a JSON endpoint.
MAX_RESULT_BYTES = 4 * 1024 * 1024


class _JsonAnswer(msgspec.Struct):
    """Hold the answer of a service; `echo` names the attempt it belongs to."""

    result: msgspec.Raw
    echo: str = ""


@endpoint_adapters.register("json")
class JsonAdapter:
    """Call services, encoders, retrievers and rerankers: JSON over HTTP."""

    def __init__(self, *, url: str, path: str, http: AsyncHTTPClient) -> None:
        self.url = url
        self.path = path
        self.http = http

    @classmethod
    def from_config(
        cls, *, url: str, path: str, http: AsyncHTTPClient
    ) -> "JsonAdapter":
        """Build an adapter for an endpoint."""
        return cls(url=url, path=path, http=http)

    async def run(
        self, submit: Submit, timeout_s: float, sink: TokenSink
    ) -> AdapterOutcome:
        """Post the attempt and check that the answer belongs to it."""
        request = HTTPRequest(
            self.url + self.path,
            method="POST",
            body=self._body(submit),
            headers={"Content-Type": "application/json"},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=timeout_s,
        )
        response = await fetch(self.http, request)
        if response.code == NO_RESPONSE_STATUS:
            return AdapterOutcome(
                DoneStatus.FAILED,
                error=str(response.error),
                endpoint_ended=is_closed_by_peer(response),
            )
        if response.code != 200:
            return AdapterOutcome(DoneStatus.FAILED, error=f"status {response.code}")
        if len(response.body) > MAX_RESULT_BYTES:
            return AdapterOutcome(DoneStatus.FAILED, error="answer is too large")
        read = decode_json(response.body, _JsonAnswer)
        if isinstance(read, Failure):
            text = f"malformed answer: {read.failure()}"
            return AdapterOutcome(DoneStatus.FAILED, error=text)
        answer = read.unwrap()
        key = attempt_key(submit.request_id, submit.stage, submit.attempt)
        if answer.echo and answer.echo != key:
            text = f"answer belongs to {answer.echo}"
            return AdapterOutcome(DoneStatus.FAILED, error=text, crossed=True)
        return AdapterOutcome(DoneStatus.OK, bytes(answer.result))

    def _body(self, submit: Submit) -> bytes:
        head = {
            "request_id": submit.request_id,
            "stage": submit.stage,
            "attempt": submit.attempt,
        }
        # The caller's body is JSON already and is sent unchanged.
        head_json = json.dumps(head).encode()[:-1]
        parts = (head_json, b',"input":', submit.body, b',"previous":', submit.previous)
        return b"".join((*parts, b"}"))

    async def cancel(self, submit: Submit) -> None:
        """Do nothing: a JSON endpoint cannot stop a call."""
