"""Serve the pages of a stand-in engine over HTTP.

The OpenAI completion API with streaming, and beside it resume, cancel, load, cache
events and orders. `_engine` is the engine behind them.
"""

import json

import msgspec
from tornado import web
from tornado.iostream import StreamClosedError

from leadford_standins.endpoints._engine import (
    CompletionCall,
    EngineModel,
    EngineOrder,
    Stream,
)
from leadford_standins.faults import ControlHandler, FaultState, FaultyHandler


class _EngineHandler(FaultyHandler):
    """Share the engine between handlers."""

    def initialize(self, state: FaultState, engine: EngineModel) -> None:
        super().initialize(state)
        self.engine = engine


class _CompletionsHandler(_EngineHandler):
    """Start a generation and stream it."""

    async def post(self) -> None:
        try:
            call = msgspec.json.decode(self.request.body, type=CompletionCall)
        except msgspec.MsgspecError as error:
            raise web.HTTPError(400, reason="malformed call") from error
        faults = self.state.faults
        failing = int(faults.error_rate * 100)
        if failing and hash(call.request_id) % 100 < failing:
            raise web.HTTPError(500, reason="injected failure")
        known = self.engine.versions_by_model_
        if known and call.model and call.model not in known:
            raise web.HTTPError(404, reason="model is not loaded")
        stream = self.engine.submit(call)
        await _feed(self, stream, 0)


class _StreamHandler(_EngineHandler):
    """Resume or cancel a generation."""

    async def get(self, key: str) -> None:
        stream = self.engine.streams_by_id_.get(key)
        if stream is None:
            raise web.HTTPError(404)
        await _feed(self, stream, int(self.get_query_argument("after", "0")))

    def delete(self, key: str) -> None:
        self.set_status(204 if self.engine.cancel(key) else 404)


async def _feed(handler: FaultyHandler, stream: Stream, sent: int) -> None:
    handler.set_header("Content-Type", "text/event-stream")
    call = stream.call
    echo = f"{call.request_id}/{call.stage}/{call.attempt}"
    while True:
        changed = stream.changed_
        if handler.state.faults.down:
            handler.drop()
            return
        if sent < stream.generated_:
            lines = []
            for text in stream.texts[sent : stream.generated_]:
                choice = {"index": 0, "text": text, "finish_reason": None}
                chunk = {"id": echo, "model": stream.version, "choices": [choice]}
                lines.append(f"data: {json.dumps(chunk)}\n\n")
            sent = stream.generated_
            handler.write("".join(lines))
            try:
                await handler.flush()
            except StreamClosedError:
                return
        if stream.is_over:
            break
        await changed.wait()
    usage = {
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": stream.generated_,
        "prompt_tokens_details": {"cached_tokens": stream.cached_tokens},
        "accelerator_ms": stream.accelerator_ms_,
    }
    reason = "cancelled" if stream.cancelled_ else "length"
    choice = {"index": 0, "text": "", "finish_reason": reason}
    last = {"id": echo, "choices": [choice], "usage": usage, "model": stream.version}
    handler.write(f"data: {json.dumps(last)}\n\ndata: [DONE]\n\n")
    handler.finish()


class _LoadHandler(_EngineHandler):
    """Answer with the load of a while ago."""

    def get(self) -> None:
        waiting, running = self.engine.lagging_load()
        self.finish({"waiting": waiting, "running": running})


class _CacheEventsHandler(_EngineHandler):
    """Answer with cache events after a number; some are missing."""

    def get(self) -> None:
        after = int(self.get_query_argument("after", "0"))
        events = [event for event in self.engine.cache_events_ if event[0] > after]
        self.finish(msgspec.json.encode(events))


class _OrdersHandler(_EngineHandler):
    """Take orders, and tell which were obeyed."""

    async def post(self) -> None:
        order = msgspec.json.decode(self.request.body, type=EngineOrder)
        obeyed = await self.engine.order(order)
        if self.state.take_lost_answer():
            self.drop()
            return
        if not obeyed:
            raise web.HTTPError(409, reason="an order with a newer fence was obeyed")
        self.get()

    def get(self) -> None:
        body = {
            "fence": self.engine.fence_,
            "models": self.engine.versions_by_model_,
            "role": self.engine.role_,
            "orders": self.engine.orders_,
        }
        self.finish(msgspec.json.encode(body))


class _RecordsHandler(web.RequestHandler):
    """Answer with the executions."""

    def initialize(self, engine: EngineModel) -> None:
        self.engine = engine

    def get(self) -> None:
        self.finish(self.engine.table_.to_json())


def make_engine_app(engine: EngineModel) -> web.Application:
    """Return the application of one engine."""
    shared = {"state": engine.state_, "engine": engine}
    return web.Application(
        [
            (r"/v1/completions", _CompletionsHandler, shared),
            (r"/v1/completions/(.+)", _StreamHandler, shared),
            (r"/load", _LoadHandler, shared),
            (r"/cache_events", _CacheEventsHandler, shared),
            (r"/orders", _OrdersHandler, shared),
            (r"/_control", ControlHandler, {"state": engine.state_}),
            (r"/_records", _RecordsHandler, {"engine": engine}),
        ],
        log_function=lambda handler: None,
        leadford_state=engine.state_,
        leadford_engine=engine,
    )
