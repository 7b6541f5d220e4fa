"""Call model engines, and read their streams of tokens.

A stream that breaks is resumed at the same engine. A stream of another attempt is not
used.
"""

import asyncio
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
from leadford_server.web import fetch, is_closed_by_peer

# Maximum number of times that a broken stream is resumed, and the pause before each.
MAX_RESUMES = 2
RESUME_PAUSE_S = 0.05


class _PromptBody(msgspec.Struct):
    """Hold the fields of the caller's body that a generation uses."""

    prompt: str = ""
    system: str = ""
    max_tokens: int = 0


class _TokenDetails(msgspec.Struct):
    """Hold what an engine says of the tokens of a prompt."""

    cached_tokens: float | None = None


class _Usage(msgspec.Struct):
    """Hold what a generation cost; an engine may leave out or null each field."""

    prompt_tokens: float | None = None
    prompt_tokens_details: _TokenDetails | None = None
    accelerator_ms: float | None = None


class _Choice(msgspec.Struct):
    """Hold the next text of a generation, or why it ended."""

    text: str | None = None
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    """Hold one event of a token stream; `id` names the attempt it belongs to."""

    choices: list[_Choice]
    id: object = msgspec.UNSET
    model: str | None = None
    usage: _Usage | None = None


class _SseReader:
    """Parse the events of a token stream from chunks of bytes."""

    def __init__(self, *, key: str, sink: TokenSink) -> None:
        self.key = key
        self.sink = sink
        self.unparsed_bytes_ = b""
        self.received_ = 0
        self.usage_ = _Usage()
        self.finish_reason_ = ""
        self.model_version_ = ""
        self.error_ = ""
        self.crossed_ = False
        self.endpoint_ended_ = False

    def feed(self, chunk: bytes) -> None:
        """Parse the next bytes and pass new tokens to the sink."""
        *events, self.unparsed_bytes_ = (self.unparsed_bytes_ + chunk).split(b"\n\n")
        texts: list[str] = []
        for event in events:
            data = event.removeprefix(b"data: ")
            if data == b"[DONE]" or self.error_:
                continue
            self._read_event(data, texts)
        if texts:
            self.received_ += len(texts)
            self.sink(texts, self.model_version_)

    def _read_event(self, data: bytes, texts: list[str]) -> None:
        read = decode_json(data, _Chunk)
        if isinstance(read, Failure):
            self.error_ = f"malformed event: {read.failure()}"
            return
        chunk = read.unwrap()
        if not chunk.choices:
            self.error_ = "malformed event: no choice"
            return
        if chunk.id not in (msgspec.UNSET, self.key):
            self.error_ = f"stream belongs to {chunk.id}"
            self.crossed_ = True
            return
        self.model_version_ = chunk.model or self.model_version_
        choice = chunk.choices[0]
        if choice.text:
            texts.append(choice.text)
        if choice.finish_reason:
            self.finish_reason_ = choice.finish_reason
            self.usage_ = chunk.usage or _Usage()


@endpoint_adapters.register("engine")
class EngineAdapter:
    """Call a model engine: the OpenAI completion API with streaming and resume."""

    def __init__(self, *, url: str, http: AsyncHTTPClient) -> None:
        self.url = url
        self.http = http

    @classmethod
    def from_config(
        cls, *, url: str, path: str, http: AsyncHTTPClient
    ) -> "EngineAdapter":
        """Build an adapter; the API fixes its paths, so `path` plays no part."""
        return cls(url=url, http=http)

    async def run(
        self, submit: Submit, timeout_s: float, sink: TokenSink
    ) -> AdapterOutcome:
        """Generate tokens; resume a broken stream at the engine where it stopped."""
        key = attempt_key(submit.request_id, submit.stage, submit.attempt)
        reader = _SseReader(key=key, sink=sink)
        prompt = self._prompt(submit)
        if prompt is None:
            return AdapterOutcome(DoneStatus.FAILED, error="body has no prompt")
        request = self._first_request(submit, prompt)
        error = await self._stream(request, reader, timeout_s)
        for _ in range(MAX_RESUMES):
            if reader.finish_reason_ or reader.error_ or not reader.received_:
                break
            reader.unparsed_bytes_ = b""
            await asyncio.sleep(RESUME_PAUSE_S)
            url = f"{self.url}/v1/completions/{key}?after={reader.received_}"
            error = await self._stream(HTTPRequest(url), reader, timeout_s)
        return self._outcome(reader, error)

    def _prompt(self, submit: Submit) -> str | None:
        read = decode_json(submit.body, _PromptBody)
        if isinstance(read, Failure):
            return None
        body = read.unwrap()
        parts = [body.system, body.prompt]
        if submit.previous != b"null":
            parts.append(submit.previous.decode())
        return "\n".join(part for part in parts if part)

    def _first_request(self, submit: Submit, prompt: str) -> HTTPRequest:
        call = {
            "model": submit.model,
            "prompt": prompt,
            "max_tokens": submit.expected_tokens,
            "stream": True,
            "priority": submit.priority,
            "request_id": submit.request_id,
            "stage": submit.stage,
            "attempt": submit.attempt,
            "prefix": submit.prefix,
        }
        return HTTPRequest(
            f"{self.url}/v1/completions",
            method="POST",
            body=json.dumps(call),
            headers={"Content-Type": "application/json"},
        )

    async def _stream(
        self, request: HTTPRequest, reader: _SseReader, timeout_s: float
    ) -> str:
        request.connect_timeout = CONNECT_TIMEOUT_S
        request.request_timeout = timeout_s
        request.streaming_callback = reader.feed
        response = await fetch(self.http, request)
        if response.code == 200:
            return ""
        reader.endpoint_ended_ |= is_closed_by_peer(response)
        return str(response.error or response.code)

    def _outcome(self, reader: _SseReader, error: str) -> AdapterOutcome:
        usage = reader.usage_
        details = usage.prompt_tokens_details or _TokenDetails()
        status = DoneStatus.OK
        if reader.finish_reason_ == "cancelled":
            status = DoneStatus.CANCELLED
        elif not reader.finish_reason_ or reader.error_:
            status = DoneStatus.FAILED
        result = json.dumps(
            {
                "finish_reason": reader.finish_reason_,
                "tokens": reader.received_,
                "model_version": reader.model_version_,
            }
        )
        return AdapterOutcome(
            status=status,
            result=result.encode(),
            error=reader.error_ or (error if status is DoneStatus.FAILED else ""),
            prefill_tokens=int(usage.prompt_tokens or 0),
            cached_tokens=int(details.cached_tokens or 0),
            accelerator_ms=usage.accelerator_ms or 0.0,
            model_version=reader.model_version_,
            crossed=reader.crossed_,
            endpoint_ended=reader.endpoint_ended_ and status is DoneStatus.FAILED,
        )

    async def cancel(self, submit: Submit) -> None:
        """Ask the engine to stop the generation."""
        key = attempt_key(submit.request_id, submit.stage, submit.attempt)
        url = f"{self.url}/v1/completions/{key}"
        request = HTTPRequest(url, method="DELETE", request_timeout=CONNECT_TIMEOUT_S)
        await fetch(self.http, request)
